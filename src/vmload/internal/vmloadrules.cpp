#include "vmload/vmloadrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::vmload {

namespace {

/// Weight of a new sample: some five samples, half a second, decide.
constexpr double NewSampleWeight = 0.2;
/// A longer delay is a suspension, which other rules know.
constexpr Duration MaxLateness = std::chrono::milliseconds(1000);

Duration scale(Duration duration, double factor)
{
    return Duration(std::llround(static_cast<double>(duration.count()) * factor));
}

} // namespace

Duration smoothedLag(Duration lag, Duration lateness)
{
    return lag + scale(std::clamp(lateness, Duration(0), MaxLateness) - lag, NewSampleWeight);
}

void updateBusy(VmLoad &load, Duration goal, TimePoint now, const VmLoadParameters &parameters)
{
    const double part = load.isBusy ? parameters.calmAtGoalPart : parameters.busyAtGoalPart;
    const bool isOver = goal > Duration(0) && load.lag > scale(goal, part);
    if (isOver == load.isBusy) {
        load.isChanging = false;
        return;
    }
    if (!load.isChanging) {
        load.isChanging = true;
        load.changingSince = now;
    }
    if (now - load.changingSince >= parameters.holdTime) {
        load.isBusy = isOver;
        load.isChanging = false;
    }
}

Duration headroomLimit(const VmLoad &load, const VmLoadParameters &parameters)
{
    return scale(load.lag, parameters.headroomPart);
}

double wantedShare(const VmLoad &load, Duration goal, std::span<const Duration> others, const VmLoadParameters &parameters)
{
    if (!load.isBusy || others.empty()) {
        return 0;
    }
    const Duration limit = headroomLimit(load, parameters);
    const auto withHeadroom = std::count_if(others.begin(), others.end(), [limit](Duration lag) { return lag <= limit; });
    if (static_cast<double>(withHeadroom) < parameters.minHeadroomVms * static_cast<double>(others.size())) {
        return 0;
    }
    const Duration start = scale(goal, parameters.calmAtGoalPart);
    const double excess = static_cast<double>((load.lag - start).count()) / static_cast<double>((goal - start).count());
    return std::clamp(excess, 0.0, 1.0) * parameters.maxShare;
}

double nextShare(double share, double wanted, const VmLoadParameters &parameters)
{
    return share + std::clamp(wanted - share, -parameters.maxShareStep, parameters.maxShareStep);
}

bool isInShare(double share, std::uint64_t salt)
{
    constexpr std::uint64_t Parts = 1024;
    return static_cast<double>(salt % Parts) < share * static_cast<double>(Parts);
}

} // namespace cardamomlift::vmload
