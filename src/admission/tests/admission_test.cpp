#include "admission/admission.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::admission;
using contract::Priority;
using metrics::RefusalReason;

namespace {

std::shared_ptr<const contract::ContractInForce> customer(const std::string &name)
{
    auto contract = std::make_shared<contract::ContractInForce>();
    contract->contract.customer = name;
    return contract;
}

class AdmissionTest : public testing::Test
{
protected:
    void ask(const std::string &name, Priority priority, std::int64_t waitUpToMs, const std::string &by = "shop", std::int64_t tokens = 100)
    {
        AdmissionQuestion question;
        question.contract = customer(by);
        question.serviceClass = {"class", priority, 500, 0, waitUpToMs};
        question.target = "m";
        question.estimatedTokens = tokens;
        admission_->ask(question, [this, name](const AdmissionDecision &decision) {
            decisions_[name] = decision;
            if (decision.admitted) {
                order_.push_back(name);
            }
        });
    }

    /// Fills the room with requests that run, so that nothing more comes in before one ends.
    void fill(std::size_t count = 256)
    {
        for (std::size_t i = 0; i < count; i++) {
            ask("filler-" + std::to_string(i), Priority::Urgent, 0);
        }
        fillers_ = order_;
        order_.clear();
    }

    void endOne()
    {
        const std::string name = fillers_.back();
        fillers_.pop_back();
        admission_->release(decisions_[name].ticket, {10, 10, true});
    }

    void pass(Duration time)
    {
        clock_.advance(time);
        loop_->runDue();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<Admission> admission_ = Admission::create({loop_.get(), 1000});
    std::map<std::string, AdmissionDecision> decisions_;
    std::vector<std::string> order_;
    std::vector<std::string> fillers_;
};

constexpr Duration Moment = std::chrono::milliseconds(10);

} // namespace

TEST_F(AdmissionTest, ServesUrgentBeforeNormalBeforeDeferrable)
{
    fill();
    ask("dossier", Priority::Deferrable, 60000);
    ask("normal", Priority::Normal, 60000);
    ask("status", Priority::Urgent, 60000);
    for (int i = 0; i < 70; i++) {
        pass(Moment);
        endOne();
    }
    EXPECT_EQ(order_, (std::vector<std::string>{"status", "normal", "dossier"}));
}

TEST_F(AdmissionTest, TellsAtOnceWhatCanNotBeInTime)
{
    fill();
    for (int i = 0; i < 256; i++) {
        pass(std::chrono::milliseconds(500));
        admission_->release(decisions_["filler-" + std::to_string(i)].ticket, {10, 10, true});
        ask("again-" + std::to_string(i), Priority::Urgent, 10000);
    }
    // Two end each second. Ten wait: an eleventh has no chance within a second.
    for (int i = 0; i < 10; i++) {
        ask("wait-" + std::to_string(i), Priority::Urgent, 60000);
    }
    ask("late", Priority::Urgent, 1000);
    ASSERT_TRUE(decisions_.contains("late"));
    EXPECT_EQ(decisions_["late"].reason, RefusalReason::DeadlineImpossible);
    EXPECT_GE(decisions_["late"].retryAfter, std::chrono::seconds(2));
    EXPECT_LE(decisions_["late"].retryAfter, std::chrono::seconds(8));
    ask("no wait", Priority::Urgent, 0);
    EXPECT_EQ(decisions_["no wait"].reason, RefusalReason::Overloaded);
}

TEST_F(AdmissionTest, RefusesWhenTheWaitIsOver)
{
    fill();
    ask("dossier", Priority::Deferrable, 5000);
    pass(std::chrono::milliseconds(4900));
    EXPECT_FALSE(decisions_.contains("dossier"));
    pass(std::chrono::milliseconds(200));
    EXPECT_EQ(decisions_["dossier"].reason, RefusalReason::DeadlineImpossible);
    EXPECT_GT(decisions_["dossier"].retryAfter.count(), 0);
    EXPECT_EQ(admission_->waiting(), 0U);
}

TEST_F(AdmissionTest, SharesRoomBetweenCustomersByTokens)
{
    fill();
    for (int i = 0; i < 8; i++) {
        ask("large-" + std::to_string(i), Priority::Normal, 60000, "large", 1000);
    }
    for (int i = 0; i < 8; i++) {
        ask("small-" + std::to_string(i), Priority::Normal, 60000, "small", 250);
    }
    for (int i = 0; i < 10; i++) {
        endOne();
    }
    const auto large = std::count_if(order_.begin(), order_.end(), [](const std::string &name) { return name.starts_with("large"); });
    EXPECT_EQ(large, 2) << "two of a thousand tokens to eight of 250";
}

TEST_F(AdmissionTest, DeferrableWorkLeavesRoomToUrgentWork)
{
    for (int i = 0; i < 256; i++) {
        ask("dossier-" + std::to_string(i), Priority::Deferrable, 60000);
    }
    EXPECT_EQ(order_.size(), 230U) << "nine tenths of the room";
    ask("status", Priority::Urgent, 0);
    EXPECT_EQ(order_.back(), "status");
}

TEST_F(AdmissionTest, HoldsABoundedNumber)
{
    fill();
    for (int i = 0; i < 1000; i++) {
        ask("dossier-" + std::to_string(i), Priority::Deferrable, 60000);
    }
    EXPECT_EQ(admission_->open() + admission_->waiting(), 1000U);
    EXPECT_EQ(decisions_["dossier-999"].reason, RefusalReason::Overloaded);
}

TEST(RoomRules, FollowTheLatencyTheyObserve)
{
    // A server that takes 40 at once within the target; above that the latency grows with what is in flight.
    TimePoint now;
    Room room = startRoom(now);
    noteTargets(room, {std::chrono::milliseconds(500), std::chrono::milliseconds(50)}, now);
    for (int i = 0; i < 20000; i++) {
        now += std::chrono::milliseconds(5);
        room.inFlight = static_cast<std::int64_t>(room.limit);
        noteFirstToken(room, now, now + std::chrono::milliseconds(100) * std::max<std::int64_t>(40, room.inFlight) / 40);
    }
    EXPECT_GE(room.limit, 70);
    EXPECT_LE(room.limit, 125);
}

TEST(RoomRules, DeferrableWorkLeavesRoomForTheRecentPeakOfTheRest)
{
    TimePoint now;
    Room room = startRoom(now);
    room.limit = 100;
    noteDemand(room, 59, now);
    room.deferrableInFlight = room.inFlight = 36;
    EXPECT_FALSE(hasRoom(room, true)) << "sixty of a hundred were asked for";
    EXPECT_TRUE(hasRoom(room, false));
    noteDemand(room, 0, now + std::chrono::minutes(10));
    EXPECT_TRUE(hasRoom(room, true)) << "long ago";
    room.deferrableInFlight = room.inFlight = 120;
    EXPECT_TRUE(hasRoom(room, false)) << "deferrable work above a limit that was cut keeps nothing else out";
}
