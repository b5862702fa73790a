#include "recovery/recoverydecision.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::recovery;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A stream in the middle of its answer whose server is leaving.
RecoveryInputs inputsOfLeavingServer()
{
    RecoveryInputs inputs;
    inputs.promptTokens = 2000;
    inputs.tokensSoFar = 200;
    inputs.tokensLeft = 800;
    inputs.reclaimLeft = seconds(2);
    inputs.betweenTokens = milliseconds(30);
    inputs.isKvRateKnown = true;
    inputs.kvBytesPerToken = 4096;
    inputs.kvBytesPerMs = 100000;
    return inputs;
}

} // namespace

TEST(RecoveryDecision, StaysWhenTheAnswerEndsInTime)
{
    RecoveryInputs inputs = inputsOfLeavingServer();
    inputs.tokensLeft = 50;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Stay);
    inputs.tokensLeft = 55; // 55 * 30 ms * 1.25 is past 2 s.
    EXPECT_NE(planRecovery(inputs).method, RecoveryMethod::Stay);
    inputs.tokensLeft.reset();
    EXPECT_NE(planRecovery(inputs).method, RecoveryMethod::Stay);
}

TEST(RecoveryDecision, ResumesOnceWhenOnlyTheConnectionBroke)
{
    RecoveryInputs inputs = inputsOfLeavingServer();
    inputs.reclaimLeft.reset();
    inputs.connectionBroke = true;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Resume);
    inputs.resumeTried = true;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
    inputs.resumeTried = false;
    inputs.serverAnswers = false;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
}

TEST(RecoveryDecision, MovesTheCacheWhenThatCostsLess)
{
    const RecoveryPlan plan = planRecovery(inputsOfLeavingServer());
    EXPECT_EQ(plan.method, RecoveryMethod::MoveKv);
    // 2200 tokens * 4096 bytes take 90 ms, in which 3 tokens are produced.
    EXPECT_EQ(plan.costs[static_cast<std::size_t>(RecoveryMethod::MoveKv)].recomputedTokens, 3);
    EXPECT_EQ(plan.costs[static_cast<std::size_t>(RecoveryMethod::Recompute)].recomputedTokens, 2200);
}

TEST(RecoveryDecision, RecomputesWhenTheCacheIsTooLargeOrTooLate)
{
    RecoveryInputs inputs = inputsOfLeavingServer();
    inputs.reclaimLeft = milliseconds(150);
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
    inputs = inputsOfLeavingServer();
    inputs.canMoveKv = false;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
    inputs = inputsOfLeavingServer();
    inputs.kvQueueBytes = 300'000'000;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
}

TEST(RecoveryDecision, RecomputesShortPromptsThatAreCachedAtTheTarget)
{
    RecoveryInputs inputs = inputsOfLeavingServer();
    inputs.tokensSoFar = 4;
    inputs.cachedShareAtTarget = 1;
    inputs.kvBytesPerMs = 5000;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
}

TEST(RecoveryDecision, TransfersOneAtATimeUntilTheRateIsKnown)
{
    RecoveryInputs inputs = inputsOfLeavingServer();
    inputs.isKvRateKnown = false;
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::MoveKv);
    inputs.reclaimLeft = milliseconds(400);
    EXPECT_EQ(planRecovery(inputs).method, RecoveryMethod::Recompute);
    EXPECT_TRUE(canStartTransfer(0, 0, 0, false));
    EXPECT_FALSE(canStartTransfer(0, 1, 1, false));
    EXPECT_TRUE(canStartTransfer(1, 1, 1, true));
    EXPECT_FALSE(canStartTransfer(1, 1, MaxTransfers, true));
    EXPECT_FALSE(canStartTransfer(MaxTransferBytes, 1, 1, true));
}

TEST(RecoveryDecision, StallLimitFollowsTheStreamsTokenInterval)
{
    EXPECT_EQ(stallLimit(milliseconds(30), true), milliseconds(1520));
    EXPECT_EQ(stallLimit(milliseconds(200), true), milliseconds(4000));
    EXPECT_EQ(stallLimit(seconds(1), true), seconds(10));
    EXPECT_EQ(stallLimit(Duration(0), false), seconds(10));
}
