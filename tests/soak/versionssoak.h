#pragma once

#include "support/streamreaders.h"

#include <chrono>
#include <map>
#include <random>
#include <string>

namespace cardamomlift::soak {

/// Streams beside servers of other versions, which callers resume, while VMs and servers are killed, replaced, paused and cut off in series.
class VersionsSoak
{
public:
    VersionsSoak(unsigned seed, std::chrono::milliseconds length);

    void run();

private:
    int pick(int below);
    TimePoint now();
    void injectFault();
    void replaceServer();
    void restartEntry(int entry);
    void pauseEntry(int entry);
    void heal(bool all);

    std::mt19937 random_;
    std::chrono::milliseconds length_;
    test::RouteFleet fleet_;
    test::StreamReaders readers_;
    std::map<int, TimePoint> paused_; ///< Entry VMs, and until when.
    std::map<int, TimePoint> cut_; ///< Entry VMs that can't reach the store, and until when.
    int servers_ = 0; ///< Started so far.
    int newestVersion_ = 2;
};

} // namespace cardamomlift::soak
