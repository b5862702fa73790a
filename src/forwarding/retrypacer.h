#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>

namespace cardamomlift::forwarding {

/// Chooses the Retry-After times of callers that are refused because all servers of a service are at their rate limits: one
/// after the other, at the rate at which this VM may send to those servers. Callers that were given the same time would
/// return together, and most of them would be refused again.
class RetryPacer
{
public:
    /// Delay from @p now after which the next refused caller shall retry. @p requestsPerSecond: requests that this VM may send.
    Duration nextDelay(const std::string &service, double requestsPerSecond, TimePoint now);

private:
    std::map<std::string, TimePoint> lastReturn_; ///< By service: the latest retry time given to a caller.
};

} // namespace cardamomlift::forwarding
