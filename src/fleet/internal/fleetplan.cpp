#include "fleet/fleetplan.h"

#include <algorithm>
#include <map>
#include <optional>

namespace cardamomlift::fleet {

namespace {

constexpr std::int64_t Percent = 100;

bool isSameOffer(const Offer &offer, const RefusedOffer &refused)
{
    return offer.zone == refused.zone && offer.machineClass == refused.machineClass && offer.reclaimable == refused.reclaimable;
}

bool isRefused(const Offer &offer, const FleetView &view)
{
    return std::any_of(
        view.refused.begin(), view.refused.end(), [&](const RefusedOffer &refused) { return isSameOffer(offer, refused) && refused.until > view.now; });
}

std::int64_t sumOf(const Deficit &deficit)
{
    return deficit.total + deficit.afterZoneLoss;
}

FleetVm vmOf(const Offer &offer, const std::string &model)
{
    return FleetVm{{}, model, offer, FleetVmState::Starting};
}

/// The offer that takes away most of the deficit for its price; none if nothing helps.
std::optional<Offer> bestOffer(const ModelDemand &demand, const FleetView &view, std::vector<FleetVm> &vms, const FleetPolicy &policy)
{
    const std::int64_t before = sumOf(deficitOf(demand, vms, policy));
    std::optional<Offer> best;
    double bestGain = 0.0;
    for (const Offer &offer : view.offers) {
        if (isRefused(offer, view) || offer.microsPerHour <= 0) {
            continue;
        }
        vms.push_back(vmOf(offer, demand.model));
        const std::int64_t after = sumOf(deficitOf(demand, vms, policy));
        vms.pop_back();
        const double gain = static_cast<double>(before - after) / static_cast<double>(offer.microsPerHour);
        if (gain > bestGain) {
            bestGain = gain;
            best = offer;
        }
    }
    return best;
}

/// Adds creates for one model while @p isMissing holds and VMs may start.
template<class IsMissing>
void planCreates(const ModelDemand &demand,
    const FleetView &view,
    std::vector<FleetVm> &vms,
    const FleetPolicy &policy,
    std::size_t &mayStart,
    std::vector<FleetOrder> &orders,
    IsMissing isMissing)
{
    while (mayStart > 0 && isMissing(deficitOf(demand, vms, policy))) {
        const auto offer = bestOffer(demand, view, vms, policy);
        if (!offer) {
            return;
        }
        orders.push_back({FleetOrderKind::Create, demand.model, *offer, {}});
        vms.push_back(vmOf(*offer, demand.model));
        mayStart--;
    }
}

/// True if the model has enough, with room against swinging, without VM number @p index.
bool canSpare(const ModelDemand &demand, const std::vector<FleetVm> &vms, std::size_t index, const FleetPolicy &policy)
{
    std::vector<FleetVm> rest = vms;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
    ModelDemand more = demand;
    more.totalTokensPerSecond += demand.totalTokensPerSecond * policy.shrinkPercent / Percent;
    more.urgentTokensPerSecond += demand.urgentTokensPerSecond * policy.shrinkPercent / Percent;
    return sumOf(deficitOf(more, rest, policy)) == 0;
}

void planDelete(const ModelDemand &demand, const std::vector<FleetVm> &vms, const FleetPolicy &policy, std::vector<FleetOrder> &orders)
{
    const FleetVm *dearest = nullptr;
    for (std::size_t i = 0; i < vms.size(); i++) {
        const FleetVm &vm = vms[i];
        if (vm.model != demand.model || vm.state != FleetVmState::Live || !canSpare(demand, vms, i, policy)) {
            continue;
        }
        if (!dearest || vm.offer.microsPerHour > dearest->offer.microsPerHour) {
            dearest = &vm;
        }
    }
    if (dearest) {
        orders.push_back({FleetOrderKind::Delete, demand.model, {}, dearest->name});
    }
}

} // namespace

Deficit deficitOf(const ModelDemand &demand, const std::vector<FleetVm> &vms, const FleetPolicy &policy)
{
    std::int64_t total = 0;
    std::map<std::string, std::int64_t> byZone;
    for (const FleetVm &vm : vms) {
        if (vm.model != demand.model || vm.state == FleetVmState::Leaving) {
            continue;
        }
        total += vm.offer.tokensPerSecond;
        byZone[vm.offer.zone] += vm.offer.tokensPerSecond;
    }
    std::int64_t largestZone = 0;
    for (const auto &[zone, tokens] : byZone) {
        largestZone = std::max(largestZone, tokens);
    }
    const std::int64_t wanted = demand.totalTokensPerSecond + demand.totalTokensPerSecond * policy.headroomPercent / Percent;
    return {std::max<std::int64_t>(0, wanted - total), std::max<std::int64_t>(0, demand.urgentTokensPerSecond - (total - largestZone))};
}

std::vector<FleetOrder> planFleet(const FleetView &view, const FleetPolicy &policy)
{
    std::vector<FleetVm> vms = view.vms;
    const auto starting = static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [](const FleetVm &vm) { return vm.state == FleetVmState::Starting; }));
    std::size_t mayStart = policy.mostStarting > starting ? policy.mostStarting - starting : 0;
    std::vector<FleetOrder> orders;
    // NOTE Urgent work of all models first: with few starts to give, a deferrable model must not use them up.
    for (const ModelDemand &demand : view.demands) {
        planCreates(demand, view, vms, policy, mayStart, orders, [](const Deficit &deficit) { return deficit.afterZoneLoss > 0; });
    }
    for (const ModelDemand &demand : view.demands) {
        planCreates(demand, view, vms, policy, mayStart, orders, [](const Deficit &deficit) { return deficit.total > 0; });
    }
    if (!orders.empty()) {
        return orders;
    }
    for (const ModelDemand &demand : view.demands) {
        planDelete(demand, vms, policy, orders);
    }
    return orders;
}

std::int64_t microsPerHour(const std::vector<FleetVm> &vms)
{
    std::int64_t sum = 0;
    for (const FleetVm &vm : vms) {
        sum += vm.state == FleetVmState::Leaving ? 0 : vm.offer.microsPerHour;
    }
    return sum;
}

} // namespace cardamomlift::fleet
