#include <gtest/gtest.h>

#include <array>
#include <cstdio>
#include <span>

// Weighs one write (the claim is the permission to dispatch) against two (claim, then commit to dispatch): the holder
// dies after each of its steps; what may a second VM, which reads the table, truthfully say?

namespace {

enum class HolderStep { ClaimTakesEffect, ClaimAnswered, CommitTakesEffect, CommitAnswered, FirstByte, AnswerTakesEffect };

constexpr std::array OneWrite{HolderStep::ClaimTakesEffect, HolderStep::ClaimAnswered, HolderStep::FirstByte, HolderStep::AnswerTakesEffect};
constexpr std::array TwoWrites{HolderStep::ClaimTakesEffect,
    HolderStep::ClaimAnswered,
    HolderStep::CommitTakesEffect,
    HolderStep::CommitAnswered,
    HolderStep::FirstByte,
    HolderStep::AnswerTakesEffect};

struct Weighed {
    int writes = 0;
    int writesBeforeDispatch = 0;
    int unknownThoughNotRun = 0; ///< Places to die where the second VM must say "unknown" though nothing ran.
};

Weighed weigh(std::span<const HolderStep> steps, HolderStep permission)
{
    Weighed weighed;
    for (std::size_t done = 0; done <= steps.size(); done++) {
        bool permitted = false;
        bool ran = false;
        bool answered = false;
        for (const HolderStep step : steps.first(done)) {
            permitted = permitted || step == permission;
            ran = ran || step == HolderStep::FirstByte;
            answered = answered || step == HolderStep::AnswerTakesEffect;
        }
        // Before the permission stands, the second VM can void the claim by a conditional write.
        weighed.unknownThoughNotRun += permitted && !ran && !answered ? 1 : 0;
    }
    for (const HolderStep step : steps) {
        const bool isWrite = step == HolderStep::ClaimTakesEffect || step == HolderStep::CommitTakesEffect || step == HolderStep::AnswerTakesEffect;
        weighed.writes += isWrite ? 1 : 0;
        weighed.writesBeforeDispatch += isWrite && step != HolderStep::AnswerTakesEffect ? 1 : 0;
    }
    return weighed;
}

} // namespace

TEST(ClaimProtocols, SecondWriteDoesNotNarrowTheUnknownWindow)
{
    const Weighed one = weigh(OneWrite, HolderStep::ClaimTakesEffect);
    const Weighed two = weigh(TwoWrites, HolderStep::CommitTakesEffect);
    for (const Weighed &each : {one, two}) {
        std::printf("writes=%d before-dispatch=%d places-to-die-unknown-though-not-run=%d\n", each.writes, each.writesBeforeDispatch, each.unknownThoughNotRun);
    }
    EXPECT_EQ(one.unknownThoughNotRun, two.unknownThoughNotRun);
    EXPECT_LT(one.writes, two.writes);
}
