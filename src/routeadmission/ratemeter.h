#pragma once

#include "kernel/clock.h"

#include <algorithm>
#include <cmath>

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
        sum_ *= std::exp(-seconds(now - updatedAt_) / AveragingSeconds);
        updatedAt_ = now;
    }

    double sum_ = 0;
    TimePoint updatedAt_;
};

} // namespace cardamomlift::routeadmission
