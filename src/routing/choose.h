#pragma once

#include "routing/routingtypes.h"

#include <optional>
#include <span>

namespace cardamomlift::routing {

/// The weights of a server's properties, in milliseconds of expected delay.
struct RouteWeights {
    double msPerRequest = 8; ///< One more request in the server's batch.
    double msPerQueued = 60; ///< One more request in the server's queue.
    double promptTokensPerMs = 10; ///< Prefill speed for the part of a prompt that is not cached.
    double recomputeFactor = 1; ///< Above 1: an uncached token counts more than the time to compute it.
    double msPerPriceRatio = 0; ///< For a server at twice the lowest price of the sample.
};

RouteWeights weightsOf(Urgency urgency);

/// Returns the estimated number of recent starts by all entry VMs at a server for each recent start by this VM, when
/// @p entries VMs choose by the same rules from the same reports. Less than @p entries, as they do not all choose the same
/// server.
double fleetStartsPerLocalStart(std::size_t entries);

/// Estimates the requests at @p candidate: those of its report, plus those started since.
double estimatedLoad(const Candidate &candidate);

/// Returns the expected delay and price of @p candidate as milliseconds; lower is better. @p lowestPrice is that of the sample.
double costOf(const Candidate &candidate, const RouteCriteria &criteria, const RouteWeights &weights, std::int64_t lowestPrice);

/// Returns the index of the candidate with the lowest costOf(), or none if all are excluded. A server that failed recently
/// is chosen only if there is no other.
std::optional<std::size_t> choose(std::span<const Candidate> candidates, const RouteCriteria &criteria);

} // namespace cardamomlift::routing
