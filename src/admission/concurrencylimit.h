#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace cardamomlift::admission {

/// What a service class promises; 0: nothing.
struct LatencyTargets {
    Duration firstToken{0};
    Duration betweenTokens{0};
};

/// How many requests this VM lets run at one model or service at once. It follows the latency that is observed, so it
/// settles at this VM's share of what the backend servers can take, however many VMs there are.
struct ConcurrencyLimit {
    double limit = 0;
    std::int64_t inFlight = 0;
    std::int64_t deferrableInFlight = 0;
    double completionsPerSecond = 0; ///< Smoothed rate at which requests end; 0: not known yet.
    double meanDurationSeconds = 0; ///< Smoothed time that requests run.
    TimePoint lastCompletionAt;
    TimePoint lastDecreaseAt;
    double nonDeferrablePeak = 0; ///< Recent peak of what is not deferrable, in flight or waiting; decays.
    TimePoint nonDeferrablePeakAt;
    LatencyTargets strictestTargets; ///< Of the classes seen of late: the room must suit the most demanding one.
    TimePoint strictestTargetsAt;
};

ConcurrencyLimit initialConcurrencyLimit(TimePoint now);
/// Notes the targets of a request that is let in.
void recordTargets(ConcurrencyLimit &concurrency, const LatencyTargets &targets, TimePoint now);
/// Takes in the latency of one first token, or of a service's answer. Additive growth while the room is in use and the
/// latency is well within the target; a multiplicative cut when it comes near it, at most one until a request that was
/// let in after it has been answered.
void recordFirstToken(ConcurrencyLimit &concurrency, TimePoint admittedAt, TimePoint now);
/// The same for the mean time between the tokens of one answer.
void recordTokenInterval(ConcurrencyLimit &concurrency, Duration betweenTokens, TimePoint admittedAt, TimePoint now);
/// Notes a request that is not deferrable, with how many of these wait: deferrable work leaves room for their recent
/// peak.
void recordDemand(ConcurrencyLimit &concurrency, std::size_t waiting, TimePoint now);
/// A request ended that ran for @p ran.
void recordCompletion(ConcurrencyLimit &concurrency, Duration duration, TimePoint now);

/// Whether one more may run.
bool hasCapacity(const ConcurrencyLimit &concurrency, bool isDeferrable);
/// Time until @p ahead requests have been let in before; 0 if nothing is known yet. The shorter of two estimates, by
/// the rate of late and by the time requests run: to refuse what would have been in time is worse than to let it wait.
Duration expectedWait(const ConcurrencyLimit &concurrency, std::size_t ahead);

} // namespace cardamomlift::admission
