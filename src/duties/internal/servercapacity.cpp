#include "duties/servercapacity.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::duties {

namespace {

constexpr double AssumedTokensPerSecond = ServerCapacity().tokensPerSecond;
/// The rate at which an engine of the assumed capacity prefills when it does nothing else. Half of the prompts' tokens are found in
/// the cache, and generation takes its share.
constexpr double AssumedPrefillPerSecond = 65'000;
/// Limits the harm of a wrong measurement.
constexpr double MostTokensPerSecond = 4 * AssumedTokensPerSecond;
/// Half-life of the difference between the capacity in use and the measured one.
constexpr double SmoothingHalfLifeSeconds = 3;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

double measuredTokensPerServer(const std::optional<pace::FirstByteModel> &measured)
{
    if (!measured || !std::isfinite(measured->tokensPerSecond) || measured->tokensPerSecond <= 0) {
        return AssumedTokensPerSecond;
    }
    const double share = AssumedTokensPerSecond / AssumedPrefillPerSecond;
    return std::clamp(measured->tokensPerSecond * share, AssumedTokensPerSecond, MostTokensPerSecond);
}

double updateCapacity(ServerCapacity &capacity, const std::optional<pace::FirstByteModel> &measured, TimePoint now)
{
    const double goal = measuredTokensPerServer(measured);
    if (!capacity.updatedAt) {
        capacity = {goal, now};
        return 1;
    }
    const double seconds = static_cast<double>((now - *capacity.updatedAt).count()) / MicrosecondsPerSecond;
    const double before = capacity.tokensPerSecond;
    capacity.tokensPerSecond = goal + (before - goal) * std::exp2(-std::max(0.0, seconds) / SmoothingHalfLifeSeconds);
    capacity.updatedAt = now;
    return capacity.tokensPerSecond / before;
}

} // namespace cardamomlift::duties
