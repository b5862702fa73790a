#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace cardamomlift::fleet {

/// A kind of VM the cloud sells: one machine class in one zone, reclaimable or on demand.
struct Offer {
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    std::int64_t microsPerHour = 0; ///< Price, in millionths of the currency.
    std::int64_t tokensPerSecond = 0; ///< What one such VM generates at the latency target.
};

/// What one model is asked for, over all entry VMs.
struct ModelDemand {
    std::string model;
    std::int64_t urgentTokensPerSecond = 0; ///< Of classes with priority urgent.
    std::int64_t totalTokensPerSecond = 0;
};

/// Where a backend VM stands in its life.
enum class FleetVmState {
    Starting, ///< Ordered; it loads its weights.
    Live,
    Leaving, ///< Counts for nothing: it can be gone any second.
};

/// A backend VM as the cloud lists it.
struct FleetVm {
    std::string name;
    std::string model;
    Offer offer;
    FleetVmState state = FleetVmState::Live;
};

/// An offer the cloud refused, not to be asked for again until a time.
struct RefusedOffer {
    std::string zone;
    std::string machineClass;
    bool reclaimable = true;
    TimePoint until;
};

/// All that planFleet() looks at.
struct FleetView {
    std::vector<Offer> offers;
    std::vector<ModelDemand> demands;
    std::vector<FleetVm> vms;
    std::vector<RefusedOffer> refused;
    TimePoint now;
};

/// Fixed bounds of the plan; nothing an operator tunes.
struct FleetPolicy {
    std::int64_t headroomPercent = 20; ///< Over the total demand.
    std::int64_t shrinkPercent = 15; ///< What must stay above the need after a VM is given back, against swinging.
    std::size_t mostStarting = 8; ///< VMs that load weights at once: the weight store is rate-limited.
};

enum class FleetOrderKind { Create, Delete };

/// One order to the cloud.
struct FleetOrder {
    FleetOrderKind kind = FleetOrderKind::Create;
    std::string model;
    Offer offer; ///< Of a Create.
    std::string name; ///< Of a Delete.
};

/// The order that the engine on a VM is to run a model, with the number that makes a late one recognisable.
struct EngineOrder {
    std::string instance;
    std::string model;
    std::uint64_t fence = 0;
};

} // namespace cardamomlift::fleet
