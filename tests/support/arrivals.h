#pragma once

#include "support/routefleet.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::test {

/// Bound on the repeats of all VMs together in any window.
struct RepeatBound {
    double ratio = 0.2; ///< Repeats allowed per request of a caller.
    double slack = 200; ///< Repeats allowed beside these.
    Duration window = std::chrono::seconds(10);
};

/// Arrivals by request, in the order of time.
std::map<std::string, std::vector<Arrival>> arrivalsById(std::span<const Arrival> arrivals);

/// When requests arrived that had arrived before, in the order of time.
std::vector<TimePoint> repeatTimes(const std::map<std::string, std::vector<Arrival>> &arrivals);

/// The most repeats beyond the bound in any window; negative if it is never passed. @p requests: when callers sent theirs, which count
/// in the window itself, the one before, or the one half a window before, whichever has most.
double mostBeyondBound(std::span<const TimePoint> requests, std::span<const TimePoint> repeats, const RepeatBound &bound);

} // namespace cardamomlift::test
