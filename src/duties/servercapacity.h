#pragma once

#include "kernel/clock.h"
#include "pace/pacetypes.h"

#include <optional>

namespace cardamomlift::duties {

/// Prompt tokens per second that one server of a service is reckoned with, so that first tokens still come well in time. Prompts
/// are counted whole, also where a part of them is cached.
struct ServerCapacity {
    double tokensPerSecond = 25'000; ///< The assumed one while nothing is measured.
    std::optional<TimePoint> updatedAt;
};

/// Prompt tokens per second to reckon with at a server that prefills at the measured rate; the assumed ones if it is unknown or
/// cannot be right.
double measuredTokensPerServer(const std::optional<pace::FirstByteModel> &measured);

/// Moves @p capacity towards what is measured. Returns the factor by which it has grown. The first call takes the measured
/// capacity over at once and returns 1, as a new leader has recorded no demand yet.
double updateCapacity(ServerCapacity &capacity, const std::optional<pace::FirstByteModel> &measured, TimePoint now);

} // namespace cardamomlift::duties
