#include "duties/dutylease.h"
#include "duties/orderkeeper.h"
#include "duties/orderplan.h"
#include "duties/servergoal.h"
#include "duties/usagereporter.h"
#include "presence/statusformat.h"
#include "rows/memoryrowstore.h"

#include <gtest/gtest.h>

namespace cardamomlift::duties {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Lease = seconds(3);

/// Datagrams arrive at all VMs that are connected, and at none by default: then what they agree on goes through the store.
class TestDatagrams : public presence::Datagrams
{
public:
    void send(const http1::Endpoint &, std::string_view bytes) override
    {
        last = bytes;
        for (TestDatagrams *peer : connected) {
            peer->handler(bytes);
        }
    }

    void onDatagram(Handler handler_) override
    {
        handler = std::move(handler_);
    }

    std::string last; ///< What was sent last.
    Handler handler;
    std::vector<TestDatagrams *> connected; ///< Peers drop what is not for them by the sender's name.
};

/// What the platform has been told, by all VMs.
struct PlatformRecord {
    std::map<std::int64_t, std::vector<UsageReport>> reports;
    std::vector<std::uint64_t> fences;
    std::vector<ServerOrder> orders;
    bool losesAnswers = false;
    bool isStockOut = false; ///< Reclaimable servers are refused.
};

class RecordingApi : public DutyApi
{
public:
    RecordingApi(EventLoop &loop, PlatformRecord &record)
        : loop_(loop)
        , record_(record)
    {
    }

    void reportUsage(std::uint64_t fence, const UsageReport &report, DutyHandler handler) override
    {
        record_.reports[report.window].push_back(report);
        record_.fences.push_back(fence);
        loop_.post([handler = std::move(handler), lost = record_.losesAnswers] { handler(lost ? DutyOutcome::Failed : DutyOutcome::Done); });
    }

    void orderServers(std::uint64_t, const ServerOrder &order, DutyHandler handler) override
    {
        record_.orders.push_back(order);
        const bool isRefused = order.isReclaimable && record_.isStockOut;
        loop_.post([handler = std::move(handler), isRefused] { handler(isRefused ? DutyOutcome::Refused : DutyOutcome::Done); });
    }

private:
    EventLoop &loop_;
    PlatformRecord &record_;
};

/// One VM: its own store client, so that it can be cut off alone.
struct Vm {
    std::shared_ptr<rows::MemoryRowStore> store;
    std::shared_ptr<TestDatagrams> datagrams;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<presence::TrueTime> time;
    std::shared_ptr<usage::UsageCounter> usage;
    std::shared_ptr<DutyLease> lease;
    std::shared_ptr<UsageReporter> reporter;
};

class DutiesTest : public testing::Test
{
protected:
    DutiesTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        log_ = eventlog::EventLog::create(clock_, "test", [](std::string_view) { return true; });
        manifests_ = manifest::ManifestKeeper::create();
        manifest::Manifest manifest;
        manifest.version = 1;
        manifest.customers.resize(1);
        manifest.customers[0].name = "customer";
        manifests_->offer(std::move(manifest));
    }

    Vm start(const std::string &instance)
    {
        Vm vm;
        vm.store = rows::MemoryRowStore::create(*loop_, rows_);
        presence::PresenceTools presenceTools;
        presenceTools.loop = loop_.get();
        presenceTools.store = vm.store;
        vm.datagrams = std::make_shared<TestDatagrams>();
        presenceTools.datagrams = vm.datagrams;
        presenceTools.log = log_;
        presenceTools.instance = instance;
        presenceTools.endpoint = {"10.0.0.1", 1};
        presenceTools.incarnation = ++incarnations_;
        vm.presence = presence::Presence::start(std::move(presenceTools));
        vm.time = presence::TrueTime::create(*loop_, vm.store, vm.presence);
        vm.usage = usage::UsageCounter::create(vm.presence, vm.time, seconds(5));
        LeaseTools leaseTools;
        leaseTools.loop = loop_.get();
        leaseTools.store = vm.store;
        leaseTools.presence = vm.presence;
        leaseTools.log = log_;
        leaseTools.length = Lease;
        vm.lease = DutyLease::start(std::move(leaseTools));
        return vm;
    }

    void startReports(Vm &vm)
    {
        ReporterTools tools;
        tools.loop = loop_.get();
        tools.lease = vm.lease;
        tools.api = std::make_shared<RecordingApi>(*loop_, record_);
        tools.usage = vm.usage;
        tools.manifests = manifests_;
        tools.time = vm.time;
        tools.log = log_;
        vm.reporter = UsageReporter::start(std::move(tools));
    }

    /// Lets time pass; @p check runs at each step.
    void pass(
        Duration time, const std::function<void()> &check = [] {})
    {
        for (Duration passed(0); passed < time; passed += milliseconds(10)) {
            loop_->runDue();
            check();
            clock_.advance(milliseconds(10));
        }
        loop_->runDue();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<manifest::ManifestKeeper> manifests_;
    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    PlatformRecord record_;
    std::uint64_t incarnations_ = 0;
};

TEST_F(DutiesTest, OneOfAllHoldsTheLease)
{
    const Vm one = start("1");
    const Vm two = start("2");
    const Vm three = start("3");
    pass(seconds(20), [&] { EXPECT_LE(one.lease->mayAct() + two.lease->mayAct() + three.lease->mayAct(), 1); });
    EXPECT_EQ(one.lease->mayAct() + two.lease->mayAct() + three.lease->mayAct(), 1);
}

// Of many VMs that start together each would take itself for the one that runs longest.
TEST_F(DutiesTest, NobodyAsksForTheLeaseBeforeItCanHaveHeardTheOthers)
{
    const Vm one = start("1");
    const Vm two = start("2");
    pass(milliseconds(700));
    EXPECT_TRUE(rows_->read("duties", {}, 1).rows.empty());
    pass(milliseconds(700));
    EXPECT_TRUE(one.lease->mayAct() || two.lease->mayAct());
}

TEST_F(DutiesTest, AHolderThatIsCutOffStopsBeforeAnotherActs)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->mayAct());
    const Vm two = start("2");
    pass(seconds(2));
    EXPECT_FALSE(two.lease->mayAct());
    one.store->faults.silent = true;
    TimePoint stopped;
    TimePoint taken;
    pass(seconds(15), [&] {
        EXPECT_FALSE(one.lease->mayAct() && two.lease->mayAct());
        stopped = one.lease->mayAct() ? loop_->now() : stopped;
        taken = two.lease->mayAct() && taken == TimePoint() ? loop_->now() : taken;
    });
    EXPECT_TRUE(two.lease->mayAct());
    EXPECT_GT(taken, stopped);
    EXPECT_GT(two.lease->fence(), one.lease->fence());
}

// The first by name is the holder, and is turned away by the store while the others hear it.
TEST_F(DutiesTest, AVmThatTheStoreTurnsAwayDoesNotKeepTheOthersFromTheLease)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->mayAct());
    const Vm two = start("2");
    one.datagrams->connected = {two.datagrams.get()};
    two.datagrams->connected = {one.datagrams.get()};
    pass(seconds(2));
    one.store->faults.down = true;
    pass(Lease * 3, [&] { EXPECT_FALSE(one.lease->mayAct() && two.lease->mayAct()); });
    EXPECT_TRUE(two.lease->mayAct());
    one.store->faults.down = false;
    pass(seconds(5), [&] { EXPECT_FALSE(one.lease->mayAct() && two.lease->mayAct()); });
    EXPECT_TRUE(two.lease->mayAct()) << "it keeps what it has";
}

TEST_F(DutiesTest, AHolderThatStartsAgainTakesItsLeaseAtOnce)
{
    Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->mayAct());
    const std::uint64_t fence = one.lease->fence();
    one = Vm();
    const Vm again = start("1");
    pass(seconds(2));
    EXPECT_TRUE(again.lease->mayAct()) << "nobody else can act before, and its earlier process is over";
    EXPECT_GT(again.lease->fence(), fence);
}

// The holder and another are killed and start again: the one that went on has heard the counts of both.
TEST_F(DutiesTest, TheVmThatRanLongestTakesTheLeaseOver)
{
    Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    const auto connect = [](const Vm &a, const Vm &b) {
        a.datagrams->connected = {b.datagrams.get()};
        b.datagrams->connected = {a.datagrams.get()};
    };
    connect(one, two);
    pass(seconds(5));
    ASSERT_TRUE(one.lease->mayAct());
    two.datagrams->connected.clear();
    one = Vm();
    one = start("1");
    connect(one, two);
    pass(seconds(6), [&] { EXPECT_FALSE(one.lease->mayAct()); });
    EXPECT_TRUE(two.lease->mayAct());
}

TEST_F(DutiesTest, AHolderThatWasSuspendedKnowsItBeforeItActs)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->mayAct());
    clock_.advance(Lease);
    EXPECT_FALSE(one.lease->mayAct()) << "no timer has run since";
}

TEST_F(DutiesTest, LostAnswersOfRenewalsDoNotMakeTwoHolders)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    one.store->faults.loseAnswers = true;
    pass(seconds(8), [&] { EXPECT_FALSE(one.lease->mayAct() && two.lease->mayAct()); });
    one.store->faults.loseAnswers = false;
    pass(seconds(8), [&] { EXPECT_FALSE(one.lease->mayAct() && two.lease->mayAct()); });
    EXPECT_EQ(one.lease->mayAct() + two.lease->mayAct(), 1);
}

TEST_F(DutiesTest, AReleasedLeaseIsTakenWithoutWaiting)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(1));
    one.lease->release();
    pass(seconds(4));
    EXPECT_FALSE(one.lease->mayAct());
    EXPECT_TRUE(two.lease->mayAct());
}

TEST_F(DutiesTest, ALeaseThatCouldNotBeReleasedInAnOutageIsReleasedAfterIt)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(2));
    ASSERT_TRUE(one.lease->mayAct());
    one.store->faults.down = true;
    two.store->faults.down = true;
    one.lease->release();
    pass(seconds(2));
    EXPECT_FALSE(one.lease->mayAct());
    one.store->faults.down = false;
    two.store->faults.down = false;
    pass(seconds(1));
    EXPECT_TRUE(two.lease->mayAct());
    EXPECT_FALSE(one.lease->mayAct());
}

TEST_F(DutiesTest, WhoGaveTheLeaseUpDoesNotTellTheOthersToWait)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(1));
    ASSERT_TRUE(presence::decodeStatus(one.datagrams->last)->status.holdsLease);
    one.store->faults.down = true;
    one.lease->release();
    pass(seconds(1));
    EXPECT_FALSE(presence::decodeStatus(one.datagrams->last)->status.holdsLease);
}

TEST_F(DutiesTest, EachWindowIsReportedWithOneCountOnly)
{
    Vm one = start("1");
    startReports(one);
    for (int i = 0; i < 200; i++) {
        one.usage->noteStarted("customer");
        pass(milliseconds(100));
    }
    pass(seconds(10));
    EXPECT_GE(record_.reports.size(), 4U);
    for (const auto &[window, reports] : record_.reports) {
        EXPECT_EQ(reports.size(), 1U) << window;
    }
}

TEST_F(DutiesTest, AReportWhoseAnswerWasLostIsRepeatedUnchangedAlsoByTheNextHolder)
{
    Vm one = start("1");
    startReports(one);
    for (int i = 0; i < 80; i++) {
        one.usage->noteStarted("customer");
        pass(milliseconds(100));
    }
    record_.losesAnswers = true;
    pass(seconds(6));
    one.store->faults.silent = true;
    Vm two = start("2");
    startReports(two);
    pass(seconds(12));
    record_.losesAnswers = false;
    pass(seconds(10));
    EXPECT_GT(two.lease->fence(), 1U);
    for (const auto &[window, reports] : record_.reports) {
        for (const UsageReport &report : reports) {
            EXPECT_EQ(report.counts, reports.front().counts) << window;
        }
    }
    EXPECT_TRUE(std::is_sorted(record_.fences.begin(), record_.fences.end()));
}

TEST_F(DutiesTest, ANewHolderRepeatsOnlyReportsThatMayNotHaveArrived)
{
    Vm one = start("1");
    startReports(one);
    pass(seconds(25));
    ASSERT_GE(record_.reports.size(), 3U);
    const auto reportedBefore = record_.reports;
    one.lease->release();
    Vm two = start("2");
    startReports(two);
    pass(seconds(3));
    EXPECT_TRUE(two.lease->mayAct());
    for (const auto &[window, reports] : reportedBefore) {
        EXPECT_EQ(record_.reports[window].size(), reports.size()) << window;
    }
}

TEST_F(DutiesTest, WindowsThatWaitedOutAnOutageAreReportedTogether)
{
    Vm one = start("1");
    startReports(one);
    pass(seconds(12));
    record_.losesAnswers = true;
    pass(seconds(16));
    record_.losesAnswers = false;
    const std::size_t before = record_.reports.size();
    pass(milliseconds(1600));
    EXPECT_GE(record_.reports.size(), before + 2);
}

TEST_F(DutiesTest, AReporterThatMeetsABusyLeaseWaits)
{
    Vm one = start("1");
    startReports(one);
    // While a renewal is without answer, a report comes due: it once asked the lease again and again until the stack ended.
    for (int i = 0; i < 40; i++) {
        one.store->faults.loseAnswers = true;
        pass(milliseconds(1700));
        one.store->faults.loseAnswers = false;
        pass(milliseconds(800));
    }
    EXPECT_FALSE(record_.reports.empty());
}

TEST(LeaseRow, KeepsAllParts)
{
    LeaseRow row;
    row.holder = "vm";
    row.incarnation = 0xffff'ffff'ffff'ffffULL;
    row.fence = 3;
    row.reportedWindow = 7;
    row.arrivedWindow = 6;
    row.reports = {{7, {{"customer", 12}}}};
    LeaseRow read;
    ASSERT_TRUE(decodeLease(encodeLease(row), read));
    EXPECT_EQ(read.incarnation, row.incarnation);
    EXPECT_EQ(read.arrivedWindow, 6);
    EXPECT_EQ(read.reports[0].counts["customer"], 12U);
    EXPECT_FALSE(decodeLease("{}", read));
    EXPECT_FALSE(decodeLease("nonsense", read));
}

manifest::Scaling scaling()
{
    manifest::Scaling result;
    result.least = 1;
    result.most = 6;
    result.startup = seconds(4);
    result.reclaimablePrice = 0.18;
    result.zonePrices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
    return result;
}

int sumOf(std::span<const ServerOrder> orders, bool reclaimable)
{
    int sum = 0;
    for (const ServerOrder &order : orders) {
        sum += order.isReclaimable == reclaimable ? order.wanted : 0;
    }
    return sum;
}

TEST(OrderPlan, OrdinaryServersMakeUpForMissingReclaimableOnesOnly)
{
    std::vector<ZoneServers> zones{{"a", 3, 3}, {"b", 3, 3}, {"c", 3, 3}, {"d", 3, 3}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), zones, {8, 0, 3}), false), 0);
    zones[0].reclaimable = 0;
    zones[1].reclaimable = 0;
    const auto orders = planOrders("s", scaling(), zones, {8, 0, 3});
    EXPECT_EQ(sumOf(orders, false), 2);
    EXPECT_EQ(sumOf(orders, true), 12);
    for (const ServerOrder &order : orders) {
        EXPECT_TRUE(order.isReclaimable || order.wanted == 0 || order.zone == "b" || order.zone == "d") << "the cheapest first";
    }
}

TEST(OrderPlan, TheNextReclaimIsCoveredBeforeItComes)
{
    // Two failure domains have lost theirs; the third would leave four.
    const std::vector<ZoneServers> zones{{"a", 0, 0}, {"b", 0, 0}, {"c", 0, 6}, {"d", 0, 4}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), zones, {10, 0, 3}), false), 0);
    EXPECT_EQ(sumOf(planOrders("s", scaling(), zones, {10, 7, 3}), false), 3);
}

TEST(OrderPlan, NeverOrdersMoreThanAFailureDomainMayHold)
{
    for (int need = 0; need < 60; need++) {
        for (int reclaimable = 0; reclaimable <= 6; reclaimable++) {
            for (int leaving = 0; leaving <= 6; leaving++) {
                const std::vector<ZoneServers> zones{{"a", 0, reclaimable, leaving}, {"b", 2, 0, 0}, {"c", 0, 6, 0}, {"d", 0, 0, 6}};
                const auto orders = planOrders("s", scaling(), zones, {need, need, 3});
                for (const ServerOrder &order : orders) {
                    const auto zone = std::find_if(zones.begin(), zones.end(), [&](const ZoneServers &entry) { return entry.zone == order.zone; });
                    EXPECT_LE(order.wanted + (order.isReclaimable ? 0 : zone->reclaimable), 6);
                    EXPECT_GE(order.wanted, 0);
                }
            }
        }
    }
}

TEST(ServerGoal, FollowsTheLoadUpAtOnceAndDownSlowly)
{
    NeedMemory memory;
    TimePoint now(seconds(100));
    EXPECT_EQ(updateGoal(memory, 0, {9, 0}, 4, scaling(), now).servers, 9) << "before the first request: what is there";
    EXPECT_EQ(updateGoal(memory, 15, {9, 0}, 4, scaling(), now).servers, 15);
    now += seconds(2);
    EXPECT_GE(updateGoal(memory, 4, {9, 0}, 4, scaling(), now).servers, 12);
    now += seconds(30);
    const PlanGoal later = updateGoal(memory, 4, {9, 0}, 4, scaling(), now);
    EXPECT_LE(later.servers, 5);
    EXPECT_GE(later.reclaimablePerZone, 2);
}

// The seconds between the start of all VMs and the first request.
TEST(ServerGoal, OrdersReclaimableServersForTheOrdinaryOnesAtOnceAndLetsThoseGo)
{
    NeedMemory memory;
    TimePoint now(seconds(100));
    const PlanGoal first = updateGoal(memory, 0, {12, 0}, 4, scaling(), now);
    EXPECT_EQ(first.reclaimablePerZone, 6);
    EXPECT_EQ(first.servers, 12);
    const std::vector<ZoneServers> before{{"a", 3, 0}, {"b", 3, 0}, {"c", 3, 0}, {"d", 3, 0}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), before, first), false), 12) << "none goes before its successors are there";
    now += seconds(4);
    const PlanGoal second = updateGoal(memory, 0, {12, 24}, 4, scaling(), now);
    EXPECT_EQ(second.servers, 12) << "servers that were ordered are no sign of load";
    const std::vector<ZoneServers> after{{"a", 3, 6}, {"b", 3, 6}, {"c", 3, 6}, {"d", 3, 6}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), after, second), false), 0);
}

TEST(ServerGoal, ANewHolderKeepsWhatTheOneBeforeHasOrdered)
{
    NeedMemory memory;
    const PlanGoal goal = updateGoal(memory, 0, {2, 16}, 4, scaling(), TimePoint(seconds(100)));
    EXPECT_EQ(goal.reclaimablePerZone, 4);
    EXPECT_EQ(goal.servers, 18);
}

// Two failure domains of four have lost their reclaimable servers, and no new ones are to be had.
TEST(ServerGoal, MoreIsKeptForTheNextReclaimWhileThereIsNoStock)
{
    NeedMemory memory;
    const TimePoint now(seconds(100));
    updateGoal(memory, 40, {0, 40}, 4, scaling(), now);
    EXPECT_EQ(updateGoal(memory, 40, {0, 52}, 4, scaling(), now).serversAfterReclaim, 20);
    EXPECT_EQ(updateGoal(memory, 40, {0, 52, true}, 4, scaling(), now).serversAfterReclaim, 30);
}

TEST(ServerGoal, CountsTokensSlotsAndLateness)
{
    manifest::Service service;
    service.engine = manifest::EngineProfile{64, 600'000, true, true};
    FleetLoad load;
    load.promptTokensPerSecond = 250'000;
    const double byTokens = neededServers(load, service);
    load.open = 64 * 20;
    EXPECT_GT(neededServers(load, service), byTokens);
    load.open = 0;
    load.lateness = 2;
    EXPECT_GT(neededServers(load, service), byTokens);
    EXPECT_LE(neededServers(load, service), byTokens * 2);
}

class OrderKeeperTest : public DutiesTest
{
protected:
    OrderKeeperTest()
    {
        manifest::Manifest manifest;
        manifest.version = 2;
        manifest.services.resize(1);
        manifest.services[0].name = "models";
        manifest.services[0].engine = manifest::EngineProfile{64, 500'000, true, true};
        manifest.services[0].scaling = scaling();
        manifest.services[0].scaling->most = 30;
        manifests_->offer(std::move(manifest));
    }

    std::shared_ptr<OrderKeeper> startOrders(double promptTokensPerSecond)
    {
        OrderTools tools;
        tools.loop = loop_.get();
        tools.lease = vm_.lease;
        tools.api = std::make_shared<RecordingApi>(*loop_, record_);
        tools.directory = servers_;
        tools.manifests = manifests_;
        tools.log = log_;
        tools.metrics = metrics::Metrics::create();
        tools.presence = vm_.presence;
        tools.ownLoads = [promptTokensPerSecond] {
            return std::vector<presence::ServiceLoad>{{presence::nameHash("models"), promptTokensPerSecond, 0, 0, 0}};
        };
        tools.zones = {"a", "b", "c", "d"};
        return OrderKeeper::start(std::move(tools));
    }

    void addServer(int number, const std::string &zone, bool isReclaimable)
    {
        directory::BackendServer server;
        server.name = "server-" + std::to_string(number);
        server.instance = server.name;
        server.service = "models";
        server.zone = zone;
        server.isReclaimable = isReclaimable;
        servers_->put(std::move(server));
    }

    Vm vm_ = start("1");
    std::shared_ptr<directory::Directory> servers_ = directory::Directory::create();
};

// All VMs and servers start together, and the servers come into the list one after the other.
TEST_F(OrderKeeperTest, NoServerIsSentAwayByAListThatIsStillFillingUp)
{
    const auto keeper = startOrders(0);
    constexpr int Servers = 60;
    for (int i = 0; i < Servers; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), false);
        pass(milliseconds(60));
    }
    pass(seconds(3));
    EXPECT_GT(sumOf(record_.orders, true), 0) << "their successors are ordered early";
    for (const ServerOrder &order : record_.orders) {
        EXPECT_TRUE(order.isReclaimable || order.wanted >= Servers / 4) << order.zone << " " << order.wanted;
    }
}

// Two failure domains of four have lost their reclaimable servers; 30 are needed and 30 are left, in the other two.
TEST_F(OrderKeeperTest, OrdinaryServersAreOrderedForTheNextReclaimOnlyWhileThereIsNoStock)
{
    constexpr double TokensOfThirtyServers = 30 * 25'000;
    for (int i = 0; i < 30; i++) {
        addServer(i, i % 2 == 0 ? "a" : "b", true);
    }
    const auto keeper = startOrders(TokensOfThirtyServers);
    pass(seconds(6));
    EXPECT_GT(sumOf(record_.orders, true), 0);
    EXPECT_EQ(sumOf(record_.orders, false), 0) << "the order stands, the servers come";
    record_.isStockOut = true;
    pass(seconds(6));
    // 23 are to be left when one of the two loses its 15.
    EXPECT_EQ(sumOf(record_.orders, false), 8);
}

} // namespace

} // namespace cardamomlift::duties
