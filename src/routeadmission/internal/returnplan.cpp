#include "routeadmission/returnplan.h"

#include <algorithm>

namespace cardamomlift::routeadmission {

namespace {

/// A return sooner than this would find the servers in the same state.
constexpr Duration MinDelay = std::chrono::milliseconds(250);
/// What is known of the demand tells nothing of a later time.
constexpr Duration MaxDelay = std::chrono::seconds(8);
/// Part of the room that is planned for returns; the rest is for new requests.
constexpr double ReturnShare = 0.25;
constexpr double MinPerSecond = 0.05;
/// Returns that were told the same time by several VMs come spread over this part of it.
constexpr double JitterShare = 0.2;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

Duration planReturn(ReturnPlan &plan, int priority, double admittedPerSecond, Duration longest, std::uint64_t salt, TimePoint now)
{
    const Duration latest = std::clamp(longest, MinDelay, MaxDelay);
    const double interval = MicrosecondsPerSecond / std::max(MinPerSecond, admittedPerSecond * ReturnShare);
    TimePoint &last = plan.lastReturns[priority];
    const Duration step(static_cast<std::int64_t>(std::min(interval, static_cast<double>(MaxDelay.count()))));
    last = std::clamp(last + step, now + MinDelay, now + MaxDelay);
    const Duration delay = std::min(last - now, latest);
    const double jitter = static_cast<double>(salt % 1024) / 1024 * JitterShare;
    return std::max(MinDelay, Duration(static_cast<std::int64_t>(static_cast<double>(delay.count()) * (1 - jitter))));
}

} // namespace cardamomlift::routeadmission
