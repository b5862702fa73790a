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
    void request(const std::string &name, Priority priority, std::int64_t waitUpToMs, const std::string &customerName = "shop", std::int64_t tokens = 100)
    {
        AdmissionParameters parameters;
        parameters.contract = customer(customerName);
        parameters.serviceClass = {"class", priority, 500, 0, waitUpToMs};
        parameters.target = "m";
        parameters.estimatedTokens = tokens;
        admission_->requestAdmission(parameters, [this, name](const AdmissionDecision &decision) {
            decisions_[name] = decision;
            if (decision.admitted) {
                order_.push_back(name);
            }
        });
    }

    /// Uses up the concurrency limit, so that no other request is admitted before one ends.
    void fillCapacity(std::size_t count = 256)
    {
        for (std::size_t i = 0; i < count; i++) {
            request("filler-" + std::to_string(i), Priority::Urgent, 0);
        }
        fillers_ = order_;
        order_.clear();
    }

    void releaseOne()
    {
        const std::string name = fillers_.back();
        fillers_.pop_back();
        admission_->release(decisions_[name].ticket, {10, 10, true});
    }

    void advance(Duration time)
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

constexpr Duration Step = std::chrono::milliseconds(10);

} // namespace

TEST_F(AdmissionTest, ServesUrgentBeforeNormalBeforeDeferrable)
{
    fillCapacity();
    request("dossier", Priority::Deferrable, 60000);
    request("normal", Priority::Normal, 60000);
    request("status", Priority::Urgent, 60000);
    for (int i = 0; i < 70; i++) {
        advance(Step);
        releaseOne();
    }
    EXPECT_EQ(order_, (std::vector<std::string>{"status", "normal", "dossier"}));
}

TEST_F(AdmissionTest, RefusesAtOnceWhatCanNotBeInTime)
{
    fillCapacity();
    for (int i = 0; i < 256; i++) {
        advance(std::chrono::milliseconds(500));
        admission_->release(decisions_["filler-" + std::to_string(i)].ticket, {10, 10, true});
        request("again-" + std::to_string(i), Priority::Urgent, 10000);
    }
    // Two requests end each second and ten are waiting, so an eleventh can't be admitted within a second.
    for (int i = 0; i < 10; i++) {
        request("wait-" + std::to_string(i), Priority::Urgent, 60000);
    }
    request("late", Priority::Urgent, 1000);
    ASSERT_TRUE(decisions_.contains("late"));
    EXPECT_EQ(decisions_["late"].reason, RefusalReason::DeadlineImpossible);
    EXPECT_GE(decisions_["late"].retryAfter, std::chrono::seconds(2));
    EXPECT_LE(decisions_["late"].retryAfter, std::chrono::seconds(8));
    request("no wait", Priority::Urgent, 0);
    EXPECT_EQ(decisions_["no wait"].reason, RefusalReason::Overloaded);
}

TEST_F(AdmissionTest, RefusesAfterTheMaximumWait)
{
    fillCapacity();
    request("dossier", Priority::Deferrable, 5000);
    advance(std::chrono::milliseconds(4900));
    EXPECT_FALSE(decisions_.contains("dossier"));
    advance(std::chrono::milliseconds(200));
    EXPECT_EQ(decisions_["dossier"].reason, RefusalReason::DeadlineImpossible);
    EXPECT_GT(decisions_["dossier"].retryAfter.count(), 0);
    EXPECT_EQ(admission_->waitingRequests(), 0U);
}

TEST_F(AdmissionTest, SharesCapacityBetweenCustomersByTokens)
{
    fillCapacity();
    for (int i = 0; i < 8; i++) {
        request("large-" + std::to_string(i), Priority::Normal, 60000, "large", 1000);
    }
    for (int i = 0; i < 8; i++) {
        request("small-" + std::to_string(i), Priority::Normal, 60000, "small", 250);
    }
    for (int i = 0; i < 10; i++) {
        releaseOne();
    }
    const auto large = std::count_if(order_.begin(), order_.end(), [](const std::string &name) { return name.starts_with("large"); });
    EXPECT_EQ(large, 2) << "two requests of 1000 tokens for eight of 250";
}

TEST_F(AdmissionTest, DeferrableRequestsLeaveCapacityForUrgentOnes)
{
    for (int i = 0; i < 256; i++) {
        request("dossier-" + std::to_string(i), Priority::Deferrable, 60000);
    }
    EXPECT_EQ(order_.size(), 230U) << "nine tenths of the limit";
    request("status", Priority::Urgent, 0);
    EXPECT_EQ(order_.back(), "status");
}

TEST_F(AdmissionTest, BoundsTheNumberOfRequests)
{
    fillCapacity();
    for (int i = 0; i < 1000; i++) {
        request("dossier-" + std::to_string(i), Priority::Deferrable, 60000);
    }
    EXPECT_EQ(admission_->openRequests() + admission_->waitingRequests(), 1000U);
    EXPECT_EQ(decisions_["dossier-999"].reason, RefusalReason::Overloaded);
}

TEST(ConcurrencyLimits, FollowTheObservedLatency)
{
    // Models a server with constant latency up to 40 requests in flight; above that the latency grows in proportion.
    TimePoint now;
    ConcurrencyLimit concurrency = initialConcurrencyLimit(now);
    recordTargets(concurrency, {std::chrono::milliseconds(500), std::chrono::milliseconds(50)}, now);
    for (int i = 0; i < 20000; i++) {
        now += std::chrono::milliseconds(5);
        concurrency.inFlight = static_cast<std::int64_t>(concurrency.limit);
        recordFirstToken(concurrency, now, now + std::chrono::milliseconds(100) * std::max<std::int64_t>(40, concurrency.inFlight) / 40);
    }
    EXPECT_GE(concurrency.limit, 70);
    EXPECT_LE(concurrency.limit, 125);
}

TEST(ConcurrencyLimits, DeferrableRequestsLeaveCapacityForTheRecentPeakOfOthers)
{
    TimePoint now;
    ConcurrencyLimit concurrency = initialConcurrencyLimit(now);
    concurrency.limit = 100;
    recordDemand(concurrency, 59, now);
    concurrency.deferrableInFlight = concurrency.inFlight = 36;
    EXPECT_FALSE(hasCapacity(concurrency, true)) << "the recent peak of the others is 60 of 100";
    EXPECT_TRUE(hasCapacity(concurrency, false));
    recordDemand(concurrency, 0, now + std::chrono::minutes(10));
    EXPECT_TRUE(hasCapacity(concurrency, true)) << "the peak has decayed";
    concurrency.deferrableInFlight = concurrency.inFlight = 120;
    EXPECT_TRUE(hasCapacity(concurrency, false)) << "deferrable requests above a decreased limit must not block others";
}
