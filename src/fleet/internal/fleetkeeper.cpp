#include "fleet/fleetkeeper.h"

#include "kernel/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::fleet {

namespace {

/// A new holder orders nothing for so long: orders its predecessor had under way show in the cloud's list by then.
constexpr Duration SettleTime = std::chrono::seconds(5);
constexpr Duration RefusedFor = std::chrono::seconds(60);

/// Price and speed of each VM, from the offers; VMs of no offer keep what they have.
void fillOffers(std::vector<FleetVm> &vms, const std::vector<Offer> &offers)
{
    for (FleetVm &vm : vms) {
        const auto found = std::find_if(offers.begin(), offers.end(), [&](const Offer &offer) {
            return offer.zone == vm.offer.zone && offer.machineClass == vm.offer.machineClass && offer.reclaimable == vm.offer.reclaimable;
        });
        if (found != offers.end()) {
            vm.offer = *found;
        }
    }
}

/// Counts orders without an answer as ordered, so that a slow cloud is not asked for the same VMs in each round.
void addUnderWay(std::vector<FleetVm> &vms, const std::map<std::string, CreateOrder> &underWay)
{
    for (const auto &entry : underWay) {
        const CreateOrder &order = entry.second;
        const bool isListed = std::any_of(vms.begin(), vms.end(), [&](const FleetVm &vm) { return vm.name == order.name; });
        if (!isListed) {
            vms.push_back({order.name, order.model, order.offer, FleetVmState::Starting});
        }
    }
}

} // namespace

std::shared_ptr<FleetKeeper> FleetKeeper::create(KeeperTools tools, FleetPolicy policy)
{
    std::shared_ptr<FleetKeeper> keeper(new FleetKeeper);
    keeper->tools_ = std::move(tools);
    keeper->policy_ = policy;
    return keeper;
}

void FleetKeeper::start(Duration period)
{
    tools_.loop->every(period, [this] { step(); });
}

const KeeperCounters &FleetKeeper::counters() const
{
    return counters_;
}

void FleetKeeper::step()
{
    const std::uint64_t fence = tools_.lease->fence();
    if (fence != 0 && fence != lastFence_) {
        heldSince_ = tools_.loop->now();
    }
    lastFence_ = fence;
    if (fence == 0 || busy_ || tools_.loop->now() - heldSince_ < SettleTime) {
        return;
    }
    busy_ = true;
    tools_.cloud->offers([this](Result<std::vector<Offer>> offers) {
        if (!offers) {
            busy_ = false;
            return;
        }
        tools_.cloud->list([this, offers = offers.value()](Result<std::vector<FleetVm>> vms) {
            busy_ = false;
            if (vms) {
                plan(std::move(vms.value()), offers);
            }
        });
    });
}

void FleetKeeper::plan(std::vector<FleetVm> vms, const std::vector<Offer> &offers)
{
    fillOffers(vms, offers);
    addUnderWay(vms, underWay_);
    const FleetView view{offers, tools_.demands(), vms, refused_, tools_.loop->now()};
    std::erase_if(refused_, [&](const RefusedOffer &refused) { return refused.until <= view.now; });
    for (const FleetOrder &order : planFleet(view, policy_)) {
        if (order.kind == FleetOrderKind::Create) {
            create(order);
        } else {
            remove(vms, order);
        }
    }
    orderEngines(vms);
}

void FleetKeeper::create(const FleetOrder &order)
{
    // NOTE Asked before every order: the process may have been paused since the last one.
    const std::uint64_t fence = tools_.lease->fence();
    if (fence == 0) {
        counters_.notHeld++;
        return;
    }
    const CreateOrder create{fmt::format("cl-{}-f{}-{}", order.model, fence, nextNumber_++), order.model, order.offer};
    underWay_.emplace(create.name, create);
    tools_.cloud->create(create, [this, create](CloudAnswer answer) {
        underWay_.erase(create.name);
        if (answer == CloudAnswer::Done) {
            counters_.created++;
            partLogger("fleet")->info("Ordered a VM. name={} zone={} class={}", create.name, create.offer.zone, create.offer.machineClass);
        } else if (answer == CloudAnswer::Refused) {
            counters_.refused++;
            noteRefused(create.offer);
        } else {
            // Not repeated: if it took effect, the next listing shows it; if not, the next plan asks again.
            counters_.unknown++;
        }
    });
}

void FleetKeeper::noteRefused(const Offer &offer)
{
    partLogger("fleet")->warn("The cloud refused a VM. zone={} class={} reclaimable={}", offer.zone, offer.machineClass, offer.reclaimable);
    refused_.push_back({offer.zone, offer.machineClass, offer.reclaimable, tools_.loop->now() + RefusedFor});
}

void FleetKeeper::remove(const std::vector<FleetVm> &vms, const FleetOrder &order)
{
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const FleetVm &vm) { return vm.name == order.name; });
    if (found == vms.end() || !tools_.lease->isHeld()) {
        counters_.notHeld++;
        return;
    }
    tools_.cloud->remove(*found, [this, name = order.name](CloudAnswer answer) {
        if (answer == CloudAnswer::Done) {
            counters_.deleted++;
            partLogger("fleet")->info("Gave back a VM. name={}", name);
        }
    });
}

// An engine that ignores fencing numbers may have followed a late order of an earlier holder: it is told again.
void FleetKeeper::orderEngines(const std::vector<FleetVm> &vms)
{
    for (const FleetVm &vm : vms) {
        const std::uint64_t fence = tools_.lease->fence();
        if (vm.state == FleetVmState::Live && fence != 0) {
            tools_.orderEngine({vm.name, vm.model, fence});
        }
    }
}

} // namespace cardamomlift::fleet
