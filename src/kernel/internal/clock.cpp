#include "kernel/clock.h"

namespace cardamomlift {

TimePoint SystemClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

WallTime SystemClock::wallNow() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

TimePoint ManualClock::now() const
{
    return TimePoint(elapsed_);
}

WallTime ManualClock::wallNow() const
{
    return WallTime(elapsed_);
}

void ManualClock::advance(Duration by)
{
    elapsed_ += by;
}

} // namespace cardamomlift
