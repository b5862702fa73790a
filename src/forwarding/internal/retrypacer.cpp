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

Duration RetryPacer::nextDelay(const std::string &service, double perSecond, TimePoint now)
{
    const double gap = std::min(MicrosecondsPerSecond / std::max(perSecond, 1e-3), static_cast<double>(MaxDelay.count()));
    TimePoint &last = lastReturn_[service];
    last = std::clamp(last + Duration(static_cast<std::int64_t>(gap)), now + MinDelay, now + MaxDelay);
    return last - now;
}

} // namespace cardamomlift::forwarding
