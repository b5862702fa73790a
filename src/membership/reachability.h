#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace cardamomlift::membership {

/// How many of the listed entry VMs this VM can hear, directly or through its neighbours; itself not counted.
///
/// Signs of life come directly from the neighbours only. Another VM counts as heard while this VM hears at least half of its
/// neighbours and nobody has spread that the other one is suspected or failed.
struct Reachability {
    std::size_t listed = 0; ///< Entry VMs in the platform's list, as last read.
    std::size_t heard = 0; ///< Of these, as said above.
    std::size_t listedInRegion = 0; ///< In this VM's own region.
    std::size_t heardInRegion = 0;
    std::size_t neighbours = 0; ///< VMs this VM exchanges heartbeats with.
    std::size_t neighboursHeard = 0; ///< Of these, with a sign of life in the last seconds and no missed round since.
    Duration timeSinceAnyHeard{0}; ///< Since the last sign of life of any neighbour, or since the start.
};

/// True if this VM hears no neighbour at all, though the list has some: it is alone, or all others are gone.
bool isIsolated(const Reachability &reachability);

/// True if this VM is cut off from most of the others: it hears fewer than half of its neighbours. A VM without
/// listed peers is not cut off.
bool isPartitioned(const Reachability &reachability);

} // namespace cardamomlift::membership
