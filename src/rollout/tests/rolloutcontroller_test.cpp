#include "rollout/rolloutcontroller.h"

#include "duties/tests/dutiestest.h"
#include "rollout/tests/outcomecounts.h"

#include <random>

namespace cardamomlift::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Service[] = "service";
constexpr char Route[] = "route";
constexpr char StatusTable[] = "status";
constexpr rows::StoreVersion OrderRow{1, 1};

rows::RowWrite writeStatus(std::string_view service, std::string_view, ReportedState state)
{
    rows::RowWrite write;
    write.table = StatusTable;
    write.key = std::string(service);
    write.value = std::to_string(static_cast<int>(state));
    return write;
}

/// One VM, with a controller and an agent.
struct TestVm {
    duties::Vm vm;
    std::shared_ptr<OrderCache> orders = OrderCache::create();
    std::shared_ptr<RolloutAgent> agent;
    std::shared_ptr<rows::RowWatch> watch;
    std::shared_ptr<RolloutController> controller;
};

/// VMs that share the store. Their reports to each other are supplied by the test.
class RolloutControllerTest : public duties::DutiesTest
{
protected:
    TestVm startVm(const std::string &instance)
    {
        TestVm result;
        result.vm = start(instance);
        AgentTools agentTools;
        agentTools.loop = loop_.get();
        agentTools.limits.isEnabled = true;
        agentTools.limits.exposureSlack = 50;
        agentTools.instance = instance;
        agentTools.orders = result.orders;
        agentTools.directory = directory_;
        agentTools.log = log_;
        agentTools.metrics = metrics::Metrics::create();
        agentTools.storeNow = [time = result.vm.time] {
            return time->storeNow();
        };
        agentTools.vmCount = [] {
            return std::optional<std::size_t>(2);
        };
        agentTools.upFor = [] {
            return Duration(seconds(60));
        };
        agentTools.recordsConfirmedAt = [loop = loop_.get()] {
            return std::optional(loop->now());
        };
        agentTools.hasLiveController = [] {
            return true;
        };
        result.agent = RolloutAgent::create(std::move(agentTools));
        watchRecords(result);
        ControllerTools tools;
        tools.loop = loop_.get();
        tools.lease = result.vm.lease;
        tools.store = result.vm.store;
        tools.agent = result.agent;
        tools.orders = result.orders;
        tools.directory = directory_;
        tools.log = log_;
        tools.storeNow = [time = result.vm.time] {
            return time->storeNow();
        };
        tools.format = {writeStatus};
        result.controller = RolloutController::start(std::move(tools));
        return result;
    }

    void watchRecords(TestVm &vm)
    {
        rows::WatchHandlers handlers;
        handlers.onSnapshot = [agent = vm.agent](const rows::TableSnapshot &whole) {
            agent->applyAllRecords(whole);
        };
        handlers.onChanges = [agent = vm.agent](const std::vector<rows::Row> &rows) {
            agent->applyRecords(rows);
        };
        handlers.onConfirmed = [](TimePoint) {
        };
        handlers.onReachabilityChanged = [](bool, rows::StoreFailure) {
        };
        vm.watch = rows::RowWatch::start({loop_.get(), vm.vm.store, log_}, RecordsTable, milliseconds(800), std::move(handlers));
    }

    static void placeOrder(const TestVm &vm)
    {
        vm.orders->put({Service, "v2", seconds(12), OrderRow});
    }

    /// Reports outcomes of another VM: @p failed of 25 requests failed at each of two servers on trial.
    static void reportOutcomes(const TestVm &vm, std::uint64_t failed)
    {
        RolloutOutcomes outcomes;
        addSends(outcomes[presence::nameHash(Route)].baseline, 300, 3);
        addSends(outcomes[presence::nameHash(Route)].trial[1], 25, failed);
        addSends(outcomes[presence::nameHash(Route)].trial[2], 25, failed);
        presence::Status status;
        status.instance = "another";
        status.rollouts.push_back({presence::nameHash(Service), OrderRow, toRolloutCounts(outcomes), 0});
        vm.agent->receiveStatus(status);
    }

    /// The state that was last reported to the platform; empty: none.
    std::optional<ReportedState> reportedStatus() const
    {
        const auto page = rows_->read(StatusTable, {}, 1);
        return page.rows.empty() ? std::nullopt : std::optional(static_cast<ReportedState>(std::stoi(page.rows.front().value)));
    }

    std::shared_ptr<directory::Directory> directory_ = directory::Directory::create();
};

TEST_F(RolloutControllerTest, AnOrderStartsATrialAtOnce)
{
    const TestVm vm = startVm("1");
    pass(seconds(2));
    EXPECT_EQ(reportedStatus(), std::nullopt);
    placeOrder(vm);
    pass(seconds(1));
    EXPECT_EQ(reportedStatus(), ReportedState::Running);
    EXPECT_EQ(vm.agent->record(Service)->phase, Phase::Trial);
}

TEST_F(RolloutControllerTest, ABadVersionIsRolledBackAsSoonAsItIsDetected)
{
    const TestVm vm = startVm("1");
    pass(seconds(2));
    placeOrder(vm);
    pass(seconds(2));
    reportOutcomes(vm, 10);
    pass(milliseconds(600));
    EXPECT_EQ(reportedStatus(), ReportedState::RolledBack);
}

TEST_F(RolloutControllerTest, AGoodVersionSucceedsBeforeTheTimeLimit)
{
    const TestVm vm = startVm("1");
    pass(seconds(2));
    placeOrder(vm);
    pass(seconds(2));
    reportOutcomes(vm, 0);
    pass(milliseconds(9500));
    EXPECT_EQ(reportedStatus(), ReportedState::Succeeded);
}

TEST_F(RolloutControllerTest, OnlyTheLeaseHolderDecides)
{
    const TestVm first = startVm("1");
    pass(seconds(2));
    ASSERT_TRUE(first.vm.lease->isHeld());
    const TestVm second = startVm("2");
    placeOrder(second);
    pass(seconds(3));
    EXPECT_EQ(reportedStatus(), std::nullopt);
}

TEST_F(RolloutControllerTest, TheNextLeaseHolderContinuesTheRollout)
{
    const TestVm first = startVm("1");
    pass(seconds(2));
    const TestVm second = startVm("2");
    placeOrder(first);
    placeOrder(second);
    pass(seconds(2));
    const Duration endsAt = second.agent->record(Service)->endsAt;
    first.vm.store->faults.silent = true;
    reportOutcomes(second, 10);
    pass(seconds(8));
    ASSERT_TRUE(second.vm.lease->isHeld());
    EXPECT_EQ(reportedStatus(), ReportedState::RolledBack);
    EXPECT_EQ(second.agent->record(Service)->endsAt, endsAt) << "the time limit still counts from the order";
    // The first VM regains the store. Its outcomes call for another step, but the rollout is over.
    first.vm.store->faults.silent = false;
    reportOutcomes(first, 0);
    pass(seconds(20));
    EXPECT_EQ(reportedStatus(), ReportedState::RolledBack);
}

// Every tenth of a second it is drawn at random, with a probability of 0.3, whether the store's answers are lost.
class RolloutControllerSeeds : public RolloutControllerTest, public testing::WithParamInterface<unsigned>
{
};

TEST_P(RolloutControllerSeeds, LostAnswersOfTheStoreRevertNoStep)
{
    constexpr int StepsBetweenDraws = 10;
    constexpr double Lost = 0.3;
    std::mt19937 random(GetParam());
    const TestVm vm = startVm("1");
    pass(seconds(2));
    placeOrder(vm);
    pass(seconds(1));
    reportOutcomes(vm, 0);
    int last = 0;
    int step = 0;
    pass(seconds(20), [&] {
        if (step++ % StepsBetweenDraws == 0) {
            vm.vm.store->faults.loseAnswers = std::bernoulli_distribution(Lost)(random);
        }
        const int state = static_cast<int>(reportedStatus().value_or(ReportedState::Running));
        EXPECT_GE(state, last);
        last = state;
    });
    vm.vm.store->faults.loseAnswers = false;
    pass(seconds(8));
    EXPECT_EQ(reportedStatus(), ReportedState::Succeeded);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RolloutControllerSeeds, testing::Range(1U, 21U));

// After a restore of the store from an older copy, the state reported to the platform must not stay at an earlier one.
TEST_F(RolloutControllerTest, ALostRecordIsWrittenAgain)
{
    const TestVm vm = startVm("1");
    pass(seconds(2));
    placeOrder(vm);
    pass(seconds(2));
    const rows::MemoryRows copy = *rows_;
    reportOutcomes(vm, 10);
    pass(milliseconds(600));
    ASSERT_EQ(reportedStatus(), ReportedState::RolledBack);
    rows_->restore(copy);
    ASSERT_EQ(reportedStatus(), ReportedState::Running);
    pass(seconds(3));
    EXPECT_EQ(reportedStatus(), ReportedState::RolledBack);
    EXPECT_FALSE(vm.agent->isRecordLost(Service));
}

} // namespace

} // namespace cardamomlift::rollout
