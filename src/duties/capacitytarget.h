#pragma once

#include "duties/orderplan.h"
#include "duties/servercapacity.h"
#include "manifest/manifesttypes.h"
#include "presence/presencetypes.h"

#include <map>
#include <optional>
#include <span>
#include <string>

namespace cardamomlift::duties {

/// The load of one service, as reported by all VMs together.
struct FleetLoad {
    double promptTokensPerSecond = 0;
    double open = 0; ///< Requests being answered.
    double lateness = 0; ///< Time to the first byte divided by its goal: the mean over all answers.
};

/// Sums the loads that the VMs report for @p service.
FleetLoad sumLoads(std::span<const presence::ServiceLoad> loads, std::uint64_t service);

/// The servers that a load needs, by each of its measures.
struct ServerNeed {
    double byTokens = 0;
    double bySlots = 0;
    double pressure = 1; ///< Factor by which late answers raise the need.

    double servers() const;
};

ServerNeed assessNeed(const FleetLoad &load, const manifest::Service &service, const ServerCapacity &capacity);
/// The number of servers that @p load needs now.
double neededServers(const FleetLoad &load, const manifest::Service &service, const ServerCapacity &capacity = {});

/// The recent demand for servers, which decays slowly: a server that was stopped interrupts what it runs, and its replacement
/// needs time to start.
struct DemandHistory {
    double shortTerm = 0; ///< Decays within seconds; used for ordinary servers.
    double longTerm = 0; ///< Decays within a minute; used for reclaimable servers.
    std::optional<TimePoint> updatedAt;
    int servers = 0; ///< The last target.
    int reclaimablePerZone = 0; ///< The same for reclaimable servers in each failure domain.
};

/// Restates the recent demand after one server's capacity has grown by @p growth: it was recorded in servers of the earlier capacity.
void rescaleDemand(DemandHistory &history, double growth);

/// The servers of one service that are running now, in all failure domains.
struct PresentServers {
    int ordinary = 0;
    int reclaimable = 0;
    bool isReclaimableUnavailable = false; ///< The last order for reclaimable servers was refused in some failure domain.
    int recentReclaims = 0; ///< Failure domains that have recently lost all their reclaimable servers.
};

/// The failure domains that have lost all their reclaimable servers at once.
struct ReclaimHistory {
    std::map<std::string, int, std::less<>> reclaimable; ///< When last counted, by failure domain.
    std::map<std::string, TimePoint, std::less<>> reclaimedAt; ///< By failure domain.
};

/// Updates @p history and returns the number of failure domains that were reclaimed recently.
int countRecentReclaims(ReclaimHistory &history, std::span<const ZoneServers> zones, TimePoint now);

/// Updates @p history with the current @p need and returns the target for @p zones failure domains. An empty history starts
/// with the servers that are running.
CapacityTarget updateTarget(
    DemandHistory &history, double need, const PresentServers &present, std::size_t zones, const manifest::Scaling &scaling, TimePoint now);

} // namespace cardamomlift::duties
