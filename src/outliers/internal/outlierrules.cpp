#include "outliers/outlierrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::outliers {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
/// Counts decay to about a third in this time, which is some dozen answers of a busy server and shorter than most faults.
constexpr double DecaySeconds = 4;
/// A single request without an answer may be caused by the request itself or by the network.
constexpr int MinConsecutiveFailures = 2;
/// A server is avoided for this time for each consecutive failure. While it does not answer, each trial loses one request over all
/// VMs. The maximum lets a recovered server wait a few seconds at most.
constexpr Duration AvoidancePerFailure = std::chrono::seconds(1);
constexpr Duration MaxAvoidance = std::chrono::seconds(5);
/// An outlier's failures exceed the expected number by more than this many standard deviations plus one. With 2.5, healthy servers
/// of a service that fails 14 in 100 requests were taken for outliers in up to 3 in 100 decisions of eight runs.
constexpr double DeviationThreshold = 3;
/// Lower bound of the baseline: where hardly any request fails, a single failure would be an outlier otherwise.
constexpr double MinBaselineFailureRate = 0.05;
/// With fewer outcomes, the failure rate is not judged.
constexpr double MinOutcomes = 4;
/// Answers added to the outcomes of a service, so that its first failures don't raise the baseline.
constexpr double PriorAnswers = 10;
/// Fewer (decayed) failures than this are not shared.
constexpr double MinSharedFailures = 0.4;

} // namespace

OutcomeCounts decayedTo(OutcomeCounts outcomes, TimePoint now)
{
    const double seconds = std::max(0.0, static_cast<double>((now - outcomes.updatedAt).count()) / MicrosecondsPerSecond);
    const double factor = std::exp(-seconds / DecaySeconds);
    outcomes.answered *= factor;
    outcomes.failed *= factor;
    outcomes.updatedAt = now;
    return outcomes;
}

void note(OutcomeCounts &outcomes, Ending ending, TimePoint now)
{
    outcomes = decayedTo(outcomes, now);
    if (ending == Ending::NoAnswer) {
        outcomes.failed += 1;
        outcomes.consecutiveFailures++;
        outcomes.lastFailedAt = now;
        return;
    }
    outcomes.consecutiveFailures = 0;
    outcomes.lastAnsweredAt = now;
    (ending == Ending::Answered ? outcomes.answered : outcomes.failed) += 1;
}

void forgetFailures(OutcomeCounts &outcomes)
{
    outcomes.failed = 0;
    outcomes.consecutiveFailures = 0;
    outcomes.lastFailedAt.reset();
}

OutcomeCounts combine(const OutcomeCounts &own, std::span<const OutcomeCounts> others, TimePoint now)
{
    OutcomeCounts sum = decayedTo(own, now);
    std::optional<TimePoint> answeredAt = own.lastAnsweredAt;
    for (const OutcomeCounts &other : others) {
        const OutcomeCounts more = decayedTo(other, now);
        sum.answered += more.answered;
        sum.failed += more.failed;
        answeredAt = std::max(answeredAt, other.lastAnsweredAt);
    }
    for (const OutcomeCounts &other : others) {
        if (other.lastFailedAt && other.lastFailedAt > answeredAt) {
            sum.consecutiveFailures += other.consecutiveFailures;
            sum.lastFailedAt = std::max(sum.lastFailedAt, other.lastFailedAt);
        }
    }
    return sum;
}

double baselineFailureRate(const OutcomeCounts &service)
{
    return service.failed / (service.answered + service.failed + PriorAnswers);
}

bool isOutlier(const OutcomeCounts &outcomes, double baseline, TimePoint now)
{
    if (outcomes.consecutiveFailures >= MinConsecutiveFailures && outcomes.lastFailedAt) {
        const Duration avoidance = std::min(MaxAvoidance, AvoidancePerFailure * outcomes.consecutiveFailures);
        if (now < *outcomes.lastFailedAt + avoidance) {
            return true;
        }
    }
    const OutcomeCounts current = decayedTo(outcomes, now);
    const double count = current.answered + current.failed;
    if (count < MinOutcomes) {
        return false;
    }
    const double expected = std::max(baseline, MinBaselineFailureRate);
    return current.failed > count * expected + DeviationThreshold * std::sqrt(count * expected * (1 - expected)) + 1;
}

bool isWorthSharing(const OutcomeCounts &outcomes, TimePoint now)
{
    const bool isRecent = outcomes.consecutiveFailures > 0 && outcomes.lastFailedAt && now - *outcomes.lastFailedAt < MaxAvoidance;
    return isRecent || decayedTo(outcomes, now).failed >= MinSharedFailures;
}

} // namespace cardamomlift::outliers
