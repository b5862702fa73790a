#include "forwarding/retrypacer.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// A retry sooner than this would find the servers in the same state.
constexpr Duration MinDelay = std::chrono::milliseconds(250);
/// After this time the limits have likely changed, or servers have been added.
constexpr Duration MaxDelay = std::chrono::seconds(8);
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

Duration RetryPacer::nextDelay(const std::string &service, double requestsPerSecond, TimePoint now)
{
    const double interval = std::min(MicrosecondsPerSecond / std::max(requestsPerSecond, 1e-3), static_cast<double>(MaxDelay.count()));
    TimePoint &returnAt = lastReturn_[service];
    returnAt = std::clamp(returnAt + Duration(static_cast<std::int64_t>(interval)), now + MinDelay, now + MaxDelay);
    return returnAt - now;
}

} // namespace cardamomlift::forwarding
