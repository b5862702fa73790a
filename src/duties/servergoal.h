#pragma once

#include "duties/orderplan.h"
#include "manifest/manifesttypes.h"
#include "presence/presencetypes.h"

#include <optional>
#include <span>

namespace cardamomlift::duties {

/// What all VMs together say of one service's load.
struct FleetLoad {
    double promptTokensPerSecond = 0;
    double open = 0;
    double lateness = 0; ///< Time to the first byte over the goal: the mean over all answers.
};

/// Adds up what the VMs say of @p service.
FleetLoad sumLoads(std::span<const presence::ServiceLoad> loads, std::uint64_t service);

/// The servers that @p load needs now.
double neededServers(const FleetLoad &load, const manifest::Service &service);

/// Keeps the need of the last seconds: servers that were sent away take their start time to come back.
struct NeedMemory {
    double held = 0;
    TimePoint heldAt;
};
double holdNeed(NeedMemory &memory, double need, TimePoint now);

/// What shall be ordered for a need of @p need servers in @p zones failure domains.
PlanGoal goalFor(double need, std::size_t zones, const manifest::Scaling &scaling);

} // namespace cardamomlift::duties
