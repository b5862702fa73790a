#pragma once

#include <chrono>
#include <cstdint>

namespace cardamomlift {

using Duration = std::chrono::microseconds;

/// A point of the monotonic clock, in microseconds since an arbitrary origin.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// A point of civil time, in microseconds since 1970-01-01 UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

/// In whole milliseconds, for log lines.
inline std::int64_t toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/// The clock of the runtime. All decisions take their time from here, so that tests can pause and advance it.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
    virtual WallTime wallNow() const = 0;
};

/// The operating system's clocks.
class SystemClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
};

/// A clock that stands still until advance() is called.
class ManualClock : public Clock
{
public:
    TimePoint now() const override;
    WallTime wallNow() const override;
    void advance(Duration by);

private:
    Duration elapsed_ = std::chrono::hours(1);
};

} // namespace cardamomlift
