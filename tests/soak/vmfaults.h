#pragma once

#include "support/routefleet.h"

#include <chrono>
#include <map>
#include <random>

namespace cardamomlift::soak {

/// Pauses, kills, hangs up and cuts entry VMs off from the store, in series that overlap. The deployment must be proxied.
class VmFaults
{
public:
    /// @p entries: number of entry VMs.
    VmFaults(std::mt19937 &random, int entries);

    /// Heals what is due and injects a fault if one is.
    void step(test::RouteFleet &fleet);
    void healAll(test::RouteFleet &fleet);

private:
    void inject(test::RouteFleet &fleet, TimePoint now);
    void heal(test::RouteFleet &fleet, TimePoint now);

    std::mt19937 &random_;
    int entries_;
    TimePoint nextFault_;
    std::map<int, TimePoint> paused_; ///< Entry VMs, and until when.
    std::map<int, TimePoint> cut_; ///< Entry VMs that can't reach the store, and until when.
};

} // namespace cardamomlift::soak
