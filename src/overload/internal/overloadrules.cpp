#include "overload/overloadrules.h"

#include <algorithm>

namespace cardamomlift::overload {

namespace {

/// Part of the slots that is used: requests of several VMs may arrive at the same moment.
constexpr double SlotUse = 0.8;
constexpr Duration MinServiceTime = std::chrono::milliseconds(5);
/// Fraction of the pace that is left after a refusal, and for a server that has just started.
constexpr double PaceAfterRefusal = 0.6;
constexpr double PaceAfterRestart = 0.25;
constexpr double GrowthPerSecond = 0.1;
constexpr double MinRequestsPerSecond = 0.5;
/// Tokens that a VM may have saved up. More would reach the server at once after a pause.
constexpr double MaxTokens = 2;
/// Margin for refusals of requests that were under way together.
constexpr double RefusalMargin = 1.25;
constexpr Duration MaxPause = std::chrono::seconds(10);
constexpr Duration PauseWhenDown = std::chrono::seconds(1);

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

ServerPace initialPace(int slots, Duration serviceTime, TimePoint now)
{
    ServerPace pace;
    pace.maxRequestsPerSecond = std::max(MinRequestsPerSecond, SlotUse * std::max(1, slots) / seconds(std::max(serviceTime, MinServiceTime)));
    pace.requestsPerSecond = pace.maxRequestsPerSecond;
    pace.updatedAt = now;
    return pace;
}

void restart(ServerPace &pace)
{
    pace.requestsPerSecond = std::max(MinRequestsPerSecond, pace.maxRequestsPerSecond * PaceAfterRestart);
    pace.tokens = std::min(pace.tokens, 1.0);
}

void refill(ServerPace &pace, std::size_t vms, TimePoint now)
{
    const double elapsed = std::max(0.0, seconds(now - pace.updatedAt));
    pace.updatedAt = now;
    pace.tokens = std::min(MaxTokens, pace.tokens + elapsed * pace.requestsPerSecond / static_cast<double>(std::max<std::size_t>(1, vms)));
    pace.requestsPerSecond = std::min(pace.maxRequestsPerSecond, pace.requestsPerSecond * (1 + GrowthPerSecond * std::min(elapsed, 1.0)));
}

bool hasToken(const ServerPace &pace, TimePoint now)
{
    return now >= pace.pausedUntil && pace.tokens >= 1;
}

void takeToken(ServerPace &pace)
{
    pace.tokens -= 1;
}

Duration pauseAfterRefusal(const RefusalBound &bound)
{
    const double pause = RefusalMargin * static_cast<double>(bound.vms) / std::max(0.5, static_cast<double>(bound.perSecond));
    return std::min(MaxPause, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause)));
}

void noteRefused(ServerPace &pace, const RefusalBound &bound, TimePoint now)
{
    // Several refusals of one moment are one sign.
    if (now < pace.pausedUntil) {
        return;
    }
    pace.requestsPerSecond = std::max(MinRequestsPerSecond, pace.requestsPerSecond * PaceAfterRefusal);
    pace.pausedUntil = now + pauseAfterRefusal(bound);
    pace.tokens = std::min(pace.tokens, 0.0);
}

void noteDown(ServerPace &pace, TimePoint now)
{
    restart(pace);
    pace.pausedUntil = std::max(pace.pausedUntil, now + PauseWhenDown);
}

} // namespace cardamomlift::overload
