#pragma once

#include "support/crashingrun.h"

#include <chrono>
#include <map>
#include <random>

namespace cardamomlift::soak {

/// Requests that crash their servers are repeated, while VMs are paused, killed, hung up and cut off from the store in series.
class CrashingSoak
{
public:
    CrashingSoak(unsigned seed, std::chrono::milliseconds length);

    void run();

private:
    void injectFault(test::RouteFleet &fleet);
    void heal(test::RouteFleet &fleet);
    void resumeAll(test::RouteFleet &fleet);
    const char *anyTarget();

    std::mt19937 random_;
    std::chrono::milliseconds length_;
    TimePoint nextFault_;
    std::map<int, TimePoint> paused_; ///< Entry VMs, and until when.
    std::map<int, TimePoint> cut_; ///< Entry VMs that can't reach the store, and until when.
};

} // namespace cardamomlift::soak
