#include "rollout/verdictrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::rollout {

namespace {

/// Log-likelihood ratio needed for Finding::Bad. It is far above that of a single test, because many routes and periods are
/// tested, again and again.
constexpr double BadThreshold = 8;
/// Log-likelihood ratio needed for Finding::Good, against a version whose share of bad answers is 20 percentage points higher.
constexpr double GoodThreshold = 4;
constexpr double WorseShareIncrease = 0.2;
/// With this many servers on trial in a period, the others show without the worst one whether the version is bad. With fewer,
/// the worst one counts towards a suspicion.
constexpr std::size_t MinServersWithoutWorst = 5;
/// If the log-likelihood ratio of a recent period reaches this, the version is not found good: it may have just turned bad.
constexpr double SuspicionThreshold = 2;
/// Tolerated factor and margin on the baseline's share of bad answers: servers on trial have cold caches, and they are few.
constexpr double ToleranceFactor = 1.25;
constexpr double ToleranceMargin = 0.03;
/// An answer is slow if it takes more than twice the baseline's 90th percentile. Two buckets are a factor of two.
constexpr double BaselineQuantile = 0.9;
constexpr std::size_t SlowBuckets = 2;
/// With fewer answers in the baseline, no answer counts as slow.
constexpr std::uint64_t MinBaselineAnswers = 20;
/// A route with a smaller share of the requests need not be shown to be good, since that would take longer than a rollout.
constexpr double MinRouteShare = 0.03;
/// Limits of the expected share of bad answers.
constexpr double MinBadShare = 0.02;
constexpr double MaxBadShare = 0.95;

/// Number of requests sent, and of those with a bad answer.
struct Sample {
    std::uint64_t sends = 0;
    std::uint64_t bad = 0;
};

/// The baseline and the version on trial on one route, or on all routes together.
struct Comparison {
    std::uint64_t route = 0;
    Sample baseline;
    Sample trial;
    double expected = 0; ///< Bad answers to expect among trial.sends if the version is as good as the baseline.
};

/// The last bucket whose answers are not slow.
std::size_t lastNormalBucket(const OutcomeCounts &baseline)
{
    const std::uint64_t answers = baseline.answers();
    if (answers < MinBaselineAnswers) {
        return LatencyBuckets;
    }
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < LatencyBuckets; i++) {
        sum += baseline.answered[i];
        if (static_cast<double>(sum) >= BaselineQuantile * static_cast<double>(answers)) {
            return i + SlowBuckets;
        }
    }
    return LatencyBuckets;
}

Sample sampleOf(const OutcomeCounts &counts, std::size_t lastNormal)
{
    return {counts.total(), counts.failed + counts.slowerThan(lastNormal)};
}

Sample trialSample(const RouteOutcomes &outcomes, std::size_t lastNormal, bool includeWorst)
{
    Sample sum;
    Sample worst;
    for (const auto &[server, counts] : outcomes.trial) {
        const Sample sample = sampleOf(counts, lastNormal);
        sum.sends += sample.sends;
        sum.bad += sample.bad;
        worst = sample.bad > worst.bad ? sample : worst;
    }
    if (includeWorst || outcomes.trial.size() < 2) {
        return sum;
    }
    return {sum.sends - worst.sends, sum.bad - worst.bad};
}

Comparison compare(std::uint64_t route, const RouteOutcomes &outcomes, bool includeWorst)
{
    const std::size_t lastNormal = lastNormalBucket(outcomes.baseline);
    Comparison result;
    result.route = route;
    result.baseline = sampleOf(outcomes.baseline, lastNormal);
    result.trial = trialSample(outcomes, lastNormal, includeWorst);
    const double sends = static_cast<double>(std::max<std::uint64_t>(1, result.baseline.sends));
    const double share = std::clamp(static_cast<double>(result.baseline.bad) / sends * ToleranceFactor + ToleranceMargin, MinBadShare, MaxBadShare);
    result.expected = share * static_cast<double>(result.trial.sends);
    return result;
}

/// Log-likelihood of @p sample if the true share of bad answers is @p share.
double logLikelihood(const Sample &sample, double share)
{
    const double p = std::clamp(share, MinBadShare / 2, MaxBadShare);
    const auto bad = static_cast<double>(sample.bad);
    return bad * std::log(p) + (static_cast<double>(sample.sends) - bad) * std::log(1 - p);
}

double expectedShare(const Comparison &comparison)
{
    return comparison.trial.sends == 0 ? 0 : comparison.expected / static_cast<double>(comparison.trial.sends);
}

/// Log-likelihood ratio of the observed share of bad answers to the expected one; 0 if it is not above the expected one.
double badScore(const Comparison &comparison)
{
    if (static_cast<double>(comparison.trial.bad) <= comparison.expected) {
        return 0;
    }
    const double observed = static_cast<double>(comparison.trial.bad) / static_cast<double>(comparison.trial.sends);
    return logLikelihood(comparison.trial, observed) - logLikelihood(comparison.trial, expectedShare(comparison));
}

/// Log-likelihood ratio of the expected share of bad answers to one that is higher by WorseShareIncrease.
double goodScore(const Comparison &comparison)
{
    const double expected = expectedShare(comparison);
    return logLikelihood(comparison.trial, expected) - logLikelihood(comparison.trial, expected + WorseShareIncrease);
}

Verdict verdictOf(Finding finding, const Comparison &comparison, double score)
{
    return {finding, comparison.route, comparison.trial.sends, comparison.trial.bad, comparison.baseline.sends, comparison.expected, score};
}

std::vector<Comparison> compareAll(const RolloutOutcomes &outcomes, bool includeWorst)
{
    std::vector<Comparison> comparisons;
    Comparison sum;
    for (const auto &[route, entry] : outcomes) {
        const Comparison &one = comparisons.emplace_back(compare(route, entry, includeWorst));
        sum.baseline = {sum.baseline.sends + one.baseline.sends, sum.baseline.bad + one.baseline.bad};
        sum.trial = {sum.trial.sends + one.trial.sends, sum.trial.bad + one.trial.bad};
        sum.expected += one.expected;
    }
    comparisons.push_back(sum);
    return comparisons;
}

/// The comparison with the highest badScore(), and whether that score reaches BadThreshold.
Verdict highestBadScore(const RolloutOutcomes &outcomes, bool includeWorst)
{
    Verdict verdict;
    for (const Comparison &comparison : compareAll(outcomes, includeWorst)) {
        const double score = badScore(comparison);
        const bool isBad = score >= BadThreshold;
        if (verdict.trialSends == 0 || score > verdict.score) {
            verdict = verdictOf(isBad ? Finding::Bad : Finding::Inconclusive, comparison, score);
        }
    }
    return verdict;
}

bool hasEnoughServers(const RolloutOutcomes &outcomes)
{
    return std::all_of(outcomes.begin(), outcomes.end(), [](const auto &entry) {
        return std::count_if(entry.second.trial.begin(), entry.second.trial.end(), [](const auto &server) { return server.second.total() > 0; })
            >= static_cast<std::ptrdiff_t>(MinServersWithoutWorst);
    });
}

/// The comparison with the lowest goodScore(), of the routes in use and of all routes together. Finding::Good if that score
/// reaches GoodThreshold.
Verdict lowestGoodScore(const RolloutOutcomes &outcomes, bool includeWorst)
{
    const std::vector<Comparison> comparisons = compareAll(outcomes, includeWorst);
    const Comparison &sum = comparisons.back();
    Verdict least = verdictOf(Finding::Good, sum, goodScore(sum));
    for (const Comparison &comparison : comparisons) {
        const bool isInUse = comparison.baseline.sends >= MinBaselineAnswers
            && static_cast<double>(comparison.baseline.sends) >= MinRouteShare * static_cast<double>(sum.baseline.sends);
        const double score = goodScore(comparison);
        if (isInUse && score <= least.score) {
            least = verdictOf(Finding::Good, comparison, score);
        }
    }
    if (least.score < GoodThreshold) {
        least.finding = Finding::Inconclusive;
    }
    return least;
}

} // namespace

Verdict evaluateTrial(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent)
{
    const Verdict overall = highestBadScore(all, false);
    if (overall.finding == Finding::Bad) {
        return overall;
    }
    Verdict suspicion;
    for (const RolloutOutcomes &period : recent) {
        const Verdict verdict = highestBadScore(period, false);
        if (verdict.finding == Finding::Bad) {
            return verdict;
        }
        const Verdict recentVerdict = hasEnoughServers(period) ? verdict : highestBadScore(period, true);
        suspicion = recentVerdict.score > suspicion.score ? recentVerdict : suspicion;
    }
    if (suspicion.score >= SuspicionThreshold) {
        suspicion.finding = Finding::Inconclusive;
        return suspicion;
    }
    // With few servers on trial, the answers without the worst server may be too few. A version that is good even with that
    // server is good.
    const Verdict good = lowestGoodScore(all, true);
    return good.finding == Finding::Good ? good : lowestGoodScore(all, false);
}

} // namespace cardamomlift::rollout
