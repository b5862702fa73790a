#include "rollout/verdictrules.h"

#include "rollout/tests/outcomecounts.h"

#include <gtest/gtest.h>

namespace cardamomlift::rollout {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Route = 1;
constexpr std::uint64_t OtherRoute = 2;

/// Adds outcomes at three servers on trial: at each, @p sends requests, of which @p failed fail.
void addTrial(RolloutOutcomes &outcomes, std::uint64_t route, std::uint64_t sends, std::uint64_t failed, Duration took = milliseconds(100))
{
    for (std::uint64_t server = 1; server <= 3; server++) {
        addSends(outcomes[route].trial[server], sends, failed, took);
    }
}

TEST(RolloutVerdict, AVersionLikeTheBaselineIsGood)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, ErrorsOfTheServiceItselfAreNoFaultOfAVersion)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 60);
    addTrial(outcomes, Route, 20, 3);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, AVersionThatFailsAThirdOfItsRequestsIsBad)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 12, 4);
    const Verdict verdict = evaluateTrial(outcomes, {});
    EXPECT_EQ(verdict.finding, Finding::Bad);
    // The worst of the three servers is left out.
    EXPECT_EQ(verdict.trialSends, 24U);
    EXPECT_EQ(verdict.trialBad, 8U);
}

TEST(RolloutVerdict, AVersionThatIsSeveralTimesSlowerIsBad)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 6, 0, milliseconds(400));
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Bad);
}

TEST(RolloutVerdict, ColdCachesAreTolerated)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0, milliseconds(180));
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, AVersionThatIsBadOnOneRouteIsBad)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 4000, 40);
    addSends(outcomes[OtherRoute].baseline, 200, 2);
    addTrial(outcomes, Route, 60, 1);
    addTrial(outcomes, OtherRoute, 6, 3);
    const Verdict verdict = evaluateTrial(outcomes, {});
    EXPECT_EQ(verdict.finding, Finding::Bad);
    EXPECT_EQ(verdict.route, OtherRoute);
}

TEST(RolloutVerdict, IsInconclusiveIfARouteWasNotTried)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addSends(outcomes[OtherRoute].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Inconclusive);
}

TEST(RolloutVerdict, OneBadServerDoesNotMakeABadVersion)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    addSends(outcomes[Route].trial[4], 20, 15);
    EXPECT_NE(evaluateTrial(outcomes, {}).finding, Finding::Bad);
}

TEST(RolloutVerdict, AVersionThatJustTurnedBadIsNotGood)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 4000, 40);
    addTrial(outcomes, Route, 100, 0);
    ASSERT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
    RolloutOutcomes recent;
    addSends(recent[Route].baseline, 400, 4);
    addSends(recent[Route].trial[1], 6, 3);
    add(outcomes, recent);
    EXPECT_EQ(evaluateTrial(outcomes, std::array{recent}).finding, Finding::Inconclusive);
    addTrial(recent, Route, 8, 4);
    add(outcomes, recent);
    EXPECT_EQ(evaluateTrial(outcomes, std::array{recent}).finding, Finding::Bad);
}

TEST(RolloutVerdict, IsInconclusiveWithoutOutcomes)
{
    EXPECT_EQ(evaluateTrial({}, {}).finding, Finding::Inconclusive);
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Inconclusive);
}

TEST(RolloutOutcomes, SurviveTheTransferToAnotherVm)
{
    RolloutOutcomes outcomes;
    addOutcome(outcomes, {Route, std::nullopt, milliseconds(3)});
    addOutcome(outcomes, {Route, 7, milliseconds(900)});
    addOutcome(outcomes, {Route, 7, std::nullopt});
    const RolloutOutcomes read = fromRolloutCounts(toRolloutCounts(outcomes));
    EXPECT_EQ(read.at(Route).baseline.total(), 1U);
    EXPECT_EQ(read.at(Route).trial.at(7).failed, 1U);
    EXPECT_EQ(read.at(Route).trial.at(7).answered, outcomes.at(Route).trial.at(7).answered);
}

TEST(RolloutOutcomes, IncreasesAreNotCountedTwiceAndNotNegative)
{
    RolloutOutcomes earlier;
    addSends(earlier[Route].baseline, 10, 2);
    addSends(earlier[Route].trial[1], 4, 1);
    RolloutOutcomes now = earlier;
    addSends(now[Route].baseline, 5, 1);
    EXPECT_EQ(since(now, earlier).at(Route).baseline.total(), 5U);
    EXPECT_EQ(since(now, earlier).at(Route).trial.at(1).total(), 0U);
    // Counts decrease if a VM was restarted and its counts are missing.
    EXPECT_EQ(since(earlier, now).at(Route).baseline.total(), 0U);
}

TEST(RolloutOutcomes, TimesFallIntoGrowingBuckets)
{
    EXPECT_EQ(latencyBucket(Duration(0)), 0U);
    EXPECT_EQ(latencyBucket(milliseconds(4)), 0U);
    EXPECT_EQ(latencyBucket(milliseconds(8)), 2U);
    EXPECT_EQ(latencyBucket(milliseconds(9)), 3U);
    EXPECT_EQ(latencyBucket(std::chrono::hours(1)), LatencyBuckets - 1);
}

} // namespace

} // namespace cardamomlift::rollout
