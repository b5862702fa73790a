#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace cardamomlift::membership {

/// How many of the other entry VMs this VM can hear, directly or through its neighbours.
///
/// Only neighbours are heard directly. Any other VM counts as heard while this VM hears at least half of its neighbours and
/// the gossip does not report that VM as suspected or failed.
struct Reachability {
    std::size_t listed = 0; ///< Entry VMs known to this VM: in the platform's list as last read, or added provisionally.
    std::size_t heard = 0; ///< Those of listed that count as heard.
    std::size_t listedInRegion = 0; ///< Those of listed in this VM's own region.
    std::size_t heardInRegion = 0; ///< Those of listedInRegion that count as heard.
    std::size_t neighbours = 0; ///< VMs this VM exchanges heartbeats with.
    std::size_t neighboursHeard = 0; ///< Those of neighbours that were heard directly in the last seconds and missed no round since.
    Duration timeSinceAnyHeard{0}; ///< Since any neighbour was last heard, or since the start.
};

/// True if this VM hears none of its neighbours, though it has some: it is isolated, or all of them are gone.
bool isIsolated(const Reachability &reachability);

/// True if this VM seems to be on the smaller side of a network partition: it hears fewer than half of its neighbours. A VM
/// without neighbours is not partitioned.
bool isPartitioned(const Reachability &reachability);

} // namespace cardamomlift::membership
