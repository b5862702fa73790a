#include "kernel/clock.h"

#include <ctime>

namespace cardamomlift {

TimePoint SystemClock::now() const
{
    // NOTE CLOCK_MONOTONIC, which std::chrono reads, stands still while the VM is suspended; leases and time limits must not.
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
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
