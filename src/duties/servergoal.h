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

/// What was needed lately: servers that were sent away take their start time to come back, and end what they run.
struct NeedMemory {
    double shortTerm = 0; ///< Falls within seconds; ordinary servers follow it.
    double longTerm = 0; ///< Falls within a minute; reclaimable servers follow it.
    std::optional<TimePoint> updatedAt;
    int servers = 0; ///< The goal that was set last.
};

/// The servers of one service that are there now, in all failure domains.
struct PresentServers {
    int ordinary = 0;
    int reclaimable = 0;
    bool isStockOut = false; ///< The last order of reclaimable ones was refused in some failure domain.
};

/// Brings @p memory up to @p need and gives what shall be ordered in @p zones failure domains. A memory that is empty begins
/// with the servers that are there.
PlanGoal updateGoal(NeedMemory &memory, double need, const PresentServers &present, std::size_t zones, const manifest::Scaling &scaling, TimePoint now);

} // namespace cardamomlift::duties
