#pragma once

#include "fleet/cloudclient.h"
#include "fleet/demand.h"
#include "fleet/fleetlease.h"
#include "fleet/fleetplan.h"
#include "kernel/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace cardamomlift::fleet {

/// Dependencies of a FleetController.
struct FleetControllerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<FleetLease> lease;
    std::shared_ptr<Cloud> cloud;
    /// Returns the current demand, summed over all entry VMs.
    std::function<std::vector<ModelDemand>()> demands;
    /// Orders the engine of a live VM to load its model. Called for each live VM in each round; skips engines that already
    /// serve the model.
    std::function<void(const EngineOrder &order)> orderEngine;
};

/// Counts of orders to the cloud, for tests and metrics.
struct FleetControllerCounters {
    std::uint64_t created = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t deleted = 0;
    std::uint64_t notHeld = 0; ///< Orders not sent: the lease had ended, or the VM to delete was not listed.
};

/// Reconciles the backend VMs with the plan. Only the one VM that holds the fleet lease gives orders.
class FleetController
{
public:
    static std::shared_ptr<FleetController> create(FleetControllerTools tools, FleetPolicy policy);

    void start(Duration period);
    /// Runs one round: lists the VMs, makes a plan, sends the orders. Does nothing without the lease, or while the previous
    /// round is still running.
    void reconcile();
    const FleetControllerCounters &counters() const;

private:
    FleetController() = default;
    void plan(std::vector<FleetVm> vms, const std::vector<Offer> &offers);
    void create(const FleetOrder &order);
    void remove(const std::vector<FleetVm> &vms, const FleetOrder &order);
    void recordRefusal(const Offer &offer);
    void orderEngines(const std::vector<FleetVm> &vms);
    FleetControllerTools tools_;
    FleetPolicy policy_;
    std::vector<RefusedOffer> refused_;
    std::map<std::string, CreateOrder> pendingCreates_; ///< Create orders without a response yet, by name.
    FleetControllerCounters counters_;
    std::uint64_t lastFence_ = 0;
    TimePoint leaseAcquiredAt_;
    std::uint64_t nextNumber_ = 1;
    bool busy_ = false;
};

} // namespace cardamomlift::fleet
