#include "fleet/fleetcontroller.h"

#include "kernel/log.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::fleet {

namespace {

/// A new holder waits this long before its first order: by then, pending orders of the previous holder appear in the
/// cloud's list.
constexpr Duration TakeoverDelay = std::chrono::seconds(5);
/// An offer that the cloud refused is not ordered again for this long.
constexpr Duration RefusalBackoff = std::chrono::seconds(60);

/// Fills in price and throughput of each VM from the offers. VMs without a matching offer stay unchanged.
void applyOffers(std::vector<FleetVm> &vms, const std::vector<Offer> &offers)
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

/// Adds the VMs of create orders without a response, so that a slow cloud is not asked for the same VMs in each round.
void addPendingCreates(std::vector<FleetVm> &vms, const std::map<std::string, CreateOrder> &pendingCreates)
{
    for (const auto &entry : pendingCreates) {
        const CreateOrder &order = entry.second;
        const bool isListed = std::any_of(vms.begin(), vms.end(), [&](const FleetVm &vm) { return vm.name == order.name; });
        if (!isListed) {
            vms.push_back({order.name, order.model, order.offer, FleetVmState::Starting});
        }
    }
}

} // namespace

std::shared_ptr<FleetController> FleetController::create(FleetControllerTools tools, FleetPolicy policy)
{
    std::shared_ptr<FleetController> controller(new FleetController);
    controller->tools_ = std::move(tools);
    controller->policy_ = policy;
    return controller;
}

void FleetController::start(Duration period)
{
    tools_.loop->every(period, [this] { reconcile(); });
}

const FleetControllerCounters &FleetController::counters() const
{
    return counters_;
}

void FleetController::reconcile()
{
    const std::uint64_t fence = tools_.lease->fence();
    if (fence != 0 && fence != lastFence_) {
        leaseAcquiredAt_ = tools_.loop->now();
    }
    lastFence_ = fence;
    if (fence == 0 || busy_ || tools_.loop->now() - leaseAcquiredAt_ < TakeoverDelay) {
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

void FleetController::plan(std::vector<FleetVm> vms, const std::vector<Offer> &offers)
{
    applyOffers(vms, offers);
    addPendingCreates(vms, pendingCreates_);
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

void FleetController::create(const FleetOrder &order)
{
    // NOTE Checked before every order: the process may have been paused since the last one and have lost the lease.
    const std::uint64_t fence = tools_.lease->fence();
    if (fence == 0) {
        counters_.notHeld++;
        return;
    }
    const CreateOrder create{fmt::format("cl-{}-f{}-{}", order.model, fence, nextNumber_++), order.model, order.offer};
    pendingCreates_.emplace(create.name, create);
    tools_.cloud->create(create, [this, create](CloudOrderOutcome outcome) {
        pendingCreates_.erase(create.name);
        if (outcome == CloudOrderOutcome::Done) {
            counters_.created++;
            partLogger("fleet")->info("VM created. name={} zone={} class={}", create.name, create.offer.zone, create.offer.machineClass);
        } else if (outcome == CloudOrderOutcome::Refused) {
            counters_.refused++;
            recordRefusal(create.offer);
        } else {
            // Not retried: if it took effect, the next listing shows the VM; if not, the next plan orders one again.
            counters_.unknown++;
        }
    });
}

void FleetController::recordRefusal(const Offer &offer)
{
    partLogger("fleet")->warn("The cloud refused to create a VM. zone={} class={} reclaimable={}", offer.zone, offer.machineClass, offer.reclaimable);
    refused_.push_back({offer.zone, offer.machineClass, offer.reclaimable, tools_.loop->now() + RefusalBackoff});
}

void FleetController::remove(const std::vector<FleetVm> &vms, const FleetOrder &order)
{
    const auto found = std::find_if(vms.begin(), vms.end(), [&](const FleetVm &vm) { return vm.name == order.name; });
    if (found == vms.end() || !tools_.lease->isHeld()) {
        counters_.notHeld++;
        return;
    }
    tools_.cloud->remove(*found, [this, name = order.name](CloudOrderOutcome outcome) {
        if (outcome == CloudOrderOutcome::Done) {
            counters_.deleted++;
            partLogger("fleet")->info("VM deleted. name={}", name);
        }
    });
}

// Sent to every live VM in each round: an engine that does not check fencing tokens may have followed a late order of an
// earlier holder.
void FleetController::orderEngines(const std::vector<FleetVm> &vms)
{
    for (const FleetVm &vm : vms) {
        const std::uint64_t fence = tools_.lease->fence();
        if (vm.state == FleetVmState::Live && fence != 0) {
            tools_.orderEngine({vm.name, vm.model, fence});
        }
    }
}

} // namespace cardamomlift::fleet
