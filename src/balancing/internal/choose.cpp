#include "balancing/choose.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace cardamomlift::balancing {

namespace {

struct RankedCandidate {
    std::size_t index = 0;
    double cost = 0;
    std::uint64_t hash = 0;
};

/// The prompt tokens to process at @p candidate before this request's first token: those already waiting there and its own.
/// Tokens that are copied from another server's cache count with copyCostRatio.
double tokensBeforeFirstToken(const Candidate &candidate, const ChoiceInput &input, const ChoiceParameters &parameters)
{
    const std::int64_t reusable = std::max(candidate.cachedTokens, input.fetchableTokens);
    const auto prefilled = static_cast<double>(std::max<std::int64_t>(0, input.promptTokens - reusable));
    const auto copied = static_cast<double>(reusable - candidate.cachedTokens);
    return static_cast<double>(candidate.load.localWaitingTokens + candidate.load.peerWaitingTokens) + prefilled + copied * parameters.copyCostRatio;
}

double costOf(const Candidate &candidate, const ChoiceInput &input, const ChoiceParameters &parameters, TimePoint now)
{
    const double slots = std::max(1, candidate.server->server.slots);
    double cost = estimatedOpenRequests(candidate.load, parameters, now) / slots;
    cost += tokensBeforeFirstToken(candidate, input, parameters) / parameters.tokensPerFullServer;
    if (candidate.isOutlier) {
        cost += parameters.outlierPenalty;
    }
    // A server whose directory entry is missing, or that is still cold, gets the cost of a full server on top.
    if (candidate.server->missingSince || (candidate.server->server.coldUntil && now < *candidate.server->server.coldUntil)) {
        cost += 1;
    }
    if (candidate.server->server.zone != input.zone) {
        cost += parameters.crossZoneCost / slots;
    }
    return cost;
}

bool isPreferred(const RankedCandidate &a, const RankedCandidate &b)
{
    return a.cost != b.cost ? a.cost < b.cost : a.hash > b.hash;
}

} // namespace

RendezvousRanker::RendezvousRanker(std::string_view affinity)
    : seed_(XXH3_64bits(affinity.data(), affinity.size()))
{
}

std::uint64_t RendezvousRanker::rank(std::string_view instance) const
{
    return XXH3_64bits_withSeed(instance.data(), instance.size(), seed_);
}

double estimatedOpenRequests(const ServerLoad &load, const ChoiceParameters &parameters, TimePoint now)
{
    const double local = load.localOpenRequests;
    if (!load.reportedAt || now - *load.reportedAt > parameters.reportLifetime) {
        return local;
    }
    return std::max(local, static_cast<double>(load.reportedRequests + std::max(0, load.sentSinceReport)));
}

std::optional<std::size_t> choose(std::span<const Candidate> candidates, const ChoiceInput &input, const ChoiceParameters &parameters, TimePoint now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const RendezvousRanker ranker(input.affinity);
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); i++) {
        const std::string_view instance = candidates[i].server->server.instance;
        const std::uint64_t hash = input.affinity.empty() ? XXH3_64bits_withSeed(instance.data(), instance.size(), input.salt) : ranker.rank(instance);
        ranked.push_back({i, costOf(candidates[i], input, parameters, now), hash});
    }
    const auto cheapest = std::min_element(ranked.begin(), ranked.end(), isPreferred);
    if (input.affinity.empty() || input.fetchableTokens > 0) {
        return cheapest->index;
    }
    const double lowestCost = cheapest->cost;
    const std::size_t cheapestIndex = cheapest->index;
    const std::size_t affinityServers = std::min(parameters.affinityServers, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(affinityServers), ranked.end(), [](const RankedCandidate &a, const RankedCandidate &b) {
            return a.hash > b.hash;
        });
    for (std::size_t i = 0; i < affinityServers; i++) {
        if (ranked[i].cost <= lowestCost + parameters.affinityCostMargin) {
            return ranked[i].index;
        }
    }
    return cheapestIndex;
}

} // namespace cardamomlift::balancing
