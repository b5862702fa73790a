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

std::int64_t combinedDeficit(const Deficit &deficit)
{
    return deficit.total + deficit.afterZoneLoss;
}

FleetVm plannedVm(const Offer &offer, const std::string &model)
{
    return FleetVm{{}, model, offer, FleetVmState::Starting};
}

/// The offer that reduces the deficit most for its price; empty if no offer reduces it.
std::optional<Offer> bestOffer(const ModelDemand &demand, const FleetView &view, std::vector<FleetVm> &vms, const FleetPolicy &policy)
{
    const std::int64_t before = combinedDeficit(deficitOf(demand, vms, policy));
    std::optional<Offer> best;
    double bestGain = 0.0;
    for (const Offer &offer : view.offers) {
        if (isRefused(offer, view) || offer.microsPerHour <= 0) {
            continue;
        }
        vms.push_back(plannedVm(offer, demand.model));
        const std::int64_t after = combinedDeficit(deficitOf(demand, vms, policy));
        vms.pop_back();
        const double gain = static_cast<double>(before - after) / static_cast<double>(offer.microsPerHour);
        if (gain > bestGain) {
            bestGain = gain;
            best = offer;
        }
    }
    return best;
}

/// Adds create orders for one model while @p needsMore is true for its deficit and @p startsLeft allows.
template<class NeedsMore>
void planCreates(const ModelDemand &demand,
    const FleetView &view,
    std::vector<FleetVm> &vms,
    const FleetPolicy &policy,
    std::size_t &startsLeft,
    std::vector<FleetOrder> &orders,
    NeedsMore needsMore)
{
    while (startsLeft > 0 && needsMore(deficitOf(demand, vms, policy))) {
        const auto offer = bestOffer(demand, view, vms, policy);
        if (!offer) {
            return;
        }
        orders.push_back({FleetOrderKind::Create, demand.model, *offer, {}});
        vms.push_back(plannedVm(*offer, demand.model));
        startsLeft--;
    }
}

/// True if the model has enough capacity without VM number @p index, with the margin that prevents oscillation.
bool canSpare(const ModelDemand &demand, const std::vector<FleetVm> &vms, std::size_t index, const FleetPolicy &policy)
{
    std::vector<FleetVm> rest = vms;
    rest.erase(rest.begin() + static_cast<std::ptrdiff_t>(index));
    ModelDemand demandWithMargin = demand;
    demandWithMargin.totalTokensPerSecond += demand.totalTokensPerSecond * policy.shrinkMarginPercent / Percent;
    demandWithMargin.urgentTokensPerSecond += demand.urgentTokensPerSecond * policy.shrinkMarginPercent / Percent;
    return combinedDeficit(deficitOf(demandWithMargin, rest, policy)) == 0;
}

void planDelete(const ModelDemand &demand, const std::vector<FleetVm> &vms, const FleetPolicy &policy, std::vector<FleetOrder> &orders)
{
    const FleetVm *mostExpensive = nullptr;
    for (std::size_t i = 0; i < vms.size(); i++) {
        const FleetVm &vm = vms[i];
        if (vm.model != demand.model || vm.state != FleetVmState::Live || !canSpare(demand, vms, i, policy)) {
            continue;
        }
        if (!mostExpensive || vm.offer.microsPerHour > mostExpensive->offer.microsPerHour) {
            mostExpensive = &vm;
        }
    }
    if (mostExpensive) {
        orders.push_back({FleetOrderKind::Delete, demand.model, {}, mostExpensive->name});
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
    const std::int64_t required = demand.totalTokensPerSecond + demand.totalTokensPerSecond * policy.headroomPercent / Percent;
    return {std::max<std::int64_t>(0, required - total), std::max<std::int64_t>(0, demand.urgentTokensPerSecond - (total - largestZone))};
}

std::vector<FleetOrder> planFleet(const FleetView &view, const FleetPolicy &policy)
{
    std::vector<FleetVm> vms = view.vms;
    const auto starting = static_cast<std::size_t>(std::count_if(vms.begin(), vms.end(), [](const FleetVm &vm) { return vm.state == FleetVmState::Starting; }));
    std::size_t startsLeft = policy.maxStarting > starting ? policy.maxStarting - starting : 0;
    std::vector<FleetOrder> orders;
    // NOTE The urgent demand of all models comes first: the number of starts is limited, and deferrable demand must not use
    // them up.
    for (const ModelDemand &demand : view.demands) {
        planCreates(demand, view, vms, policy, startsLeft, orders, [](const Deficit &deficit) { return deficit.afterZoneLoss > 0; });
    }
    for (const ModelDemand &demand : view.demands) {
        planCreates(demand, view, vms, policy, startsLeft, orders, [](const Deficit &deficit) { return deficit.total > 0; });
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
