#pragma once

#include "kernel/clock.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomlift::routeadmission {

/// Events a second: a moving average over the last half second.
class RateMeter
{
public:
    void note(TimePoint now, double amount = 1)
    {
        decay(now);
        sum_ += amount;
    }

    /// The number of events that the rate stood for since the last call. Over time it is the number of events, half a second later.
    double take(TimePoint now)
    {
        decay(now);
        return std::exchange(passed_, 0);
    }

    /// @p startedAt: when counting began.
    double perSecond(TimePoint now, TimePoint startedAt) const
    {
        const double age = std::max(MinSeconds, seconds(now - startedAt));
        return sum_ * std::exp(-seconds(now - updatedAt_) / AveragingSeconds) / AveragingSeconds / (1 - std::exp(-age / AveragingSeconds));
    }

private:
    /// Shorter than the second within which a change of demand shows, longer than the gaps of arrivals.
    static constexpr double AveragingSeconds = 0.5;
    static constexpr double MinSeconds = 0.2;

    static double seconds(Duration duration)
    {
        return std::max(0.0, std::chrono::duration<double>(duration).count());
    }

    void decay(TimePoint now)
    {
        const double left = sum_ * std::exp(-seconds(now - updatedAt_) / AveragingSeconds);
        passed_ += sum_ - left;
        sum_ = left;
        updatedAt_ = now;
    }

    double sum_ = 0;
    double passed_ = 0;
    TimePoint updatedAt_;
};

} // namespace cardamomlift::routeadmission
