#include "admission/concurrencylimit.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace cardamomlift::admission {

namespace {

constexpr double InitialLimit = 256;
constexpr double MinLimit = 4;
constexpr double MaxLimit = 4096;
constexpr double DecreaseFactor = 0.85;
constexpr double InUseShare = 0.8; ///< The limit counts as in use above this share of it.
constexpr std::int64_t DecreaseAbovePercent = 60; ///< Of the target; the rest is margin for queueing and for the slowest of 20 requests.
constexpr std::int64_t IncreaseBelowPercent = 40; ///< Of the target.
constexpr Duration StrictestTargetsTtl = std::chrono::minutes(1);
constexpr double MaxDeferrableShare = 0.9; ///< Of the capacity that is not reserved.
constexpr double GuaranteedNonDeferrableShare = 0.75; ///< Available to non-deferrable requests even while deferrable ones exceed the limit.
constexpr double MaxReservedShare = 0.9; ///< Reserved for the peak of non-deferrable demand at most.
constexpr double PeakTimeConstant = 60; ///< In seconds; about as long as deferrable requests run.
constexpr double RateTimeConstant = 2; ///< In seconds.
constexpr double DurationSmoothing = 0.1; ///< Weight of the newest run time in the mean.
constexpr double MaxGap = 10; ///< In seconds; a longer idle period says nothing about the rate under load.

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

double deferrableLimit(const ConcurrencyLimit &concurrency)
{
    const double reserved = std::min(concurrency.nonDeferrablePeak, concurrency.limit * MaxReservedShare);
    return std::max(1.0, (concurrency.limit - reserved) * MaxDeferrableShare);
}

void adapt(ConcurrencyLimit &concurrency, Duration latency, Duration target, TimePoint admittedAt, TimePoint now)
{
    if (target.count() <= 0) {
        return;
    }
    if (latency * 100 > target * DecreaseAbovePercent) {
        // The latency of a request admitted before the last decrease says nothing about the limit since then.
        if (admittedAt >= concurrency.lastDecreaseAt && now - concurrency.lastDecreaseAt >= concurrency.strictestTargets.firstToken) {
            // Starts from the requests in flight: a limit far above them would need many decreases to take effect.
            concurrency.limit = std::max(MinLimit, std::min(concurrency.limit, static_cast<double>(concurrency.inFlight)) * DecreaseFactor);
            concurrency.lastDecreaseAt = now;
        }
        return;
    }
    const bool isInUse = static_cast<double>(concurrency.inFlight) >= concurrency.limit * InUseShare
        || static_cast<double>(concurrency.deferrableInFlight) >= deferrableLimit(concurrency) * InUseShare;
    if (isInUse && latency * 100 <= target * IncreaseBelowPercent) {
        concurrency.limit = std::min(MaxLimit, concurrency.limit + 1 / concurrency.limit);
    }
}

} // namespace

ConcurrencyLimit initialConcurrencyLimit(TimePoint now)
{
    ConcurrencyLimit concurrency;
    concurrency.limit = InitialLimit;
    concurrency.lastCompletionAt = now;
    concurrency.lastDecreaseAt = now;
    return concurrency;
}

void recordTargets(ConcurrencyLimit &concurrency, const LatencyTargets &targets, TimePoint now)
{
    const bool isExpired = now - concurrency.strictestTargetsAt >= StrictestTargetsTtl;
    const bool isStricter = targets.firstToken <= concurrency.strictestTargets.firstToken;
    if (isExpired || isStricter || concurrency.strictestTargets.firstToken.count() == 0) {
        concurrency.strictestTargets = targets;
        concurrency.strictestTargetsAt = now;
    }
}

void recordFirstToken(ConcurrencyLimit &concurrency, TimePoint admittedAt, TimePoint now)
{
    adapt(concurrency, now - admittedAt, concurrency.strictestTargets.firstToken, admittedAt, now);
}

void recordTokenInterval(ConcurrencyLimit &concurrency, Duration betweenTokens, TimePoint admittedAt, TimePoint now)
{
    adapt(concurrency, betweenTokens, concurrency.strictestTargets.betweenTokens, admittedAt, now);
}

void recordCompletion(ConcurrencyLimit &concurrency, Duration duration, TimePoint now)
{
    concurrency.meanDurationSeconds = concurrency.meanDurationSeconds <= 0
        ? seconds(duration)
        : concurrency.meanDurationSeconds + DurationSmoothing * (seconds(duration) - concurrency.meanDurationSeconds);
    const double gap = std::clamp(seconds(now - concurrency.lastCompletionAt), 0.0, MaxGap);
    concurrency.lastCompletionAt = now;
    // An exponential moving average over time, in which each completion is an impulse of one.
    concurrency.completionsPerSecond = concurrency.completionsPerSecond * std::max(0.0, 1 - gap / RateTimeConstant) + 1 / RateTimeConstant;
}

void recordDemand(ConcurrencyLimit &concurrency, std::size_t waiting, TimePoint now)
{
    const double nonDeferrable = static_cast<double>(concurrency.inFlight - concurrency.deferrableInFlight) + static_cast<double>(waiting) + 1;
    const double age = seconds(now - concurrency.nonDeferrablePeakAt);
    concurrency.nonDeferrablePeak = std::max(nonDeferrable, concurrency.nonDeferrablePeak * std::exp(-age / PeakTimeConstant));
    concurrency.nonDeferrablePeakAt = now;
}

bool hasCapacity(const ConcurrencyLimit &concurrency, bool isDeferrable)
{
    const bool isBelowLimit = static_cast<double>(concurrency.inFlight) + 1 <= concurrency.limit;
    if (!isDeferrable) {
        // After a decrease, deferrable requests that are still running must not block the others.
        const auto nonDeferrable = static_cast<double>(concurrency.inFlight - concurrency.deferrableInFlight);
        return isBelowLimit || nonDeferrable + 1 <= concurrency.limit * GuaranteedNonDeferrableShare;
    }
    return isBelowLimit && static_cast<double>(concurrency.deferrableInFlight) + 1 <= deferrableLimit(concurrency);
}

Duration expectedWait(const ConcurrencyLimit &concurrency, std::size_t ahead)
{
    if (concurrency.completionsPerSecond <= 0) {
        return Duration(0);
    }
    const double position = static_cast<double>(ahead) + 1;
    const double wait = std::min(position / concurrency.completionsPerSecond, position * concurrency.meanDurationSeconds / concurrency.limit);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

} // namespace cardamomlift::admission
