#include "balancing/choose.h"

#include <xxhash.h>

#include <algorithm>
#include <limits>
#include <vector>

namespace cardamomlift::balancing {

namespace {

struct Ranked {
    std::size_t index = 0;
    double cost = 0;
    std::uint64_t hash = 0;
};

/// The prompt tokens that come before this request's first token at @p candidate: those that wait there and its own. Copied
/// tokens count as the part of read ones that they cost.
double tokensBefore(const Candidate &candidate, const ChoiceInput &input, const ChoiceParameters &figures)
{
    const std::int64_t known = std::max(candidate.cachedTokens, input.fetchableTokens);
    const auto read = static_cast<double>(std::max<std::int64_t>(0, input.promptTokens - known));
    const auto copied = static_cast<double>(known - candidate.cachedTokens);
    return static_cast<double>(candidate.load.localWaitingTokens + candidate.load.peerWaitingTokens) + read + copied * figures.copiedTokenCost;
}

double costOf(const Candidate &candidate, const ChoiceInput &input, const ChoiceParameters &figures, TimePoint now)
{
    const double slots = std::max(1, candidate.server->server.slots);
    double cost = estimatedOpenRequests(candidate.load, figures, now) / slots;
    cost += tokensBefore(candidate, input, figures) / figures.tokensOfAFullServer;
    if (candidate.isOutlier) {
        cost += figures.outlierCost;
    }
    if (candidate.server->unlistedAt || (candidate.server->server.coldUntil && now < *candidate.server->server.coldUntil)) {
        cost += 1;
    }
    if (candidate.server->server.zone != input.zone) {
        cost += figures.otherZoneCost / slots;
    }
    return cost;
}

bool isCheaper(const Ranked &a, const Ranked &b)
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

double estimatedOpenRequests(const ServerLoad &load, const ChoiceParameters &figures, TimePoint now)
{
    const double known = load.localOpenRequests;
    if (!load.reportedAt || now - *load.reportedAt > figures.reportLife) {
        return known;
    }
    return std::max(known, static_cast<double>(load.reportedRequests + std::max(0, load.sentSinceReport)));
}

std::optional<std::size_t> choose(std::span<const Candidate> candidates, const ChoiceInput &input, const ChoiceParameters &figures, TimePoint now)
{
    if (candidates.empty()) {
        return std::nullopt;
    }
    const RendezvousRanker ranker(input.affinity);
    std::vector<Ranked> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); i++) {
        const std::string_view instance = candidates[i].server->server.instance;
        const std::uint64_t hash = input.affinity.empty() ? XXH3_64bits_withSeed(instance.data(), instance.size(), input.salt) : ranker.rank(instance);
        ranked.push_back({i, costOf(candidates[i], input, figures, now), hash});
    }
    const auto cheapest = std::min_element(ranked.begin(), ranked.end(), isCheaper);
    if (input.affinity.empty() || input.fetchableTokens > 0) {
        return cheapest->index;
    }
    const double least = cheapest->cost;
    const std::size_t best = cheapest->index;
    const std::size_t homes = std::min(figures.homeServers, ranked.size());
    std::partial_sort(
        ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(homes), ranked.end(), [](const Ranked &a, const Ranked &b) { return a.hash > b.hash; });
    for (std::size_t i = 0; i < homes; i++) {
        if (ranked[i].cost <= least + figures.homeAdvantage) {
            return ranked[i].index;
        }
    }
    return best;
}

} // namespace cardamomlift::balancing
