#include "stragglers/stragglerrules.h"
#include "stragglers/stragglertracker.h"

#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <vector>

namespace cardamomlift::stragglers {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Goal = milliseconds(500);

/// A stream of 100 events whose last pauses were all @p pause.
RunProgress streamOf(Duration pause, std::uint64_t events, Duration timeLeft)
{
    RunProgress progress;
    for (std::uint64_t i = 0; i < std::min<std::uint64_t>(events, 8); i++) {
        noteEvents(progress.gaps, 1, pause, Goal);
    }
    progress.events = events;
    progress.eventsLeft = eventsLeft(100, events);
    progress.gapGoal = Goal;
    progress.timeLeft = timeLeft;
    return progress;
}

MoveTarget server(double pace, double open = 2)
{
    MoveTarget target;
    target.pace = pace;
    target.openRequests = open;
    target.slots = 8;
    target.pause = milliseconds(150);
    return target;
}

RunDecision decideAmong(const RunProgress &progress, double paceHere, const std::vector<MoveTarget> &targets)
{
    const auto chosen = chooseTarget(targets, paceHere, 7, {});
    return decide(progress, paceHere, chosen ? &targets[*chosen] : nullptr, {});
}

// A server is slowed five times under running streams: 100 ms between events become 500 ms.
TEST(StragglerRules, StreamsOfAServerThatIsSlowedFiveTimesLeaveItBeforeTheirPausesBreakTheGoal)
{
    const RunProgress before = streamOf(milliseconds(100), 20, seconds(10));
    EXPECT_EQ(needOf(before, {}), RunNeed::None);
    RunProgress slowed = before;
    int pauses = 0;
    while (needOf(slowed, {}) == RunNeed::None) {
        noteEvents(slowed.gaps, 1, milliseconds(495), Goal);
        ASSERT_LT(++pauses, 6);
    }
    EXPECT_EQ(decideAmong(slowed, 5, {server(1), server(1.1)}), RunDecision::Move);
}

// The load of one day: 158 streams ran at a slowed server until their callers' time was over.
TEST(StragglerRules, AStreamThatCanNotEndInTimeLeavesItsServer)
{
    RunProgress progress = streamOf(milliseconds(250), 20, seconds(9));
    EXPECT_EQ(needOf(progress, {}), RunNeed::Deadline);
    EXPECT_EQ(decideAmong(progress, 5, {server(1)}), RunDecision::Move);
    progress.timeLeft = seconds(60);
    EXPECT_EQ(needOf(progress, {}), RunNeed::None) << "within its goals it stays, however slow the server is";
}

// A whole service is slow: every server takes as long.
TEST(StragglerRules, NothingMovesWhereTheWholeServiceIsSlow)
{
    const RunProgress progress = streamOf(milliseconds(600), 20, seconds(10));
    EXPECT_EQ(decideAmong(progress, 1, {server(1), server(0.95), server(1.05)}), RunDecision::NoBetterServer);
    EXPECT_EQ(decideAmong(progress, 1.3, {server(0.9)}), RunDecision::NoBetterServer) << "not clearly faster";
}

// Runs near their end at a slow server.
TEST(StragglerRules, ARunNearItsEndStays)
{
    RunProgress progress = streamOf(milliseconds(400), 99, seconds(10));
    progress.eventsLeft = 1;
    EXPECT_EQ(decideAmong(progress, 5, {server(1)}), RunDecision::CostsMore);
}

// Runs whose callers have little time left.
TEST(StragglerRules, ARunThatNoServerCanEndInTimeStays)
{
    EXPECT_EQ(decideAmong(streamOf(milliseconds(250), 20, seconds(2)), 5, {server(1)}), RunDecision::TooLate);
}

// A stream whose caller is about to take its pause for the end.
TEST(StragglerRules, ARunStaysIfItsCallerWouldLeaveDuringTheMove)
{
    RunProgress progress = streamOf(milliseconds(400), 20, seconds(10));
    progress.waited = milliseconds(1700);
    EXPECT_EQ(decideAmong(progress, 5, {server(1)}), RunDecision::TooLate);
}

// All faster servers are full, or have just taken other late runs.
TEST(StragglerRules, NoRunMovesToAServerWithoutRoomOrThatHasJustTakenAnother)
{
    const RunProgress progress = streamOf(milliseconds(600), 20, seconds(60));
    EXPECT_EQ(decideAmong(progress, 5, {server(1, 6.5)}), RunDecision::NoBetterServer);
    MoveTarget taken = server(1);
    taken.takenLately = 1;
    EXPECT_EQ(decideAmong(progress, 5, {taken}), RunDecision::NoBetterServer);
    EXPECT_EQ(decideAmong(progress, 5, {taken, server(1.2)}), RunDecision::Move);
    EXPECT_EQ(decideAmong(progress, 5, {}), RunDecision::NoBetterServer);
    MoveTarget unknown = server(1);
    unknown.slots = 0;
    EXPECT_EQ(decideAmong(progress, 5, {unknown}), RunDecision::NoBetterServer);
}

// Sixteen VMs that know the same each move one run off the same server at once: eight servers, one of them a little better.
TEST(StragglerRules, RunsOfManyVmsSpreadOverTheServers)
{
    std::vector<MoveTarget> targets(8, server(1));
    targets[3].pace = 0.9;
    std::map<std::size_t, int> taken;
    constexpr int Runs = 1600;
    for (std::uint64_t run = 0; run < Runs; run++) {
        taken[*chooseTarget(targets, 5, run * 0x9E3779B97F4A7C15ULL, {})]++;
    }
    EXPECT_EQ(taken.size(), 8U);
    EXPECT_LT(taken[3], Runs / 3);
}

// A liar claims to be a hundred times as fast, another server's pace can't be read.
TEST(StragglerRules, PacesThatCanNotBeTrueAreBounded)
{
    const RunProgress progress = streamOf(milliseconds(600), 20, seconds(60));
    EXPECT_EQ(decideAmong(progress, 1, {server(-1), server(std::numeric_limits<double>::quiet_NaN())}), RunDecision::NoBetterServer);
    EXPECT_EQ(decideAmong(progress, std::numeric_limits<double>::infinity(), {server(1)}), RunDecision::NoBetterServer);
}

TEST(StragglerRules, AFewPausesSayNothing)
{
    RunProgress progress = streamOf(milliseconds(600), 2, seconds(60));
    EXPECT_EQ(needOf(progress, {}), RunNeed::None);
    progress = streamOf(milliseconds(50), 20, seconds(60));
    noteEvents(progress.gaps, 1, milliseconds(600), Goal);
    noteEvents(progress.gaps, 1, milliseconds(50), Goal);
    EXPECT_EQ(needOf(progress, {}), RunNeed::None) << "one lost packet";
}

TEST(StragglerRules, WhatIsLeftOfAStreamIsNeverNothing)
{
    EXPECT_DOUBLE_EQ(eventsLeft(100, 20), 80);
    EXPECT_DOUBLE_EQ(eventsLeft(100, 120), 12);
    EXPECT_DOUBLE_EQ(eventsLeft(0, 30), 30) << "of unknown length";
}

class StragglerTrackerTest : public testing::Test
{
protected:
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<StragglerTracker> tracker_ = StragglerTracker::create(*loop_);
};

// A server with many runs of this VM is slowed: they don't all move at once, nor to one server.
TEST_F(StragglerTrackerTest, FewRunsMoveAtATime)
{
    auto first = tracker_->begin(1);
    auto second = tracker_->begin(2);
    EXPECT_FALSE(tracker_->mayMove());
    first.reset();
    EXPECT_TRUE(tracker_->mayMove());
    EXPECT_EQ(tracker_->takenLately(1), 1) << "its next load report may not cover the run yet";
    clock_.advance(seconds(1));
    EXPECT_EQ(tracker_->takenLately(1), 0);
    tracker_.reset();
    second.reset();
}

TEST_F(StragglerTrackerTest, LearnsThePauseOfMovesAndTheLengthOfStreams)
{
    for (int i = 0; i < 20; i++) {
        tracker_->notePause(milliseconds(400));
        tracker_->noteWhole("service", 30, 60);
    }
    EXPECT_NEAR(static_cast<double>(toMilliseconds(tracker_->expectedPause())), 400, 5);
    EXPECT_DOUBLE_EQ(tracker_->expectedEvents("service", 100), 50);
    EXPECT_DOUBLE_EQ(tracker_->expectedEvents("other", 100), 0);
    tracker_->noteWhole("service", 30, -5);
    EXPECT_DOUBLE_EQ(tracker_->expectedEvents("service", 0), 0);
}

} // namespace

} // namespace cardamomlift::stragglers
