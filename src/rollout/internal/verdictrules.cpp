#include "rollout/verdictrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::rollout {

namespace {

/// A finding of Bad needs this log likelihood ratio. Routes, spans and looks are many, so it is far above that of one test.
constexpr double EnoughForBad = 8;
/// And so much that of Good, against a version with a fifth more bad answers.
constexpr double EnoughForGood = 4;
constexpr double WorseByLeast = 0.2;
/// With so many servers on trial in a span, the others tell without the worst one whether it is the version.
constexpr std::size_t EnoughServers = 5;
/// With this much against it in the last seconds a version is not found good: it may have just turned bad.
constexpr double Suspicious = 2;
/// A trial server's caches are cold and it is one of few: so much worse than the others says nothing.
constexpr double UsualFactor = 1.25;
constexpr double UsualMargin = 0.03;
/// Answers count as slow when they take more than twice the time within which nine of ten usual ones come.
constexpr double UsualQuantile = 0.9;
constexpr std::size_t SlowClasses = 2;
/// With fewer usual answers it is not known what is slow.
constexpr std::uint64_t EnoughUsual = 20;
/// A route with a smaller part of the requests need not be shown good: it would take longer than rollouts last.
constexpr double RouteInUse = 0.03;
/// Least share of bad answers that is reckoned with, and most.
constexpr double LeastShare = 0.02;
constexpr double MostShare = 0.95;

struct Sample {
    std::uint64_t sends = 0;
    std::uint64_t bad = 0;
};

/// One route, or several together.
struct Comparison {
    std::uint64_t route = 0;
    Sample baseline;
    Sample trial;
    double expected = 0; ///< Bad answers among trial.sends if the version is as good as the others.
};

/// The last class that is not slow.
std::size_t slowAfter(const OutcomeCounts &baseline)
{
    const std::uint64_t answers = baseline.answers();
    if (answers < EnoughUsual) {
        return LatencyBuckets;
    }
    std::uint64_t sum = 0;
    for (std::size_t i = 0; i < LatencyBuckets; i++) {
        sum += baseline.answered[i];
        if (static_cast<double>(sum) >= UsualQuantile * static_cast<double>(answers)) {
            return i + SlowClasses;
        }
    }
    return LatencyBuckets;
}

Sample sampleOf(const OutcomeCounts &counts, std::size_t slowAfter)
{
    return {counts.total(), counts.failed + counts.slowerThan(slowAfter)};
}

Sample trialSample(const RouteOutcomes &outcomes, std::size_t slowAfter, bool withWorst)
{
    Sample sum;
    Sample worst;
    for (const auto &[server, counts] : outcomes.trial) {
        const Sample sample = sampleOf(counts, slowAfter);
        sum.sends += sample.sends;
        sum.bad += sample.bad;
        worst = sample.bad > worst.bad ? sample : worst;
    }
    if (withWorst || outcomes.trial.size() < 2) {
        return sum;
    }
    return {sum.sends - worst.sends, sum.bad - worst.bad};
}

Comparison compare(std::uint64_t route, const RouteOutcomes &outcomes, bool withWorst)
{
    const std::size_t slow = slowAfter(outcomes.baseline);
    Comparison result;
    result.route = route;
    result.baseline = sampleOf(outcomes.baseline, slow);
    result.trial = trialSample(outcomes, slow, withWorst);
    const double sends = static_cast<double>(std::max<std::uint64_t>(1, result.baseline.sends));
    const double share = std::clamp(static_cast<double>(result.baseline.bad) / sends * UsualFactor + UsualMargin, LeastShare, MostShare);
    result.expected = share * static_cast<double>(result.trial.sends);
    return result;
}

/// Log likelihood of @p sample at a share of bad answers.
double logLikelihood(const Sample &sample, double share)
{
    const double p = std::clamp(share, LeastShare / 2, MostShare);
    const auto bad = static_cast<double>(sample.bad);
    return bad * std::log(p) + (static_cast<double>(sample.sends) - bad) * std::log(1 - p);
}

double expectedShare(const Comparison &comparison)
{
    return comparison.trial.sends == 0 ? 0 : comparison.expected / static_cast<double>(comparison.trial.sends);
}

/// How much better the share that was seen explains the bad answers than the expected one; 0 if fewer were seen.
double badScore(const Comparison &comparison)
{
    if (static_cast<double>(comparison.trial.bad) <= comparison.expected) {
        return 0;
    }
    const double seen = static_cast<double>(comparison.trial.bad) / static_cast<double>(comparison.trial.sends);
    return logLikelihood(comparison.trial, seen) - logLikelihood(comparison.trial, expectedShare(comparison));
}

/// How much better the expected share explains what was seen than one that is clearly worse.
double goodScore(const Comparison &comparison)
{
    const double expected = expectedShare(comparison);
    return logLikelihood(comparison.trial, expected) - logLikelihood(comparison.trial, expected + WorseByLeast);
}

Verdict verdictOf(Finding finding, const Comparison &comparison, double score)
{
    return {finding, comparison.route, comparison.trial.sends, comparison.trial.bad, comparison.baseline.sends, comparison.expected, score};
}

std::vector<Comparison> compareAll(const RolloutOutcomes &outcomes, bool withWorst)
{
    std::vector<Comparison> comparisons;
    Comparison sum;
    for (const auto &[route, entry] : outcomes) {
        const Comparison &one = comparisons.emplace_back(compare(route, entry, withWorst));
        sum.baseline = {sum.baseline.sends + one.baseline.sends, sum.baseline.bad + one.baseline.bad};
        sum.trial = {sum.trial.sends + one.trial.sends, sum.trial.bad + one.trial.bad};
        sum.expected += one.expected;
    }
    comparisons.push_back(sum);
    return comparisons;
}

Verdict worst(const RolloutOutcomes &outcomes, bool withWorst)
{
    Verdict verdict;
    for (const Comparison &comparison : compareAll(outcomes, withWorst)) {
        const double score = badScore(comparison);
        const bool isBad = score >= EnoughForBad;
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
            >= static_cast<std::ptrdiff_t>(EnoughServers);
    });
}

/// The route in use that speaks least for the version; Good if even that one does clearly.
Verdict leastGood(const RolloutOutcomes &outcomes, bool withWorst)
{
    const std::vector<Comparison> comparisons = compareAll(outcomes, withWorst);
    const Comparison &sum = comparisons.back();
    Verdict least = verdictOf(Finding::Good, sum, goodScore(sum));
    for (const Comparison &comparison : comparisons) {
        const bool isInUse =
            comparison.baseline.sends >= EnoughUsual && static_cast<double>(comparison.baseline.sends) >= RouteInUse * static_cast<double>(sum.baseline.sends);
        const double score = goodScore(comparison);
        if (isInUse && score <= least.score) {
            least = verdictOf(Finding::Good, comparison, score);
        }
    }
    if (least.score < EnoughForGood) {
        least.finding = Finding::Inconclusive;
    }
    return least;
}

} // namespace

Verdict evaluateTrial(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent)
{
    const Verdict overall = worst(all, false);
    if (overall.finding == Finding::Bad) {
        return overall;
    }
    Verdict suspicion;
    for (const RolloutOutcomes &span : recent) {
        const Verdict verdict = worst(span, false);
        if (verdict.finding == Finding::Bad) {
            return verdict;
        }
        const Verdict doubt = hasEnoughServers(span) ? verdict : worst(span, true);
        suspicion = doubt.score > suspicion.score ? doubt : suspicion;
    }
    if (suspicion.score >= Suspicious) {
        suspicion.finding = Finding::Inconclusive;
        return suspicion;
    }
    // Few servers share the evidence: without the worst one there may be too little, and with it there is no harm.
    const Verdict good = leastGood(all, true);
    return good.finding == Finding::Good ? good : leastGood(all, false);
}

} // namespace cardamomlift::rollout
