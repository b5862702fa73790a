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

/// What a keeper works with.
struct KeeperTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<FleetLease> lease;
    std::shared_ptr<Cloud> cloud;
    /// The demand over all entry VMs, now.
    std::function<std::vector<ModelDemand>()> demands;
    /// Sends an order to the engine of a live VM; called again at each step until the engine runs the model.
    std::function<void(const EngineOrder &order)> orderEngine;
};

/// Counts of orders, for tests and metrics.
struct KeeperCounters {
    std::uint64_t created = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t deleted = 0;
    std::uint64_t notHeld = 0; ///< Orders not sent, because the lease had ended meanwhile.
};

/// Brings the fleet of backend VMs to the plan, on the one VM that holds the lease.
class FleetKeeper
{
public:
    static std::shared_ptr<FleetKeeper> create(KeeperTools tools, FleetPolicy policy);

    void start(Duration period);
    /// One round: list, plan, order. Does nothing without the lease, or while a round runs.
    void step();
    const KeeperCounters &counters() const;

private:
    FleetKeeper() = default;
    void plan(std::vector<FleetVm> vms, const std::vector<Offer> &offers);
    void create(const FleetOrder &order);
    void remove(const std::vector<FleetVm> &vms, const FleetOrder &order);
    void noteRefused(const Offer &offer);
    void orderEngines(const std::vector<FleetVm> &vms);
    KeeperTools tools_;
    FleetPolicy policy_;
    std::vector<RefusedOffer> refused_;
    std::map<std::string, CreateOrder> underWay_; ///< Creates without an answer yet, by name.
    KeeperCounters counters_;
    std::uint64_t lastFence_ = 0;
    TimePoint heldSince_;
    std::uint64_t nextNumber_ = 1;
    bool busy_ = false;
};

} // namespace cardamomlift::fleet
