#include "recovery/recoverydecision.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::recovery;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A stream in the middle of its answer whose server is leaving.
RecoveryQuestion leaving()
{
    RecoveryQuestion question;
    question.promptTokens = 2000;
    question.tokensSoFar = 200;
    question.tokensLeft = 800;
    question.reclaimLeft = seconds(2);
    question.betweenTokens = milliseconds(30);
    question.isKvRateKnown = true;
    question.kvBytesPerToken = 4096;
    question.kvBytesPerMs = 100000;
    return question;
}

} // namespace

TEST(RecoveryDecision, StaysWhenTheAnswerEndsInTime)
{
    RecoveryQuestion question = leaving();
    question.tokensLeft = 50;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Stay);
    question.tokensLeft = 55; // 55 * 30 ms * 1.25 is past 2 s.
    EXPECT_NE(planRecovery(question).way, RecoveryWay::Stay);
    question.tokensLeft.reset();
    EXPECT_NE(planRecovery(question).way, RecoveryWay::Stay);
}

TEST(RecoveryDecision, JoinsAgainOnceWhenOnlyTheConnectionBroke)
{
    RecoveryQuestion question = leaving();
    question.reclaimLeft.reset();
    question.connectionBroke = true;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Resume);
    question.resumeTried = true;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
    question.resumeTried = false;
    question.serverAnswers = false;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
}

TEST(RecoveryDecision, MovesTheCacheWhenThatCostsLess)
{
    const RecoveryPlan plan = planRecovery(leaving());
    EXPECT_EQ(plan.way, RecoveryWay::MoveKv);
    // 2200 tokens * 4096 bytes take 90 ms, in which 3 tokens are made.
    EXPECT_EQ(plan.costs[static_cast<std::size_t>(RecoveryWay::MoveKv)].recomputedTokens, 3);
    EXPECT_EQ(plan.costs[static_cast<std::size_t>(RecoveryWay::Recompute)].recomputedTokens, 2200);
}

TEST(RecoveryDecision, RecomputesWhenTheCacheIsTooLargeOrTooLate)
{
    RecoveryQuestion question = leaving();
    question.reclaimLeft = milliseconds(150);
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
    question = leaving();
    question.canMoveKv = false;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
    question = leaving();
    question.kvQueueBytes = 300'000'000;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
}

TEST(RecoveryDecision, RecomputesShortPromptsThatAreCachedAtTheTarget)
{
    RecoveryQuestion question = leaving();
    question.tokensSoFar = 4;
    question.cachedShareAtTarget = 1;
    question.kvBytesPerMs = 5000;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
}

TEST(RecoveryDecision, MeasuresTheTransferOneAtATime)
{
    RecoveryQuestion question = leaving();
    question.isKvRateKnown = false;
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::MoveKv);
    question.reclaimLeft = milliseconds(400);
    EXPECT_EQ(planRecovery(question).way, RecoveryWay::Recompute);
    EXPECT_TRUE(mayTransferNow(0, 0, 0, false));
    EXPECT_FALSE(mayTransferNow(0, 1, 1, false));
    EXPECT_TRUE(mayTransferNow(1, 1, 1, true));
    EXPECT_FALSE(mayTransferNow(1, 1, MostTransfers, true));
    EXPECT_FALSE(mayTransferNow(LargestCache, 1, 1, true));
}

TEST(RecoveryDecision, SilenceIsJudgedByTheStreamsOwnPace)
{
    EXPECT_EQ(stallLimit(milliseconds(30), true), milliseconds(1520));
    EXPECT_EQ(stallLimit(milliseconds(200), true), milliseconds(4000));
    EXPECT_EQ(stallLimit(seconds(1), true), seconds(10));
    EXPECT_EQ(stallLimit(Duration(0), false), seconds(10));
}
