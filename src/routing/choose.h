#pragma once

#include "routing/routingtypes.h"

#include <optional>
#include <span>

namespace cardamomlift::routing {

/// How much each property of a server counts, in milliseconds of expected delay.
struct RouteWeights {
    double msPerRequest = 8; ///< One more request in the server's batch.
    double msPerQueued = 60; ///< One more request before ours in the server's queue.
    double promptTokensPerMs = 10; ///< Speed at which a prompt that is not cached is computed.
    double recomputeFactor = 1; ///< Above 1: a token computed again costs more than the time it takes.
    double msPerPriceRatio = 0; ///< For a server twice as dear as the cheapest of the sample.
};

RouteWeights weightsOf(Urgency urgency);

/// How many recent starts one of ours stands for when @p entries VMs choose by the same rules from the same reports. Less
/// than @p entries, for they don't all choose the same server.
double fleetStartsPerLocalStart(std::size_t entries);

/// Requests that @p candidate is thought to hold now: its report, plus what this VM gave it since.
double estimatedLoad(const Candidate &candidate);

/// Expected delay and cost of @p candidate in milliseconds; lower is better. @p cheapest is the least price of the sample.
double costOf(const Candidate &candidate, const RouteCriteria &criteria, const RouteWeights &weights, std::int64_t lowestPrice);

/// Index of the cheapest candidate by costOf(), or none if all are excluded. A server that failed a moment ago is taken
/// only when there is no other.
std::optional<std::size_t> choose(std::span<const Candidate> candidates, const RouteCriteria &criteria);

} // namespace cardamomlift::routing
