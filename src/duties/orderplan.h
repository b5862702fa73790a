#pragma once

#include "duties/dutytypes.h"
#include "manifest/manifesttypes.h"

#include <span>
#include <string>
#include <vector>

namespace cardamomlift::duties {

/// The servers of one service in one failure domain. Leaving servers count only in @c leaving.
struct ZoneServers {
    std::string zone;
    int ordinary = 0;
    int reclaimable = 0;
    int onTrial = 0; ///< Ordinary servers whose software version is on trial: they add no capacity, but an order includes them.
    int onTrialReclaimable = 0;
    int leaving = 0; ///< Of both kinds: they count against the maximum until they are gone.
};

/// What a plan must provide.
struct CapacityTarget {
    int servers = 0; ///< Servers of either kind that must be ready, in all failure domains together.
    int serversAfterReclaim = 0; ///< Servers that must remain when reclaimsToSurvive failure domains lose their reclaimable ones.
    int reclaimablePerZone = 0; ///< Reclaimable servers to keep while available: they are cheap, so more than @c servers needs.
    int reclaimsToSurvive = 1; ///< Failure domains whose loss serversAfterReclaim allows for, those with the most reclaimable servers.
    bool operator==(const CapacityTarget &) const = default;
};

/// Plans the orders for one service: reclaimable servers in each failure domain, and as many ordinary ones as the target lacks
/// right now, in the cheapest failure domains. A pure function, so that a new leader plans the same.
std::vector<ServerOrder> planOrders(
    const std::string &service, const manifest::Scaling &scaling, std::span<const ZoneServers> zones, const CapacityTarget &target);

} // namespace cardamomlift::duties
