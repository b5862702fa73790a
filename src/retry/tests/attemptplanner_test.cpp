#include "peers/localtransport.h"
#include "retry/attemptplanner.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::retry;
using metrics::RefusalReason;

namespace {

membership::Vm engineVm(const std::string &instance)
{
    membership::Vm vm;
    vm.instance = instance;
    vm.role = membership::VmRole::Model;
    vm.zone = "zone-1";
    vm.serves = {"model"};
    return vm;
}

/// The planner of one entry VM with three engines.
class AttemptPlannerTest : public testing::Test
{
protected:
    AttemptPlannerTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        const auto transport = peers::LocalTransport::create(*loop_, std::make_shared<peers::LocalNetwork>(), "entry-1");
        members_->applyList(std::vector<membership::Vm>{engineVm("engine-1"), engineVm("engine-2"), engineVm("engine-3")});
        members_->onUnreachableReport([this](const std::string &instance) { unreachableReports_.push_back(instance); });
        PlannerTools tools;
        tools.clock = &clock_;
        tools.router = routing::Router::create(clock_, members_, backoffs_);
        tools.suspects = suspects::SuspectTracker::create({loop_.get(), members_, membership::Gossip::create(*loop_, transport), metrics_});
        tools.members = members_;
        tools.metrics = metrics_;
        planner_ = AttemptPlanner::create(std::move(tools));
        record_.route.name = "model";
        record_.route.customer = "customer";
    }

    std::string attempt()
    {
        const AttemptPlan plan = planner_->planAttempt(record_);
        EXPECT_EQ(plan.kind, PlanKind::Try);
        return plan.server ? plan.server->instance : "";
    }

    static void expectDeadlineImpossible(const AttemptPlan &plan)
    {
        EXPECT_EQ(plan.kind, PlanKind::GiveUp);
        EXPECT_EQ(plan.reason, RefusalReason::DeadlineImpossible);
        EXPECT_GT(plan.retryAfter.count(), 0);
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<membership::Members> members_ = membership::Members::create("entry-1", &clock_);
    std::shared_ptr<metrics::Metrics> metrics_ = metrics::Metrics::create();
    std::shared_ptr<backoff::BackoffTracker> backoffs_ = backoff::BackoffTracker::create(clock_);
    std::shared_ptr<AttemptPlanner> planner_;
    std::vector<std::string> unreachableReports_;
    RequestRecord record_;
};

} // namespace

TEST_F(AttemptPlannerTest, OnlyAFailedConnectIsReportedAsUnreachable)
{
    const std::string first = attempt();
    planner_->attemptFailed(record_, first, FailureKind::Refused);
    EXPECT_TRUE(unreachableReports_.empty());
    const std::string second = attempt();
    planner_->attemptFailed(record_, second, FailureKind::NotSent);
    EXPECT_EQ(unreachableReports_, std::vector<std::string>{second});
    const std::string third = attempt();
    planner_->attemptFailed(record_, third, FailureKind::ConnectionBroken);
    EXPECT_EQ(unreachableReports_, std::vector<std::string>{second});
}

TEST_F(AttemptPlannerTest, AFailureAfterTheDeadlineIsNotRetried)
{
    record_.deadline = clock_.now() + std::chrono::seconds(1);
    const std::string first = attempt();
    EXPECT_EQ(planner_->attemptFailed(record_, first, FailureKind::NotSent).kind, PlanKind::Wait);
    const std::string second = attempt();
    clock_.advance(std::chrono::seconds(1));
    expectDeadlineImpossible(planner_->attemptFailed(record_, second, FailureKind::NotSent));
}

TEST_F(AttemptPlannerTest, NoAttemptStartsAfterTheDeadline)
{
    record_.deadline = clock_.now() + std::chrono::seconds(1);
    clock_.advance(std::chrono::seconds(1));
    expectDeadlineImpossible(planner_->planAttempt(record_));
    EXPECT_TRUE(record_.tried.empty());
}

TEST_F(AttemptPlannerTest, AnAcceptedRequestHasNoDeadline)
{
    record_.deadline = clock_.now() + std::chrono::seconds(1);
    const std::string first = attempt();
    planner_->progressed(record_, 1);
    clock_.advance(std::chrono::seconds(10));
    EXPECT_EQ(planner_->attemptFailed(record_, first, FailureKind::NotSent).kind, PlanKind::Wait);
    EXPECT_NE(attempt(), first);
}

// Guards against callers who are told to return while no server accepts their requests.
TEST_F(AttemptPlannerTest, WhenAllServersBackOffTheCallerIsToldTheFirstEnd)
{
    for (const char *engine : {"engine-1", "engine-2", "engine-3"}) {
        backoffs_->begin(engine, std::chrono::seconds(20));
    }
    backoffs_->begin("engine-2", std::chrono::seconds(40));
    const AttemptPlan plan = planner_->planAttempt(record_);
    EXPECT_EQ(plan.kind, PlanKind::GiveUp);
    EXPECT_GE(plan.retryAfter, std::chrono::seconds(20));
    EXPECT_LE(plan.retryAfter, std::chrono::seconds(21));
}

TEST_F(AttemptPlannerTest, TheLastServerToRefuseTellsWhenToReturn)
{
    const std::string first = attempt();
    for (const char *engine : {"engine-1", "engine-2", "engine-3"}) {
        backoffs_->begin(engine, std::chrono::seconds(20));
    }
    const AttemptPlan plan = planner_->attemptFailed(record_, first, FailureKind::Refused);
    EXPECT_EQ(plan.kind, PlanKind::GiveUp);
    EXPECT_EQ(plan.reason, RefusalReason::NoBackend);
    EXPECT_GE(plan.retryAfter, std::chrono::seconds(20));
}

// Guards against an accepted answer that is broken off although a server will accept it in a moment.
TEST_F(AttemptPlannerTest, AnAcceptedRequestWaitsForTheEndOfABackoff)
{
    const std::string first = attempt();
    planner_->progressed(record_, 1);
    for (const char *engine : {"engine-1", "engine-2", "engine-3"}) {
        if (engine != first) {
            backoffs_->begin(engine, std::chrono::seconds(2));
        }
    }
    EXPECT_EQ(planner_->attemptFailed(record_, first, FailureKind::ConnectionBroken).kind, PlanKind::Wait);
    const AttemptPlan waiting = planner_->planAttempt(record_);
    EXPECT_EQ(waiting.kind, PlanKind::Wait);
    EXPECT_EQ(waiting.wait, std::chrono::seconds(2));
    clock_.advance(waiting.wait);
    EXPECT_NE(attempt(), first);
}
