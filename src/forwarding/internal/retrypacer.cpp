#include "forwarding/retrypacer.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// A return sooner than this meets the same state.
constexpr Duration LeastReturn = std::chrono::milliseconds(250);
/// In more time than this the limits have likely changed, or servers have been added.
constexpr Duration MostReturn = std::chrono::seconds(8);
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

Duration RetryPacer::next(const std::string &service, double perSecond, TimePoint now)
{
    const double gap = std::min(MicrosecondsPerSecond / std::max(perSecond, 1e-3), static_cast<double>(MostReturn.count()));
    TimePoint &last = last_[service];
    last = std::clamp(last + Duration(static_cast<std::int64_t>(gap)), now + LeastReturn, now + MostReturn);
    return last - now;
}

} // namespace cardamomlift::forwarding
