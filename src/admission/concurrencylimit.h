#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace cardamomlift::admission {

/// The latency targets of a service class; 0: no target.
struct LatencyTargets {
    Duration firstToken{0};
    Duration betweenTokens{0};
};

/// Adaptive limit on the requests that this VM runs at one model or service at the same time. It follows the observed
/// latency (additive increase, multiplicative decrease), so it converges to this VM's share of the capacity of the
/// backend servers without knowing how many entry VMs there are.
struct ConcurrencyLimit {
    double limit = 0;
    std::int64_t inFlight = 0;
    std::int64_t deferrableInFlight = 0;
    double completionsPerSecond = 0; ///< Smoothed rate at which requests complete; 0: not known yet.
    double meanDurationSeconds = 0; ///< Smoothed run time of requests.
    TimePoint lastCompletionAt;
    TimePoint lastDecreaseAt;
    double nonDeferrablePeak = 0; ///< Decaying peak of the non-deferrable requests in flight and waiting.
    TimePoint nonDeferrablePeakAt;
    LatencyTargets strictestTargets; ///< Of recently admitted requests: the limit must suit the most demanding class.
    TimePoint strictestTargetsAt;
};

ConcurrencyLimit initialConcurrencyLimit(TimePoint now);
/// Records the latency targets of an admitted request.
void recordTargets(ConcurrencyLimit &concurrency, const LatencyTargets &targets, TimePoint now);
/// Updates the limit by the latency of a first token, or of a service's answer: additive increase while the limit is
/// mostly used and the latency is well below the target, multiplicative decrease when the latency comes near the target.
/// After a decrease there is no other one until a request that was admitted after it has been answered.
void recordFirstToken(ConcurrencyLimit &concurrency, TimePoint admittedAt, TimePoint now);
/// Updates the limit likewise by the mean time between the tokens of one answer.
void recordTokenInterval(ConcurrencyLimit &concurrency, Duration betweenTokens, TimePoint admittedAt, TimePoint now);
/// Records the arrival of a non-deferrable request that has @p waiting others before it. Deferrable requests leave
/// capacity for the recent peak of this demand.
void recordDemand(ConcurrencyLimit &concurrency, std::size_t waiting, TimePoint now);
/// Records that a request ended after running for @p duration.
void recordCompletion(ConcurrencyLimit &concurrency, Duration duration, TimePoint now);

/// Returns whether one more request may run.
bool hasCapacity(const ConcurrencyLimit &concurrency, bool isDeferrable);
/// Returns the estimated wait of a request that has @p ahead others before it; 0 if nothing is known yet. It is the shorter
/// of two estimates, by the recent completion rate and by the mean run time: refusing a request that would have been in
/// time is worse than queueing one that will not be.
Duration expectedWait(const ConcurrencyLimit &concurrency, std::size_t ahead);

} // namespace cardamomlift::admission
