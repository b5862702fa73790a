#include "eventlog/eventlog.h"
#include "vmload/loopmonitor.h"
#include "vmload/vmloadrules.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace cardamomlift::vmload {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Goal = milliseconds(400);
constexpr Duration Period = milliseconds(100);

TEST(VmLoadRules, AVmIsBusyWhenItsLoopIsLateForLongAndCalmAgainLater)
{
    VmLoad load;
    TimePoint now{seconds(100)};
    load.lag = milliseconds(150);
    updateBusy(load, Goal, now, {});
    EXPECT_FALSE(load.isBusy);
    updateBusy(load, Goal, now + milliseconds(700), {});
    EXPECT_TRUE(load.isBusy);
    load.lag = milliseconds(60);
    updateBusy(load, Goal, now + seconds(5), {});
    updateBusy(load, Goal, now + seconds(9), {});
    EXPECT_TRUE(load.isBusy) << "below the start, but not below the end";
    load.lag = milliseconds(30);
    updateBusy(load, Goal, now + seconds(10), {});
    updateBusy(load, Goal, now + seconds(11), {});
    EXPECT_FALSE(load.isBusy);
}

// A VM is suspended for five seconds.
TEST(VmLoadRules, ASuspensionIsNoLoad)
{
    VmLoad load;
    TimePoint now{seconds(100)};
    load.lag = smoothedLag(load.lag, seconds(5));
    for (int i = 0; i < 20; i++) {
        updateBusy(load, Goal, now, {});
        EXPECT_FALSE(load.isBusy);
        load.lag = smoothedLag(load.lag, Duration(0));
        now += Period;
    }
}

TEST(VmLoadRules, WhereNoRouteHasAGoalNoVmIsBusy)
{
    VmLoad load;
    load.lag = seconds(1);
    updateBusy(load, Duration(0), TimePoint(seconds(1)), {});
    updateBusy(load, Duration(0), TimePoint(seconds(9)), {});
    EXPECT_FALSE(load.isBusy);
}

// Demand grows over all VMs: most of them lag.
TEST(VmLoadRules, NothingIsHandedOverIfMostVmsLag)
{
    VmLoad load;
    load.lag = milliseconds(300);
    load.isBusy = true;
    std::vector<Duration> others(10, milliseconds(5));
    EXPECT_GT(wantedShare(load, Goal, others, {}), 0);
    std::fill_n(others.begin(), 5, milliseconds(200));
    EXPECT_EQ(wantedShare(load, Goal, others, {}), 0);
    EXPECT_EQ(wantedShare(load, Goal, {}, {}), 0) << "no other VM is known";
}

TEST(VmLoadRules, TheShareGrowsWithTheLagInBoundedSteps)
{
    VmLoad load;
    load.isBusy = true;
    const std::vector<Duration> others(4, Duration(0));
    double last = 0;
    for (const int lag : {100, 200, 300, 400}) {
        load.lag = milliseconds(lag);
        const double share = wantedShare(load, Goal, others, {});
        EXPECT_GT(share, last);
        last = share;
    }
    load.lag = seconds(1);
    EXPECT_DOUBLE_EQ(wantedShare(load, Goal, others, {}), VmLoadParameters().maxShare);
    EXPECT_LT(nextShare(0, 0.5, {}), 0.05);
    EXPECT_GT(nextShare(0.5, 0, {}), 0.45);
}

/// A VM as a queue: each request takes the loop some time, and so does handing one over.
struct QueueVm {
    double speed = 1;
    double backlogMs = 0; ///< Work that its loop has not done yet.
    VmLoad load;
    int sent = 0;
    int late = 0;
};

/// VMs that all get @p perSecond requests. Each sample period their loops work for as long.
class VmQueues
{
public:
    static constexpr double WorkMs = 4; ///< Of the loop for a request, at full speed.

    VmQueues(int fast, int slow, double perSecond, bool mayHandOver, double handOverPart)
        : perPeriod_(perSecond / 10)
        , mayHandOver_(mayHandOver)
        , handOverPart_(handOverPart)
    {
        vms_.resize(static_cast<std::size_t>(fast + slow));
        for (int i = 0; i < slow; i++) {
            vms_[static_cast<std::size_t>(i)].speed = 0.2;
        }
    }

    void run(int periods)
    {
        for (int i = 0; i < periods; i++) {
            step();
        }
    }

    double lateShare() const
    {
        int sent = 0;
        int late = 0;
        for (const QueueVm &vm : vms_) {
            sent += vm.sent;
            late += vm.late;
        }
        return static_cast<double>(late) / sent;
    }

    const QueueVm &slowVm() const
    {
        return vms_.front();
    }

    double lowestShare = 1; ///< Of the first VM, in the last periods.
    double highestShare = 0;

private:
    void step()
    {
        now_ += Period;
        std::vector<Duration> told;
        for (const QueueVm &vm : vms_) {
            told.push_back(vm.load.lag);
        }
        for (std::size_t i = 0; i < vms_.size(); i++) {
            arrive(i);
        }
        for (std::size_t i = 0; i < vms_.size(); i++) {
            QueueVm &vm = vms_[i];
            vm.backlogMs = std::max(0.0, vm.backlogMs - 100 * vm.speed);
            vm.load.lag = smoothedLag(vm.load.lag, Duration(static_cast<std::int64_t>(vm.backlogMs / vm.speed * 1000)));
            updateBusy(vm.load, Goal, now_, {});
            std::vector<Duration> others = told;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
            vm.load.share = nextShare(vm.load.share, mayHandOver_ ? wantedShare(vm.load, Goal, others, {}) : 0, {});
        }
        lowestShare = std::min(lowestShare, now_ > TimePoint(seconds(20)) ? slowVm().load.share : 1);
        highestShare = std::max(highestShare, now_ > TimePoint(seconds(20)) ? slowVm().load.share : 0);
    }

    void arrive(std::size_t at)
    {
        credit_ += perPeriod_;
        for (; credit_ >= 1; credit_ -= 1) {
            salt_ = salt_ * 6364136223846793005ULL + 1442695040888963407ULL;
            QueueVm &vm = vms_[at];
            const bool isHandedOver = isInShare(vm.load.share, salt_ >> 32U);
            vm.backlogMs += isHandedOver ? WorkMs * handOverPart_ : WorkMs;
            double waitMs = vm.backlogMs / vm.speed;
            if (isHandedOver) {
                QueueVm &other = vms_[vms_.size() - 1 - (salt_ >> 40U) % (vms_.size() / 2)];
                other.backlogMs += WorkMs;
                waitMs += other.backlogMs / other.speed;
            }
            vm.sent++;
            vm.late += waitMs > static_cast<double>(toMilliseconds(Goal)) ? 1 : 0;
        }
    }

    double perPeriod_;
    bool mayHandOver_;
    double handOverPart_;
    double credit_ = 0;
    std::uint64_t salt_ = 1;
    TimePoint now_{seconds(0)};
    std::vector<QueueVm> vms_;
};

// Two of ten VMs run at a fifth of the speed and get as many requests: 60 a second each, where they can do 50.
TEST(VmLoad, VmsAtAFifthOfTheSpeedBesideOthersHandOverWhatTheyCanNotDo)
{
    VmQueues alone(8, 2, 60, false, 0.4);
    alone.run(600);
    EXPECT_GT(alone.lateShare(), 0.15) << "nearly all of the two VMs";
    VmQueues together(8, 2, 60, true, 0.4);
    together.run(600);
    EXPECT_LT(together.lateShare(), 0.05);
    EXPECT_LT(together.highestShare - together.lowestShare, 0.25) << "no oscillation";
}

// The same where handing a request over costs the loop as much as serving it.
TEST(VmLoad, HandingOverDoesNoGoodWhereItCostsAsMuchAsServing)
{
    VmQueues together(8, 2, 60, true, 1);
    together.run(600);
    EXPECT_GT(together.lateShare(), 0.15);
}

// All VMs are slow.
TEST(VmLoad, WhereAllVmsAreSlowNothingIsHandedOver)
{
    VmQueues slow(0, 10, 60, true, 0.4);
    slow.run(300);
    EXPECT_TRUE(slow.slowVm().load.isBusy);
    EXPECT_EQ(slow.highestShare, 0);
}

class LoopMonitorTest : public testing::Test
{
protected:
    LoopMonitorTest()
    {
        LoopMonitorTools tools;
        tools.loop = loop_.get();
        tools.log = eventlog::EventLog::create(clock_, "vm", [this](std::string_view line) {
            logLines_ += line;
            return true;
        });
        tools.tightestGoal = [] {
            return Goal;
        };
        tools.otherLags = [] {
            return std::vector<Duration>{Duration(0)};
        };
        monitor_ = LoopMonitor::start(std::move(tools));
    }

    void pass(int samples, Duration period)
    {
        for (int i = 0; i < samples; i++) {
            clock_.advance(period);
            loop_->runDue();
        }
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::string logLines_;
    std::shared_ptr<LoopMonitor> monitor_;
};

TEST_F(LoopMonitorTest, MeasuresHowLateTheLoopRunsAndLogsIt)
{
    pass(10, Period);
    EXPECT_EQ(monitor_->load().lag, Duration(0));
    EXPECT_FALSE(monitor_->shouldHandOver(0));
    pass(40, Period + milliseconds(300));
    EXPECT_NEAR(static_cast<double>(toMilliseconds(monitor_->load().lag)), 300, 10);
    EXPECT_TRUE(monitor_->load().isBusy);
    EXPECT_TRUE(monitor_->shouldHandOver(0));
    EXPECT_FALSE(monitor_->shouldHandOver(1023));
    EXPECT_NE(logLines_.find(R"("event":"vm_busy")"), std::string::npos) << logLines_;
    pass(60, Period);
    EXPECT_FALSE(monitor_->load().isBusy);
    EXPECT_FALSE(monitor_->shouldHandOver(0));
    EXPECT_NE(logLines_.find(R"("outcome":"calm")"), std::string::npos);
}

} // namespace

} // namespace cardamomlift::vmload
