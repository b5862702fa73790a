#include "duties/orderplan.h"

#include <algorithm>
#include <numeric>

namespace cardamomlift::duties {

namespace {

double priceOf(const manifest::Scaling &scaling, const std::string &zone)
{
    const auto found = scaling.zonePrices.find(zone);
    return found == scaling.zonePrices.end() ? 1 : found->second;
}

} // namespace

std::vector<ServerOrder> planOrders(
    const std::string &service, const manifest::Scaling &scaling, std::span<const ZoneServers> zones, const CapacityTarget &target)
{
    std::vector<ServerOrder> orders;
    std::vector<const ZoneServers *> byPrice;
    int reclaimable = 0;
    std::vector<int> losses;
    for (const ZoneServers &zone : zones) {
        byPrice.push_back(&zone);
        reclaimable += zone.reclaimable;
        losses.push_back(zone.reclaimable);
        orders.push_back({service, zone.zone, true, std::min(target.reclaimablePerZone, scaling.maxPerZone)});
    }
    std::stable_sort(
        byPrice.begin(), byPrice.end(), [&](const ZoneServers *a, const ZoneServers *b) { return priceOf(scaling, a->zone) < priceOf(scaling, b->zone); });
    std::sort(losses.rbegin(), losses.rend());
    losses.resize(std::min(losses.size(), static_cast<std::size_t>(std::max(0, target.reclaimsToSurvive))));
    const int lost = std::accumulate(losses.begin(), losses.end(), 0);
    int missing = std::max(target.servers - reclaimable, target.serversAfterReclaim - (reclaimable - lost));
    // One server in each failure domain before a second in the cheapest: a server is then near the callers, and less is lost
    // with one failure domain.
    std::vector<int> ordinary(byPrice.size(), 0);
    bool placed = true;
    while (missing > 0 && placed) {
        placed = false;
        for (std::size_t i = 0; i < byPrice.size() && missing > 0; i++) {
            if (ordinary[i] + byPrice[i]->reclaimable + byPrice[i]->leaving >= scaling.maxPerZone) {
                continue;
            }
            ordinary[i]++;
            missing--;
            placed = true;
        }
    }
    for (std::size_t i = 0; i < byPrice.size(); i++) {
        const bool isBelowMinimum = byPrice[i]->reclaimable + ordinary[i] < scaling.minPerZone && target.reclaimablePerZone == 0;
        orders.push_back({service, byPrice[i]->zone, false, isBelowMinimum ? scaling.minPerZone : ordinary[i]});
    }
    return orders;
}

} // namespace cardamomlift::duties
