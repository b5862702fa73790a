#pragma once

#include "kernel/clock.h"

#include <map>
#include <string>

namespace cardamomlift::forwarding {

/// When callers that found no room at the limited servers of a service shall come back: one after the other, as fast as this
/// VM may send to these servers. Callers told the same time would meet again, and most be refused again.
class RetryPacer
{
public:
    /// The time from @p now after which the next caller returns. @p perSecond: requests that this VM may send.
    Duration next(const std::string &service, double perSecond, TimePoint now);

private:
    std::map<std::string, TimePoint> last_; ///< By service: when the last one that was told a time returns.
};

} // namespace cardamomlift::forwarding
