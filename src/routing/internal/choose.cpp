#include "routing/choose.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace cardamomlift::routing {

namespace {

constexpr double FailedPenaltyMs = 1e6;
constexpr double FailedZonePenaltyMs = 1e4; ///< Zones fail as a whole, so after a failure another zone is tried first.
constexpr double HostsSuspectPenaltyMs = 500; ///< Far below FailedPenaltyMs: a server with a suspect may crash, a failed one surely fails.
constexpr double SecondSuspectPenaltyMs = 1e5; ///< After a crash it would not be known which of two suspects caused it.
constexpr double SharedServerPenaltyMs = 1e3; ///< For each request that would share the server with a suspect.
constexpr double FleetStartsPerRootOfEntries = 2; ///< Determined with bench-routing at 8 and 40 entry VMs.
constexpr double FullCacheShare = 0.95;
constexpr double FullCachePenaltyMs = 100; ///< Above FullCacheShare the server preempts running requests.
constexpr double MsPerPriceRatioNormal = 25;
constexpr double MsPerPriceRatioDeferrable = 150;
constexpr double RecomputeFactorDeferrable = 2;

bool contains(std::span<const std::string> values, std::string_view value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

std::int64_t lowestPriceOf(std::span<const Candidate> candidates)
{
    std::int64_t lowestPrice = std::numeric_limits<std::int64_t>::max();
    for (const Candidate &candidate : candidates) {
        if (!candidate.excluded) {
            lowestPrice = std::min(lowestPrice, candidate.microsPerHour);
        }
    }
    return lowestPrice;
}

} // namespace

RouteWeights weightsOf(Urgency urgency)
{
    RouteWeights weights;
    if (urgency == Urgency::Normal) {
        weights.msPerPriceRatio = MsPerPriceRatioNormal;
    }
    if (urgency == Urgency::Deferrable) {
        weights.msPerPriceRatio = MsPerPriceRatioDeferrable;
        weights.recomputeFactor = RecomputeFactorDeferrable;
    }
    return weights;
}

double fleetStartsPerLocalStart(std::size_t entries)
{
    return std::max(1.0, FleetStartsPerRootOfEntries * std::sqrt(static_cast<double>(entries)));
}

double estimatedLoad(const Candidate &candidate)
{
    const double own = candidate.inFlight;
    if (!candidate.report) {
        return own * candidate.fleetStartsPerLocalStart;
    }
    return std::max(own, candidate.report->running + candidate.recentStarts * candidate.fleetStartsPerLocalStart);
}

double costOf(const Candidate &candidate, const RouteCriteria &criteria, const RouteWeights &weights, std::int64_t lowestPrice)
{
    // The customer's own requests count twice, so that a burst of one customer spreads instead of filling the servers of one prefix.
    const double load = estimatedLoad(candidate) + candidate.customerInFlight;
    double cost = load * weights.msPerRequest;
    if (candidate.report) {
        cost += candidate.report->waiting * weights.msPerQueued;
        cost += candidate.report->cacheUsed > FullCacheShare ? FullCachePenaltyMs : 0;
    }
    const double uncached = static_cast<double>(criteria.promptTokens) * (1 - candidate.cachedShare);
    cost += uncached / weights.promptTokensPerMs * weights.recomputeFactor;
    if (lowestPrice > 0) {
        const double ratio = static_cast<double>(candidate.microsPerHour) / static_cast<double>(lowestPrice);
        cost += (ratio - 1) * weights.msPerPriceRatio;
    }
    cost += candidate.failedRecently ? FailedPenaltyMs : 0;
    cost += contains(criteria.avoidZones, candidate.zone) ? FailedZonePenaltyMs : 0;
    if (candidate.hostsSuspect) {
        cost += criteria.preferIdleServer ? SecondSuspectPenaltyMs : HostsSuspectPenaltyMs;
    }
    cost += criteria.preferIdleServer ? estimatedLoad(candidate) * SharedServerPenaltyMs : 0;
    return cost;
}

std::optional<std::size_t> choose(std::span<const Candidate> candidates, const RouteCriteria &criteria)
{
    const RouteWeights weights = weightsOf(criteria.urgency);
    const std::int64_t lowestPrice = lowestPriceOf(candidates);
    std::optional<std::size_t> best;
    double bestCost = 0;
    for (std::size_t i = 0; i < candidates.size(); i++) {
        if (candidates[i].excluded) {
            continue;
        }
        const double cost = costOf(candidates[i], criteria, weights, lowestPrice);
        if (!best || cost < bestCost) {
            best = i;
            bestCost = cost;
        }
    }
    return best;
}

} // namespace cardamomlift::routing
