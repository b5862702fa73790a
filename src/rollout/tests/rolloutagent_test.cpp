#include "rollout/rolloutagent.h"

#include "rollout/tests/outcomecounts.h"

#include <gtest/gtest.h>

namespace cardamomlift::rollout {

namespace {

using forwarding::Eligibility;
using forwarding::VersionPick;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char Service[] = "service";
constexpr char Route[] = "route";
constexpr rows::StoreVersion OrderRow{1, 100};

/// The agent of one VM. The test controls the store's clock, the age of the records and whether there is a live controller.
class RolloutAgentTest : public testing::Test
{
protected:
    RolloutAgentTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        orders_ = OrderCache::create();
        directory_ = directory::Directory::create();
        AgentTools tools;
        tools.loop = loop_.get();
        tools.limits.isEnabled = true;
        tools.limits.exposureSlack = 50;
        tools.instance = "vm-1";
        tools.orders = orders_;
        tools.directory = directory_;
        tools.log = eventlog::EventLog::create(clock_, "vm-1", [this](std::string_view line) {
            lines_ += line;
            return true;
        });
        tools.metrics = metrics::Metrics::create();
        tools.storeNow = [this] {
            return std::optional(storeNow_);
        };
        tools.vmCount = [] {
            return std::optional<std::size_t>(4);
        };
        tools.upFor = [] {
            return Duration(seconds(60));
        };
        tools.recordsConfirmedAt = [this] {
            return std::optional(confirmedAt_);
        };
        tools.hasLiveController = [this] {
            return hasLiveController_;
        };
        confirmedAt_ = loop_->now();
        agent_ = RolloutAgent::create(std::move(tools));
        orders_->noteKnownUpTo({1, 50});
        for (const char *name : {"old-1", "old-2"}) {
            list(name, "v1", 10);
        }
    }

    void list(const std::string &name, const std::string &version, std::uint64_t entryVersion)
    {
        directory::BackendServer server;
        server.name = name;
        server.instance = name;
        server.service = Service;
        server.zone = "zone";
        server.version = version;
        server.entryVersion = {1, entryVersion};
        directory_->put(std::move(server));
    }

    /// Places an order for v2, whose servers are listed after the order.
    void placeOrder()
    {
        orders_->put({Service, "v2", seconds(12), OrderRow});
        orders_->noteKnownUpTo({1, 120});
        list("new-1", "v2", 110);
        list("new-2", "v2", 111);
    }

    static Record recordInPhase(Phase phase)
    {
        Record record;
        record.orderId = OrderRow;
        record.service = Service;
        record.toVersion = "v2";
        record.phase = phase;
        record.startedAt = seconds(1000);
        record.endsAt = seconds(1012);
        record.phaseStartedAt = seconds(1002);
        return record;
    }

    void writeRecord(Phase phase)
    {
        agent_->applyRecords({{Service, encodeRecord(recordInPhase(phase)), {1, ++rowVersion_}}});
    }

    /// Simulates a restore of the store from a copy with these rows in the table of records.
    void restoreRecords(const std::vector<rows::Row> &rows)
    {
        rows::TableSnapshot whole;
        whole.rows = rows;
        whole.version = {2, 180};
        whole.reason = rows::ReadReason::StoreRestored;
        agent_->applyAllRecords(whole);
    }

    Eligibility eligibility(const std::string &name, VersionPick pick = VersionPick::Usual)
    {
        return agent_->eligibility(directory_->findByName(name)->server, pick);
    }

    /// How many of @p requests are picked for the trial.
    int picked(int requests)
    {
        int sum = 0;
        for (int i = 0; i < requests; i++) {
            sum += agent_->pick(Service, Route) == VersionPick::OnTrial ? 1 : 0;
        }
        return sum;
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<OrderCache> orders_;
    std::shared_ptr<directory::Directory> directory_;
    std::shared_ptr<RolloutAgent> agent_;
    Duration storeNow_ = seconds(1002);
    TimePoint confirmedAt_;
    bool hasLiveController_ = true;
    std::uint64_t rowVersion_ = 200;
    std::string lines_;
};

TEST_F(RolloutAgentTest, WithoutAnOrderAllServersAreEligible)
{
    EXPECT_EQ(eligibility("old-1"), Eligibility::Preferred);
    EXPECT_EQ(picked(1000), 0);
}

// A server may be listed before this VM has read the order that the server was started for.
TEST_F(RolloutAgentTest, AServerOfANewVersionIsNotEligibleBeforeItsOrderWouldBeKnown)
{
    list("new-1", "v2", 110);
    EXPECT_EQ(eligibility("old-1"), Eligibility::Preferred);
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    orders_->noteKnownUpTo({1, 109});
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    orders_->noteKnownUpTo({1, 110});
    EXPECT_EQ(eligibility("new-1"), Eligibility::Preferred);
}

TEST_F(RolloutAgentTest, AStartingProcessUsesUncheckedServersAsFallback)
{
    list("first", "v1", 110);
    EXPECT_EQ(eligibility("first"), Eligibility::Fallback);
    orders_->noteKnownUpTo({1, 110});
    EXPECT_EQ(eligibility("first"), Eligibility::Preferred);
}

TEST_F(RolloutAgentTest, AnOrderedVersionGetsNoRequestsBeforeItsTrial)
{
    placeOrder();
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_EQ(picked(1000), 0);
}

TEST_F(RolloutAgentTest, ATrialGetsItsShareAndNoMore)
{
    placeOrder();
    writeRecord(Phase::Trial);
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_EQ(eligibility("old-1"), Eligibility::Preferred);
    const int onTrial = picked(1000);
    EXPECT_GT(onTrial, 70);
    EXPECT_LE(onTrial, 110);
    const bool isPreferred =
        eligibility("new-1", VersionPick::OnTrial) == Eligibility::Preferred || eligibility("new-2", VersionPick::OnTrial) == Eligibility::Preferred;
    EXPECT_TRUE(isPreferred);
    EXPECT_EQ(eligibility("old-1", VersionPick::OnTrial), Eligibility::None);
}

TEST_F(RolloutAgentTest, ATrialStopsWithOutdatedRecordsWithoutAControllerAndAtItsEnd)
{
    placeOrder();
    writeRecord(Phase::Trial);
    ASSERT_GT(picked(200), 0);
    clock_.advance(milliseconds(2900));
    EXPECT_EQ(picked(200), 0);
    confirmedAt_ = loop_->now();
    EXPECT_GT(picked(200), 0);
    hasLiveController_ = false;
    EXPECT_EQ(picked(200), 0);
    hasLiveController_ = true;
    storeNow_ = seconds(1012);
    EXPECT_EQ(picked(200), 0);
    EXPECT_NE(lines_.find("\"no_judge\""), std::string::npos);
}

// The lease holder may be unreachable, so the outcomes known to this VM suffice to stop a trial here.
TEST_F(RolloutAgentTest, ATrialStopsWhenTheKnownOutcomesAreBad)
{
    placeOrder();
    writeRecord(Phase::Trial);
    presence::Status status;
    status.instance = "vm-2";
    status.incarnation = 1;
    RolloutOutcomes outcomes;
    addSends(outcomes[presence::nameHash(Route)].baseline, 300, 3);
    addSends(outcomes[presence::nameHash(Route)].trial[1], 15, 6);
    addSends(outcomes[presence::nameHash(Route)].trial[2], 15, 6);
    status.rollouts.push_back({presence::nameHash(Service), OrderRow, toRolloutCounts(outcomes), 0});
    agent_->receiveStatus(status);
    EXPECT_GT(picked(200), 0);
    agent_->tick();
    EXPECT_EQ(picked(200), 0);
    EXPECT_NE(lines_.find("\"looks_bad\""), std::string::npos);
}

TEST_F(RolloutAgentTest, OtherVersionsAreAFallbackWhileTrafficMoves)
{
    placeOrder();
    writeRecord(Phase::Moving);
    EXPECT_EQ(eligibility("new-1"), Eligibility::Preferred);
    EXPECT_EQ(eligibility("old-1"), Eligibility::Fallback);
    EXPECT_EQ(picked(200), 0);
}

TEST_F(RolloutAgentTest, ReportsWhenOtherVersionsStop)
{
    placeOrder();
    std::optional<TimePoint> stopAt;
    agent_->onMoving([&stopAt](const Record &, TimePoint at) { stopAt = at; });
    storeNow_ = seconds(1008);
    writeRecord(Phase::Moving);
    ASSERT_TRUE(stopAt);
    EXPECT_LE(*stopAt - loop_->now(), milliseconds(4000));
    EXPECT_GE(*stopAt - loop_->now(), milliseconds(2000));
}

TEST_F(RolloutAgentTest, ARolledBackVersionGetsNoRequestsWhileItIsListed)
{
    placeOrder();
    writeRecord(Phase::Trial);
    writeRecord(Phase::RolledBack);
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_EQ(eligibility("old-1"), Eligibility::Preferred);
    EXPECT_EQ(picked(200), 0);
    EXPECT_FALSE(agent_->isRolloutInProgress(Service));
}

TEST_F(RolloutAgentTest, AnOutdatedRecordIsIgnored)
{
    placeOrder();
    writeRecord(Phase::RolledBack);
    rowVersion_ -= 2;
    writeRecord(Phase::Trial);
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_EQ(picked(200), 0);
}

TEST_F(RolloutAgentTest, CountsOpenRequestsAtOtherVersions)
{
    placeOrder();
    writeRecord(Phase::Moving);
    const auto &old = directory_->findByName("old-1")->server;
    agent_->noteSent(old);
    agent_->noteSent(old);
    agent_->noteEnded(old);
    agent_->noteSent(directory_->findByName("new-1")->server);
    EXPECT_EQ(agent_->openAtOtherVersions(Service), 1U);
    presence::Status status;
    status.instance = "vm-2";
    status.rollouts.push_back({presence::nameHash(Service), OrderRow, {}, 5});
    agent_->receiveStatus(status);
    EXPECT_EQ(agent_->openAtOtherVersions(Service), 6U);
    clock_.advance(seconds(4));
    EXPECT_EQ(agent_->openAtOtherVersions(Service), 1U);
}

TEST_F(RolloutAgentTest, ReportsOutcomesSinceTheTrialBegan)
{
    placeOrder();
    const auto server = directory_->findByName("new-1")->server;
    agent_->noteOutcome(server, Route, std::nullopt);
    writeRecord(Phase::Trial);
    agent_->noteOutcome(server, Route, milliseconds(20));
    agent_->noteOutcome(directory_->findByName("old-1")->server, Route, std::nullopt);
    presence::Status status;
    agent_->fillStatus(status);
    ASSERT_EQ(status.rollouts.size(), 1U);
    const RolloutOutcomes reported = fromRolloutCounts(status.rollouts[0].counts);
    const RouteOutcomes &route = reported.at(presence::nameHash(Route));
    EXPECT_EQ(route.baseline.failed, 1U);
    EXPECT_EQ(route.trial.at(presence::nameHash("new-1")).total(), 1U);
}

// If the copy is from before a rollback, the version would otherwise be tried once more.
TEST_F(RolloutAgentTest, ARestoreOfTheStoreDoesNotRevertARecord)
{
    placeOrder();
    writeRecord(Phase::RolledBack);
    restoreRecords({{Service, encodeRecord(recordInPhase(Phase::Trial)), {2, 150}}});
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_EQ(picked(200), 0);
    EXPECT_TRUE(agent_->isRecordLost(Service));
    EXPECT_EQ(agent_->record(Service)->rowVersion, (rows::StoreVersion{2, 150})) << "the next write is conditional on this version";
    agent_->applyRecords({{Service, encodeRecord(recordInPhase(Phase::RolledBack)), {2, 190}}});
    EXPECT_FALSE(agent_->isRecordLost(Service));
}

// Without its record, a version that is not shown to be good would get all requests.
TEST_F(RolloutAgentTest, ARecordThatTheRestoredCopyLacksIsKept)
{
    placeOrder();
    writeRecord(Phase::Trial);
    restoreRecords({});
    EXPECT_EQ(eligibility("new-1"), Eligibility::None);
    EXPECT_TRUE(agent_->isRecordLost(Service));
    EXPECT_EQ(agent_->record(Service)->rowVersion.number, 0U);
}

// Each new order grants a new budget of requests to the version on trial.
TEST_F(RolloutAgentTest, AnOrderThatIsWrittenAgainIsNotANewOrder)
{
    placeOrder();
    const auto linesBefore = lines_;
    orders_->put({Service, "v1", seconds(12), {2, 20}});
    EXPECT_EQ(orders_->find(Service)->toVersion, "v2") << "an earlier order, from the copy";
    orders_->put({Service, "v2", seconds(12), {2, 97}});
    EXPECT_EQ(orders_->find(Service)->id, OrderRow);
    EXPECT_EQ(lines_, linesBefore) << "no order was logged";
    orders_->put({Service, "v2", seconds(12), {2, 99}});
    EXPECT_EQ(orders_->find(Service)->id, (rows::StoreVersion{2, 99})) << "a new order for the same version";
}

} // namespace

} // namespace cardamomlift::rollout
