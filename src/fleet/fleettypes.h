#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomlift::fleet {

/// A kind of VM that the cloud offers: one machine class in one zone, reclaimable or on demand.
struct Offer {
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    std::int64_t microsPerHour = 0; ///< Price, in millionths of the currency.
    std::int64_t tokensPerSecond = 0; ///< Throughput of one such VM at the latency target.
};

/// Demand for one model, at one entry VM or summed over all.
struct ModelDemand {
    std::string model;
    std::int64_t urgentTokensPerSecond = 0; ///< Demand of service classes with priority "urgent".
    std::int64_t totalTokensPerSecond = 0;
};

/// Lifecycle state of a backend VM.
enum class FleetVmState {
    Starting, ///< Ordered, or loading its model weights.
    Live,
    Leaving, ///< Not counted as capacity: it can stop at any moment.
};

/// A backend VM as listed by the cloud.
struct FleetVm {
    std::string name;
    std::string model;
    Offer offer;
    FleetVmState state = FleetVmState::Live;
};

/// An offer that the cloud refused. It is not ordered again before @c until.
struct RefusedOffer {
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    TimePoint until;
};

/// The input of planFleet().
struct FleetView {
    std::vector<Offer> offers;
    std::vector<ModelDemand> demands;
    std::vector<FleetVm> vms;
    std::vector<RefusedOffer> refused;
    TimePoint now;
};

/// Constants of the planning; not configurable.
struct FleetPolicy {
    std::int64_t headroomPercent = 20; ///< Capacity to keep above the total demand.
    std::int64_t shrinkMarginPercent = 15; ///< Demand margin that must still be covered after a delete; prevents oscillation.
    std::size_t maxStarting = 8; ///< VMs that may load weights at the same time: the weight store is rate-limited.
};

enum class FleetOrderKind { Create, Delete };

/// One order to the cloud.
struct FleetOrder {
    FleetOrderKind kind = FleetOrderKind::Create;
    std::string model;
    Offer offer; ///< For a Create.
    std::string name; ///< For a Delete.
};

/// Orders the engine on a VM to run a model. The fencing token lets the engine reject orders of an earlier lease holder.
struct EngineOrder {
    std::string instance;
    std::string model;
    std::uint64_t fence = 0;
};

} // namespace cardamomlift::fleet
