#include "rollout/verdictrules.h"

#include "rollout/tests/outcomecounts.h"

#include <gtest/gtest.h>

namespace cardamomlift::rollout {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Route = 1;
constexpr std::uint64_t OtherRoute = 2;

/// Three servers on trial with @p sends each, of which @p failed fail.
void addTrial(RolloutOutcomes &outcomes, std::uint64_t route, std::uint64_t sends, std::uint64_t failed, Duration took = milliseconds(100))
{
    for (std::uint64_t server = 1; server <= 3; server++) {
        addSends(outcomes[route].trial[server], sends, failed, took);
    }
}

TEST(RolloutVerdict, FindsAVersionGoodThatIsLikeTheOthers)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, LaysErrorsOfTheServiceItselfToNoVersion)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 60);
    addTrial(outcomes, Route, 20, 3);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, FindsAVersionBadOfWhichAThirdFails)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 12, 4);
    const Verdict verdict = evaluateTrial(outcomes, {});
    EXPECT_EQ(verdict.finding, Finding::Bad);
    // The worst of the three is left out.
    EXPECT_EQ(verdict.trialSends, 24U);
    EXPECT_EQ(verdict.trialBad, 8U);
}

TEST(RolloutVerdict, FindsAVersionBadThatIsSeveralTimesSlower)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 6, 0, milliseconds(400));
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Bad);
}

TEST(RolloutVerdict, TakesColdCachesForNoFault)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0, milliseconds(180));
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
}

TEST(RolloutVerdict, FindsAVersionBadOnOneRouteAlone)
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

TEST(RolloutVerdict, IsUnsureOfARouteThatWasNotTried)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addSends(outcomes[OtherRoute].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Inconclusive);
}

TEST(RolloutVerdict, TakesOneBadServerForNoBadVersion)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    addTrial(outcomes, Route, 20, 0);
    addSends(outcomes[Route].trial[4], 20, 15);
    EXPECT_NE(evaluateTrial(outcomes, {}).finding, Finding::Bad);
}

TEST(RolloutVerdict, FindsNoVersionGoodThatJustTurnedBad)
{
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 4000, 40);
    addTrial(outcomes, Route, 100, 0);
    ASSERT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Good);
    RolloutOutcomes last;
    addSends(last[Route].baseline, 400, 4);
    addSends(last[Route].trial[1], 6, 3);
    add(outcomes, last);
    EXPECT_EQ(evaluateTrial(outcomes, std::array{last}).finding, Finding::Inconclusive);
    addTrial(last, Route, 8, 4);
    add(outcomes, last);
    EXPECT_EQ(evaluateTrial(outcomes, std::array{last}).finding, Finding::Bad);
}

TEST(RolloutVerdict, IsUnsureWithoutEvidence)
{
    EXPECT_EQ(evaluateTrial({}, {}).finding, Finding::Inconclusive);
    RolloutOutcomes outcomes;
    addSends(outcomes[Route].baseline, 400, 4);
    EXPECT_EQ(evaluateTrial(outcomes, {}).finding, Finding::Inconclusive);
}

TEST(RolloutOutcomesTest, SurvivesTheWayToAnotherVm)
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

TEST(RolloutOutcomesTest, CountsNothingTwiceAndNothingBelowZero)
{
    RolloutOutcomes before;
    addSends(before[Route].baseline, 10, 2);
    addSends(before[Route].trial[1], 4, 1);
    RolloutOutcomes now = before;
    addSends(now[Route].baseline, 5, 1);
    EXPECT_EQ(since(now, before).at(Route).baseline.total(), 5U);
    EXPECT_EQ(since(now, before).at(Route).trial.at(1).total(), 0U);
    // A VM was restarted, and its part is missing.
    EXPECT_EQ(since(before, now).at(Route).baseline.total(), 0U);
}

TEST(RolloutOutcomesTest, SortsTimesIntoClassesThatGrow)
{
    EXPECT_EQ(latencyBucket(Duration(0)), 0U);
    EXPECT_EQ(latencyBucket(milliseconds(4)), 0U);
    EXPECT_EQ(latencyBucket(milliseconds(8)), 2U);
    EXPECT_EQ(latencyBucket(milliseconds(9)), 3U);
    EXPECT_EQ(latencyBucket(std::chrono::hours(1)), LatencyBuckets - 1);
}

} // namespace

} // namespace cardamomlift::rollout
