#pragma once

#include "fleet/fleettypes.h"

#include <vector>

namespace cardamomlift::fleet {

/// How far a set of VMs is from what a model needs, in tokens per second. Both 0: enough.
struct Deficit {
    std::int64_t total = 0; ///< Missing against the total demand with headroom.
    std::int64_t afterZoneLoss = 0; ///< Missing against the urgent demand when the largest zone is gone.
};

/// What @p vms of @p demand's model lack. Leaving VMs count for nothing.
Deficit deficitOf(const ModelDemand &demand, const std::vector<FleetVm> &vms, const FleetPolicy &policy);

/// The orders that bring the fleet to what is needed at the least price: creates first for models whose urgent demand
/// would not survive the loss of a zone, then for the rest, cheapest per missing token; one delete a model at most,
/// of the dearest VM that can be spared. The plan depends on the view alone, so two holders plan alike.
std::vector<FleetOrder> planFleet(const FleetView &view, const FleetPolicy &policy);

/// Price of all VMs that are not leaving, in micros per hour.
std::int64_t microsPerHour(const std::vector<FleetVm> &vms);

} // namespace cardamomlift::fleet
