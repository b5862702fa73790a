#include "backoff/backofftracker.h"
#include "backoff/retryafter.h"

#include <gtest/gtest.h>

namespace cardamomlift::backoff {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class BackoffTrackerTest : public testing::Test
{
protected:
    ManualClock clock_;
    std::shared_ptr<BackoffTracker> tracker_ = BackoffTracker::create(clock_);
};

TEST_F(BackoffTrackerTest, ABackoffLastsAsLongAsTheServerAskedFor)
{
    EXPECT_FALSE(tracker_->endsAt("a"));
    EXPECT_TRUE(tracker_->begin("a", seconds(3)));
    EXPECT_EQ(tracker_->endsAt("a"), clock_.now() + seconds(3));
    EXPECT_FALSE(tracker_->endsAt("b"));
    EXPECT_EQ(tracker_->count(), 1U);
    clock_.advance(seconds(3) - milliseconds(1));
    EXPECT_TRUE(tracker_->endsAt("a"));
    clock_.advance(milliseconds(1));
    EXPECT_FALSE(tracker_->endsAt("a"));
    EXPECT_EQ(tracker_->count(), 0U);
}

// Guards against an answer that ends the backoff that an earlier one has asked for.
TEST_F(BackoffTrackerTest, ALaterAnswerDoesNotShortenABackoff)
{
    tracker_->begin("a", seconds(3));
    const TimePoint end = clock_.now() + seconds(3);
    clock_.advance(milliseconds(100));
    EXPECT_FALSE(tracker_->begin("a", milliseconds(500)));
    EXPECT_EQ(tracker_->endsAt("a"), end);
    EXPECT_FALSE(tracker_->begin("a", seconds(4)));
    EXPECT_EQ(tracker_->endsAt("a"), clock_.now() + seconds(4));
    tracker_->noteAnswered("a", clock_.now());
    EXPECT_EQ(tracker_->endsAt("a"), clock_.now() + seconds(4)) << "a request that was on its way is answered";
}

TEST_F(BackoffTrackerTest, AfterABackoffAServerGetsOneMoreRequestWithEachAnswer)
{
    EXPECT_FALSE(tracker_->openLimit("a"));
    const TimePoint before = clock_.now();
    tracker_->begin("a", seconds(1));
    clock_.advance(seconds(1));
    EXPECT_EQ(tracker_->openLimit("a"), 1);
    tracker_->noteAnswered("a", before);
    EXPECT_EQ(tracker_->openLimit("a"), 1) << "an answer to a request of before the backoff";
    for (int answered = 1; answered < AnswersToRecover; answered++) {
        tracker_->noteAnswered("a", clock_.now());
        EXPECT_EQ(tracker_->openLimit("a"), 1 + answered);
    }
    tracker_->noteAnswered("a", clock_.now());
    EXPECT_FALSE(tracker_->openLimit("a"));
}

TEST_F(BackoffTrackerTest, AServerThatAsksAgainBeginsAnew)
{
    tracker_->begin("a", seconds(1));
    clock_.advance(seconds(1));
    tracker_->noteAnswered("a", clock_.now());
    EXPECT_TRUE(tracker_->begin("a", seconds(2)));
    EXPECT_EQ(tracker_->endsAt("a"), clock_.now() + seconds(2));
    clock_.advance(seconds(2));
    EXPECT_EQ(tracker_->openLimit("a"), 1);
}

TEST_F(BackoffTrackerTest, AServerThatGetsNothingAfterItsBackoffRecoversWithTime)
{
    tracker_->begin("a", seconds(1));
    clock_.advance(seconds(1) + RecoveryTimeout);
    EXPECT_FALSE(tracker_->openLimit("a"));
}

TEST_F(BackoffTrackerTest, ExceptionsAreCountedInEachBackoff)
{
    EXPECT_TRUE(tracker_->takeException("a")) << "no backoff";
    tracker_->begin("a", seconds(1));
    for (int i = 0; i < ExceptionsPerBackoff; i++) {
        EXPECT_TRUE(tracker_->takeException("a"));
    }
    EXPECT_FALSE(tracker_->takeException("a"));
    tracker_->begin("a", seconds(2));
    EXPECT_FALSE(tracker_->takeException("a")) << "the same backoff, extended";
    clock_.advance(seconds(2));
    EXPECT_TRUE(tracker_->takeException("a"));
    tracker_->begin("a", seconds(1));
    EXPECT_TRUE(tracker_->takeException("a"));
}

TEST_F(BackoffTrackerTest, AServerThatRefusesInSuccessionIsOverloadedForLongerEachTime)
{
    tracker_->noteRefused("a");
    EXPECT_FALSE(tracker_->isOverloaded("a")) << "the request may be the reason";
    Duration length = MinOverload;
    for (int i = 0; i < 20; i++) {
        tracker_->noteRefused("a");
        clock_.advance(length - milliseconds(1));
        EXPECT_TRUE(tracker_->isOverloaded("a"));
        clock_.advance(milliseconds(1));
        EXPECT_FALSE(tracker_->isOverloaded("a"));
        length = std::min(2 * length, MaxOverload);
    }
    EXPECT_FALSE(tracker_->endsAt("a")) << "it has not asked for a backoff";
    tracker_->noteAnswered("a", clock_.now());
    tracker_->noteRefused("a");
    EXPECT_FALSE(tracker_->isOverloaded("a")) << "it has answered in between";
}

TEST_F(BackoffTrackerTest, ServersThatHaveRecoveredAreForgotten)
{
    tracker_->begin("a", seconds(1));
    tracker_->begin("b", seconds(60));
    tracker_->noteRefused("b");
    tracker_->noteRefused("c");
    EXPECT_EQ(tracker_->size(), 3U);
    clock_.advance(seconds(1) + RecoveryTimeout);
    tracker_->tick();
    EXPECT_EQ(tracker_->size(), 1U);
    EXPECT_TRUE(tracker_->endsAt("b"));
}

TEST(RetryAfter, CallersReturnAfterTheBackoffAndSpreadOverHalfOfItOrASecond)
{
    for (std::uint64_t salt = 0; salt < 10'000; salt++) {
        const Duration soon = retryAfterBackoff(milliseconds(1), salt);
        EXPECT_TRUE(soon >= milliseconds(1) && soon <= std::chrono::microseconds(1500));
        const Duration late = retryAfterBackoff(seconds(60), salt * 1'000'003);
        EXPECT_TRUE(late >= seconds(60) && late <= seconds(61));
    }
    EXPECT_NE(retryAfterBackoff(seconds(3), 1), retryAfterBackoff(seconds(3), 2));
    EXPECT_EQ(retryAfterBackoff(Duration(0), 7), Duration(0));
}

} // namespace

} // namespace cardamomlift::backoff
