#include "outliers/outlierrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::outliers {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
/// Counts fall to a third in this time: some dozen answers of a busy server, and less than most troubles of one last.
constexpr double MemorySeconds = 4;
/// One request without an answer may be the request's own fault or the network's.
constexpr int EnoughInARow = 2;
/// A server is left alone for this long for each failure in a row. One request is lost in each trial while a server is
/// silent, over all VMs; with the bound, a server that is back waits a few seconds at most.
constexpr Duration AvoidStep = std::chrono::seconds(1);
constexpr Duration MostAvoid = std::chrono::seconds(5);
/// More failures than usual by this many standard deviations and one more. With 2.5, sound servers of a service that fails
/// 14 in 100 were called outliers in up to 3 in 100 judgements of eight runs.
constexpr double Deviations = 3;
/// Taken as usual at least: where hardly anything fails, one failure would be more than usual.
constexpr double LeastUsual = 0.05;
/// With fewer outcomes no share is judged.
constexpr double EnoughOutcomes = 4;
/// Answers added to what a service has shown, so that its first failures do not count as usual.
constexpr double AssumedAnswers = 10;
/// Less than this part of one failure is not told.
constexpr double LeastTold = 0.4;

} // namespace

OutcomeCounts asOf(OutcomeCounts outcomes, TimePoint now)
{
    const double seconds = std::max(0.0, static_cast<double>((now - outcomes.updatedAt).count()) / MicrosecondsPerSecond);
    const double factor = std::exp(-seconds / MemorySeconds);
    outcomes.answered *= factor;
    outcomes.failed *= factor;
    outcomes.updatedAt = now;
    return outcomes;
}

void note(OutcomeCounts &outcomes, Ending ending, TimePoint now)
{
    outcomes = asOf(outcomes, now);
    if (ending == Ending::NoAnswer) {
        outcomes.failed += 1;
        outcomes.failedInARow++;
        outcomes.lastFailedAt = now;
        return;
    }
    outcomes.failedInARow = 0;
    outcomes.lastAnsweredAt = now;
    (ending == Ending::Answered ? outcomes.answered : outcomes.failed) += 1;
}

OutcomeCounts together(const OutcomeCounts &own, std::span<const OutcomeCounts> others, TimePoint now)
{
    OutcomeCounts sum = asOf(own, now);
    std::optional<TimePoint> answeredAt = own.lastAnsweredAt;
    for (const OutcomeCounts &other : others) {
        const OutcomeCounts more = asOf(other, now);
        sum.answered += more.answered;
        sum.failed += more.failed;
        answeredAt = std::max(answeredAt, other.lastAnsweredAt);
    }
    for (const OutcomeCounts &other : others) {
        if (other.lastFailedAt && other.lastFailedAt > answeredAt) {
            sum.failedInARow += other.failedInARow;
            sum.lastFailedAt = std::max(sum.lastFailedAt, other.lastFailedAt);
        }
    }
    return sum;
}

double usualFailures(const OutcomeCounts &service)
{
    return service.failed / (service.answered + service.failed + AssumedAnswers);
}

bool isOutlier(const OutcomeCounts &outcomes, double usual, TimePoint now)
{
    if (outcomes.failedInARow >= EnoughInARow && outcomes.lastFailedAt) {
        const Duration avoid = std::min(MostAvoid, AvoidStep * outcomes.failedInARow);
        if (now < *outcomes.lastFailedAt + avoid) {
            return true;
        }
    }
    const OutcomeCounts current = asOf(outcomes, now);
    const double count = current.answered + current.failed;
    if (count < EnoughOutcomes) {
        return false;
    }
    const double expected = std::max(usual, LeastUsual);
    return current.failed > count * expected + Deviations * std::sqrt(count * expected * (1 - expected)) + 1;
}

bool isWorthTelling(const OutcomeCounts &outcomes, TimePoint now)
{
    const bool isRecent = outcomes.failedInARow > 0 && outcomes.lastFailedAt && now - *outcomes.lastFailedAt < MostAvoid;
    return isRecent || asOf(outcomes, now).failed >= LeastTold;
}

} // namespace cardamomlift::outliers
