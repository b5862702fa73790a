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
constexpr double InUseShare = 0.8;
constexpr std::int64_t DecreaseAbovePercent = 60; ///< Of the target: what waits for room and the slowest of 20 need the rest.
constexpr std::int64_t IncreaseBelowPercent = 40;
constexpr Duration StrictestTargetsTtl = std::chrono::minutes(1);
constexpr double MaxDeferrableShare = 0.9;
constexpr double GuaranteedNonDeferrableShare = 0.75; ///< For what is not deferrable.
constexpr double MaxReservedShare = 0.9;
constexpr double PeakTimeConstant = 60; ///< Seconds; about as long as deferrable work runs.
constexpr double RateTimeConstant = 2; ///< Seconds.
constexpr double DurationSmoothing = 0.1;
constexpr double MaxGap = 10; ///< Seconds; an idle time says nothing of the rate under load.

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
        // What was let in before the last cut tells nothing of the room after it.
        if (admittedAt >= concurrency.lastDecreaseAt && now - concurrency.lastDecreaseAt >= concurrency.strictestTargets.firstToken) {
            // From what was really in flight: a limit far above it would take many cuts to matter.
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
    // An exponential average over time, of impulses of one each.
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
        // After a cut, deferrable work that runs on must not keep the rest out.
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
