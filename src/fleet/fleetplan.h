#pragma once

#include "fleet/fleettypes.h"

#include <vector>

namespace cardamomlift::fleet {

/// Capacity that a set of VMs lacks for a model, in tokens per second. Both are 0 if there is enough.
struct Deficit {
    std::int64_t total = 0; ///< Shortfall against the total demand plus headroom.
    std::int64_t afterZoneLoss = 0; ///< Shortfall against the urgent demand after the loss of the model's largest zone.
};

/// The deficit of those @p vms that run @p demand's model. Leaving VMs are not counted.
Deficit deficitOf(const ModelDemand &demand, const std::vector<FleetVm> &vms, const FleetPolicy &policy);

/// The orders that cover the demand at the lowest price. Creates come first for models whose urgent demand would not be
/// covered after the loss of a zone, then for all others; each picks the offer that reduces the deficit most for its price.
/// If nothing is to be created, at most one VM per model is deleted: the most expensive one that is not needed. The plan
/// depends on @p view and @p policy only, so two holders of the lease would make the same plan.
std::vector<FleetOrder> planFleet(const FleetView &view, const FleetPolicy &policy);

/// Price of all VMs that are not leaving, in millionths of the currency per hour.
std::int64_t microsPerHour(const std::vector<FleetVm> &vms);

} // namespace cardamomlift::fleet
