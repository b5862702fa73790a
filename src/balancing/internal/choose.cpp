#include "balancing/choose.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
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

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// What the costs of all candidates depend on.
struct CostContext {
    double tokensPerFullServer = 0;
    bool isUneven = false; ///< Servers work at different paces.
};

double costOf(const Candidate &candidate, const ChoiceInput &input, const ChoiceParameters &parameters, const CostContext &context, TimePoint now)
{
    const double slots = std::max(1, candidate.server->server.slots);
    const double open = estimatedOpenRequests(candidate.load, parameters, now);
    double cost = open / slots;
    cost += tokensBeforeFirstToken(candidate, input, parameters) / context.tokensPerFullServer;
    if (context.isUneven) {
        // The expected time of the request, less that at an idle server of pace 1.
        cost = effectivePace(candidate.pace, input.promptTokens > 0, parameters) * (parameters.ownWorkCost + cost) - parameters.ownWorkCost;
    }
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

CostContext contextOf(std::span<const Candidate> candidates, const ChoiceInput &input, const ChoiceParameters &parameters)
{
    CostContext context;
    context.tokensPerFullServer = tokensPerFullServer(input.prefillTokensPerSecond, parameters);
    context.isUneven = std::any_of(candidates.begin(), candidates.end(), [&](const Candidate &candidate) {
        return effectivePace(candidate.pace, input.promptTokens > 0, parameters) != 1;
    });
    return context;
}

bool isPreferred(const RankedCandidate &a, const RankedCandidate &b)
{
    return a.cost != b.cost ? a.cost < b.cost : a.hash > b.hash;
}

/// The number of the cheapest servers over which @p share of the load that this VM does not know of yet is spread.
std::size_t serversToDrawFrom(std::span<const Candidate> candidates, const ChoiceInput &input, double share, const ChoiceParameters &parameters, TimePoint now)
{
    double age = 0;
    double slots = 0;
    const double lifetime = secondsOf(parameters.reportLifetime);
    for (const Candidate &candidate : candidates) {
        const auto &reportedAt = candidate.load.reportedAt;
        age += reportedAt ? std::clamp(secondsOf(now - *reportedAt), 0.0, lifetime) : lifetime;
        slots += std::max(1, candidate.server->server.slots);
    }
    const auto count = static_cast<double>(candidates.size());
    const double slotCost = count / slots;
    const double requests = std::min(input.peerRequestsPerSecond * age / count, input.peerOpenRequests);
    const double tokens = input.peerTokensPerSecond * secondsOf(parameters.waitingTokensAge);
    const double unknown = requests * slotCost + tokens / tokensPerFullServer(input.prefillTokensPerSecond, parameters);
    const double servers = std::ceil(unknown * share / std::max(slotCost, parameters.unknownCost));
    return std::isfinite(servers) ? static_cast<std::size_t>(std::clamp(servers, 1.0, count)) : 1;
}

/// The index of the cheaper one of two servers that are drawn from the @p count cheapest.
std::size_t drawCheap(std::vector<RankedCandidate> &ranked, std::size_t count, std::uint64_t salt)
{
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(ranked.begin(), end, ranked.end(), isPreferred);
    return ranked[std::min(salt % count, salt / count % count)].index;
}

bool isRankedHigher(const RankedCandidate &a, const RankedCandidate &b)
{
    return a.hash > b.hash;
}

/// The index of the highest-ranked affinity server that does not cost too much, if there is one.
std::optional<std::size_t> cheapAffinityServer(std::vector<RankedCandidate> &ranked, double lowestCost, const ChoiceParameters &parameters)
{
    const std::size_t affinityServers = std::min(parameters.affinityServers, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(affinityServers), ranked.end(), isRankedHigher);
    for (std::size_t i = 0; i < affinityServers; i++) {
        if (ranked[i].cost <= lowestCost + parameters.affinityCostMargin) {
            return ranked[i].index;
        }
    }
    return std::nullopt;
}

/// The index of the cheaper one of two servers that are drawn from the @p count highest-ranked affinity servers that cost at most
/// @p maxCost. So a part of the prompts that many requests share is kept by as many servers as these requests need.
std::size_t drawPartServer(std::vector<RankedCandidate> &ranked, std::size_t count, double maxCost, std::uint64_t salt)
{
    const auto cheapEnd = std::partition(ranked.begin(), ranked.end(), [maxCost](const RankedCandidate &candidate) { return candidate.cost <= maxCost; });
    count = std::min(count, static_cast<std::size_t>(cheapEnd - ranked.begin()));
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), cheapEnd, isRankedHigher);
    return std::min(ranked[salt % count], ranked[salt / count % count], isPreferred).index;
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

double effectivePace(double pace, bool hasPrompt, const ChoiceParameters &parameters)
{
    const double evenRatio = hasPrompt ? parameters.evenPaceRatioOfPrompts : parameters.evenPaceRatio;
    if (!std::isfinite(pace) || pace <= 0 || std::abs(std::log(pace)) < std::log(evenRatio)) {
        return 1;
    }
    return std::clamp(pace, parameters.minPace, parameters.maxPace);
}

double tokensPerFullServer(double prefillTokensPerSecond, const ChoiceParameters &parameters)
{
    if (!std::isfinite(prefillTokensPerSecond) || prefillTokensPerSecond <= 0) {
        return parameters.tokensPerFullServer;
    }
    return std::clamp(prefillTokensPerSecond * parameters.secondsPerFullServer, parameters.minTokensPerFullServer, parameters.maxTokensPerFullServer);
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
    const CostContext context = contextOf(candidates, input, parameters);
    const RendezvousRanker ranker(input.affinity);
    std::vector<RankedCandidate> ranked;
    ranked.reserve(candidates.size());
    for (std::size_t i = 0; i < candidates.size(); i++) {
        const std::string_view instance = candidates[i].server->server.instance;
        const std::uint64_t hash = input.affinity.empty() ? XXH3_64bits_withSeed(instance.data(), instance.size(), input.salt) : ranker.rank(instance);
        ranked.push_back({i, costOf(candidates[i], input, parameters, context, now), hash});
    }
    const auto cheapest = std::min_element(ranked.begin(), ranked.end(), isPreferred);
    const std::size_t cheapestIndex = cheapest->index;
    const double lowestCost = cheapest->cost;
    const double share = std::clamp(input.affinityShare, 0.0, 1.0);
    const std::size_t partServers = context.isUneven && !input.affinity.empty() ? serversToDrawFrom(candidates, input, share, parameters, now) : 1;
    const bool isCached = candidates[cheapestIndex].cachedTokens > 0;
    if (partServers > parameters.affinityServers && (isCached || input.fetchableTokens == 0)) {
        return drawPartServer(ranked, partServers, lowestCost + parameters.affinityCostMargin, input.salt);
    }
    if (!input.affinity.empty() && input.fetchableTokens == 0) {
        if (const auto index = cheapAffinityServer(ranked, lowestCost, parameters)) {
            return index;
        }
    }
    if (!context.isUneven || isCached) {
        return cheapestIndex;
    }
    return drawCheap(ranked, serversToDrawFrom(candidates, input, 1, parameters, now), input.salt);
}

} // namespace cardamomlift::balancing
