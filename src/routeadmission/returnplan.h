#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>

namespace cardamomlift::routeadmission {

/// The times at which refused callers of one service were told to come back, by priority.
struct ReturnPlan {
    std::map<int, TimePoint> lastReturns; ///< The latest time told.
};

/// Plans one more return and gives the time until then. @p admittedPerSecond: requests of this priority that this VM admits; a part of
/// them is planned for returns. @p longest: bound on the time. @p salt differs between requests.
Duration planReturn(ReturnPlan &plan, int priority, double admittedPerSecond, Duration longest, std::uint64_t salt, TimePoint now);

} // namespace cardamomlift::routeadmission
