#include "outliers/outlierrules.h"

#include <gtest/gtest.h>

namespace cardamomlift::outliers {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint Start(std::chrono::hours(1));

OutcomeCounts outcomesOf(int answered, int failed)
{
    OutcomeCounts outcomes;
    for (int i = 0; i < failed; i++) {
        note(outcomes, Ending::ServerError, Start);
    }
    for (int i = 0; i < answered; i++) {
        note(outcomes, Ending::Answered, Start);
    }
    return outcomes;
}

TEST(OutlierRules, OneRequestWithoutAnAnswerProvesNothing)
{
    OutcomeCounts outcomes = outcomesOf(5, 0);
    note(outcomes, Ending::NoAnswer, Start);
    EXPECT_FALSE(isOutlier(outcomes, 0, Start));
    note(outcomes, Ending::NoAnswer, Start);
    EXPECT_TRUE(isOutlier(outcomes, 0, Start));
}

TEST(OutlierRules, ATrialIsDelayedByEachConsecutiveFailureUpToABound)
{
    OutcomeCounts outcomes;
    for (int i = 0; i < 2; i++) {
        note(outcomes, Ending::NoAnswer, Start);
    }
    EXPECT_TRUE(isOutlier(outcomes, 0, Start + milliseconds(1900)));
    EXPECT_FALSE(isOutlier(outcomes, 0, Start + milliseconds(2100)));
    for (int i = 0; i < 20; i++) {
        note(outcomes, Ending::NoAnswer, Start);
    }
    EXPECT_TRUE(isOutlier(outcomes, 1, Start + milliseconds(4900)));
    EXPECT_FALSE(isOutlier(outcomes, 1, Start + milliseconds(5100)));
}

TEST(OutlierRules, AnAnswerEndsConsecutiveFailures)
{
    OutcomeCounts outcomes;
    note(outcomes, Ending::NoAnswer, Start);
    note(outcomes, Ending::NoAnswer, Start);
    note(outcomes, Ending::Answered, Start);
    EXPECT_FALSE(isOutlier(outcomes, 0, Start));
}

TEST(OutlierRules, AServerThatFailsHalfOfItsRequestsIsAnOutlierOnlyWhereOthersDoNot)
{
    const OutcomeCounts half = outcomesOf(6, 6);
    EXPECT_TRUE(isOutlier(half, 0.05, Start));
    EXPECT_FALSE(isOutlier(half, 0.45, Start));
}

TEST(OutlierRules, OneOrTwoFailuresAmongManyAnswersMakeNoOutlier)
{
    EXPECT_FALSE(isOutlier(outcomesOf(30, 1), 0, Start));
    EXPECT_FALSE(isOutlier(outcomesOf(30, 2), 0, Start));
    EXPECT_TRUE(isOutlier(outcomesOf(10, 6), 0, Start));
}

TEST(OutlierRules, FailuresDecaySoThatAServerIsTriedAgain)
{
    const OutcomeCounts half = outcomesOf(6, 6);
    EXPECT_FALSE(isOutlier(half, 0.05, Start + seconds(8)));
}

TEST(OutlierRules, FailuresAtOtherVmsCountUntilAnyVmGetsAnAnswer)
{
    OutcomeCounts other;
    note(other, Ending::NoAnswer, Start);
    note(other, Ending::NoAnswer, Start);
    const OutcomeCounts nothing;
    EXPECT_TRUE(isOutlier(combine(nothing, {&other, 1}, Start), 0, Start));
    OutcomeCounts answered;
    note(answered, Ending::Answered, Start + milliseconds(10));
    const TimePoint later = Start + milliseconds(20);
    EXPECT_FALSE(isOutlier(combine(answered, {&other, 1}, later), 0, later));
    const OutcomeCounts others[] = {other, answered};
    EXPECT_FALSE(isOutlier(combine(nothing, others, later), 0, later));
}

TEST(OutlierRules, OwnConsecutiveFailuresCountWhateverOthersReport)
{
    OutcomeCounts own;
    note(own, Ending::NoAnswer, Start);
    note(own, Ending::NoAnswer, Start);
    OutcomeCounts answered;
    note(answered, Ending::Answered, Start + milliseconds(10));
    EXPECT_TRUE(isOutlier(combine(own, {&answered, 1}, Start + milliseconds(20)), 0, Start + milliseconds(20)));
}

TEST(OutlierRules, AFewFailuresOfAServiceDoNotRaiseItsBaseline)
{
    EXPECT_LT(baselineFailureRate(outcomesOf(0, 2)), 0.2);
    EXPECT_GT(baselineFailureRate(outcomesOf(50, 50)), 0.4);
}

} // namespace

} // namespace cardamomlift::outliers
