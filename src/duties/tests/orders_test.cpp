#include "duties/capacitytarget.h"
#include "duties/orderplan.h"
#include "duties/tests/dutiestest.h"
#include "forwarding/tests/fakeversiongate.h"

#include <gmock/gmock.h>

namespace cardamomlift::duties {

namespace {

manifest::Scaling scaling()
{
    manifest::Scaling result;
    result.minPerZone = 1;
    result.maxPerZone = 6;
    result.startup = seconds(4);
    result.reclaimablePrice = 0.18;
    result.zonePrices = {{"a", 1.0}, {"b", 0.8}, {"c", 1.25}, {"d", 0.9}};
    return result;
}

manifest::Scaling bigScaling()
{
    manifest::Scaling result = scaling();
    result.maxPerZone = 100;
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

TEST(OrderPlan, CapacityForTheNextReclaimIsOrderedInAdvance)
{
    // Two failure domains have lost their reclaimable servers. Losing those of the third would leave four.
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

TEST(CapacityTarget, FollowsTheLoadUpAtOnceAndDownSlowly)
{
    DemandHistory history;
    TimePoint now(seconds(100));
    EXPECT_EQ(updateTarget(history, 0, {9, 0}, 4, scaling(), now).servers, 9) << "before the first request: the running servers";
    EXPECT_EQ(updateTarget(history, 15, {9, 0}, 4, scaling(), now).servers, 15);
    now += seconds(2);
    EXPECT_GE(updateTarget(history, 4, {9, 0}, 4, scaling(), now).servers, 12);
    now += seconds(30);
    const CapacityTarget later = updateTarget(history, 4, {9, 0}, 4, scaling(), now);
    EXPECT_LE(later.servers, 5);
    EXPECT_GE(later.reclaimablePerZone, 2);
}

// Covers the seconds between the start of all VMs and the first request.
TEST(CapacityTarget, ReplacesOrdinaryServersByReclaimableOnesAtTheStart)
{
    DemandHistory history;
    TimePoint now(seconds(100));
    const CapacityTarget first = updateTarget(history, 0, {12, 0}, 4, scaling(), now);
    EXPECT_EQ(first.reclaimablePerZone, 6);
    EXPECT_EQ(first.servers, 12);
    const std::vector<ZoneServers> before{{"a", 3, 0}, {"b", 3, 0}, {"c", 3, 0}, {"d", 3, 0}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), before, first), false), 12) << "none is stopped before its replacements are running";
    now += seconds(4);
    const CapacityTarget second = updateTarget(history, 0, {12, 24}, 4, scaling(), now);
    EXPECT_EQ(second.servers, 12) << "ordered servers are not taken for load";
    const std::vector<ZoneServers> after{{"a", 3, 6}, {"b", 3, 6}, {"c", 3, 6}, {"d", 3, 6}};
    EXPECT_EQ(sumOf(planOrders("s", scaling(), after, second), false), 0);
}

TEST(CapacityTarget, ANewLeaderKeepsWhatThePreviousOneOrdered)
{
    DemandHistory history;
    const CapacityTarget target = updateTarget(history, 0, {2, 16}, 4, scaling(), TimePoint(seconds(100)));
    EXPECT_EQ(target.reclaimablePerZone, 4);
    EXPECT_EQ(target.servers, 18);
}

// Two of four failure domains have lost their reclaimable servers, and no new ones are available.
TEST(CapacityTarget, MoreIsKeptForTheNextReclaimWhileReclaimableServersAreUnavailable)
{
    DemandHistory history;
    const TimePoint now(seconds(100));
    updateTarget(history, 40, {0, 40}, 4, scaling(), now);
    EXPECT_EQ(updateTarget(history, 40, {0, 52}, 4, scaling(), now).serversAfterReclaim, 20);
    EXPECT_EQ(updateTarget(history, 40, {0, 52, true}, 4, scaling(), now).serversAfterReclaim, 30);
}

// Load: steady, while one failure domain after the other loses its reclaimable servers and no new ones are available.
TEST(CapacityTarget, TheLossOfTwoMoreFailureDomainsIsAllowedForInASeriesOfReclaims)
{
    ReclaimHistory reclaims;
    TimePoint now(seconds(100));
    std::vector<ZoneServers> zones{{"a", 0, 20}, {"b", 0, 20}, {"c", 0, 20}, {"d", 0, 20}};
    const auto plan = [&](bool isUnavailable) {
        DemandHistory history;
        PresentServers present{0, 0, isUnavailable};
        present.recentReclaims = countRecentReclaims(reclaims, zones, now);
        return sumOf(planOrders("s", bigScaling(), zones, updateTarget(history, 40, present, 4, bigScaling(), now)), false);
    };
    EXPECT_EQ(plan(false), 0);
    zones[0].reclaimable = 0;
    EXPECT_EQ(plan(true), 0) << "the 40 servers of two others are left after another reclaim";
    now += seconds(2);
    zones[1].reclaimable = 0;
    EXPECT_EQ(plan(true), 30) << "none of the 40 servers is left after two more, and 30 must be";
    EXPECT_EQ(plan(false), 0) << "new reclaimable servers are available";
    now += seconds(11);
    EXPECT_EQ(plan(true), 10) << "the series is over";
}

// Load: steady at 90 servers, with the usual swing of a few servers in the need over some seconds. Each change is a call for each failure domain.
TEST(CapacityTarget, SmallSwingsOfTheNeedChangeNoOrders)
{
    DemandHistory history;
    TimePoint now(seconds(100));
    CapacityTarget target;
    int changes = 0;
    for (int i = 0; i < 240; i++) {
        now += milliseconds(250);
        const CapacityTarget before = std::exchange(target, updateTarget(history, 88 + (i % 30) * 0.2, {0, 94}, 4, bigScaling(), now));
        changes += i > 0 && target != before ? 1 : 0;
    }
    EXPECT_LE(changes, 2);
}

TEST(CapacityTarget, CountsTokensSlotsAndLateness)
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

pace::FirstByteModel prefilling(double tokensPerSecond)
{
    return {milliseconds(50), tokensPerSecond};
}

// Load: engines that prefill up to twice as fast as assumed, which then answer as many more prompts in time.
TEST(ServerCapacity, EnginesThatPrefillFasterAreReckonedWithMoreTokens)
{
    EXPECT_DOUBLE_EQ(measuredTokensPerServer(std::nullopt), 25'000);
    EXPECT_DOUBLE_EQ(measuredTokensPerServer(prefilling(65'000)), 25'000);
    EXPECT_DOUBLE_EQ(measuredTokensPerServer(prefilling(130'000)), 50'000);
}

// Load: slow engines, and measurements that cannot be right. As many servers as without a measurement, or a bounded part of them.
TEST(ServerCapacity, AMeasurementNeverLowersTheCapacityAndRaisesItWithinBounds)
{
    for (const double rate : {-1.0, 0.0, 1.0, 30'000.0, std::numeric_limits<double>::quiet_NaN(), std::numeric_limits<double>::infinity()}) {
        EXPECT_DOUBLE_EQ(measuredTokensPerServer(prefilling(rate)), 25'000) << rate;
    }
    EXPECT_DOUBLE_EQ(measuredTokensPerServer(prefilling(1e9)), 100'000);
}

// Load: steady, while the measured rate swings by half with each status of the other VMs.
TEST(ServerCapacity, TheNeedHardlySwingsWithTheMeasurement)
{
    ServerCapacity capacity;
    TimePoint now(seconds(100));
    updateCapacity(capacity, prefilling(130'000), now);
    for (int i = 0; i < 40; i++) {
        now += milliseconds(250);
        updateCapacity(capacity, prefilling(i % 2 == 0 ? 97'500 : 162'500), now);
        EXPECT_NEAR(capacity.tokensPerSecond, 50'000, 2'500);
    }
}

// Load: the first seconds of a day, in which nothing is measured yet, and the same load after that.
TEST(CapacityTarget, ServersAreNotKeptForDemandThatWasCountedBeforeTheMeasurement)
{
    manifest::Service service;
    service.engine = manifest::EngineProfile{16, 500'000, true, true};
    FleetLoad load;
    load.promptTokensPerSecond = 80 * 25'000;
    DemandHistory history;
    ServerCapacity capacity;
    TimePoint now(seconds(100));
    updateCapacity(capacity, std::nullopt, now);
    EXPECT_EQ(updateTarget(history, neededServers(load, service, capacity), {80, 0}, 4, bigScaling(), now).reclaimablePerZone, 44);
    CapacityTarget target;
    for (int i = 0; i < 60; i++) {
        now += milliseconds(250);
        rescaleDemand(history, updateCapacity(capacity, prefilling(130'000), now));
        target = updateTarget(history, neededServers(load, service, capacity), {0, 160}, 4, bigScaling(), now);
    }
    // 40 are needed, and a tenth of the target is not given back.
    EXPECT_GE(target.servers, 40);
    EXPECT_LE(target.servers, 45);
    EXPECT_NEAR(target.reclaimablePerZone, 22, 1);
}

class AutoscalerTest : public DutiesTest
{
protected:
    AutoscalerTest()
    {
        manifest::Manifest manifest;
        manifest.version = 2;
        manifest.services.resize(1);
        manifest.services[0].name = "models";
        manifest.services[0].engine = manifest::EngineProfile{64, 500'000, true, true};
        manifest.services[0].scaling = scaling();
        manifest.services[0].scaling->maxPerZone = 30;
        manifests_->update(std::move(manifest));
    }

    std::shared_ptr<Autoscaler> startAutoscaler(double promptTokensPerSecond)
    {
        AutoscalerTools tools;
        tools.loop = loop_.get();
        tools.lease = vm_.lease;
        tools.api = std::make_shared<RecordingApi>(*loop_, record_);
        tools.directory = servers_;
        tools.manifests = manifests_;
        tools.log = log_;
        tools.metrics = metrics_;
        tools.presence = vm_.presence;
        tools.ownLoads = [promptTokensPerSecond] {
            return std::vector<presence::ServiceLoad>{{presence::nameHash("models"), promptTokensPerSecond, 0, 0, 0}};
        };
        tools.firstByteModel = [this](const std::string &) {
            return firstByteModel_;
        };
        tools.zones = {"a", "b", "c", "d"};
        tools.versions = versions_;
        return Autoscaler::start(std::move(tools));
    }

    void addServer(int number, const std::string &zone, bool isReclaimable, const std::string &version = {})
    {
        directory::BackendServer server;
        server.name = "server-" + std::to_string(number);
        server.instance = server.name;
        server.service = "models";
        server.zone = zone;
        server.version = version;
        server.isReclaimable = isReclaimable;
        servers_->put(std::move(server));
    }

    std::shared_ptr<forwarding::FakeVersionGate> versions_ = std::make_shared<forwarding::FakeVersionGate>();
    std::shared_ptr<metrics::Metrics> metrics_ = metrics::Metrics::create();
    std::optional<pace::FirstByteModel> firstByteModel_;
    Vm vm_ = start("1");
    std::shared_ptr<directory::Directory> servers_ = directory::Directory::create();
};

// All VMs and servers start together, and the servers appear in the list one after the other. Guards against orders that are
// too low because they are based on the incomplete list.
TEST_F(AutoscalerTest, NoServerIsStoppedWhileTheListIsStillFillingUp)
{
    const auto autoscaler = startAutoscaler(0);
    constexpr int Servers = 60;
    for (int i = 0; i < Servers; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), false);
        pass(milliseconds(60));
    }
    pass(seconds(3));
    EXPECT_GT(sumOf(record_.orders, true), 0) << "reclaimable replacements are ordered early";
    for (const ServerOrder &order : record_.orders) {
        EXPECT_TRUE(order.isReclaimable || order.wanted >= Servers / 4) << order.zone << " " << order.wanted;
    }
}

// Twelve servers of each version, where six are needed: an order for fewer might stop those that carry the traffic.
TEST_F(AutoscalerTest, NoServerIsStoppedWhileTwoVersionsRunSideBySide)
{
    constexpr double TokensOfSixServers = 6 * 25'000;
    for (int i = 0; i < 12; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), false, "v1");
        addServer(100 + i, std::string(1, static_cast<char>('a' + i % 4)), false, "v2");
    }
    versions_->versionOnTrial = "v2";
    const auto autoscaler = startAutoscaler(TokensOfSixServers);
    pass(seconds(30));
    for (const ServerOrder &order : record_.orders) {
        EXPECT_TRUE(order.isReclaimable) << order.zone << " " << order.wanted;
    }
    versions_->versionOnTrial.clear();
    pass(seconds(30));
    EXPECT_TRUE(std::any_of(record_.orders.begin(), record_.orders.end(), [](const ServerOrder &order) { return !order.isReclaimable; }));
}

// Servers on trial add no capacity: the missing regular servers are ordered, and the number ordered includes those on trial.
TEST_F(AutoscalerTest, MissingCapacityIsOrderedOnTopOfTheServersOnTrial)
{
    constexpr double TokensOfEightServers = 8 * 25'000;
    for (int i = 0; i < 4; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i)), false, "v1");
        addServer(100 + i, std::string(1, static_cast<char>('a' + i)), false, "v2");
    }
    versions_->versionOnTrial = "v2";
    record_.isReclaimableUnavailable = true;
    const auto autoscaler = startAutoscaler(TokensOfEightServers);
    pass(seconds(10));
    EXPECT_GE(sumOf(record_.orders, false), 8 + 4);
}

// Load: steady, and the reclaimable servers of a failure domain go two seconds after their number was ordered.
TEST_F(AutoscalerTest, LostServersAreOrderedAgainWithoutWaitingForTheLastOrder)
{
    constexpr double TokensOfTenServers = 10 * 25'000;
    for (int i = 0; i < 20; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), true);
    }
    const auto autoscaler = startAutoscaler(TokensOfTenServers);
    pass(seconds(3));
    for (int i = 20; i < 24; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), true);
    }
    pass(seconds(1));
    record_.orders.clear();
    record_.isReclaimableUnavailable = true;
    for (int i = 0; i < 24; i += 4) {
        servers_->remove("server-" + std::to_string(i), clock_.now());
    }
    pass(milliseconds(500));
    ASSERT_GT(sumOf(record_.orders, true), 0);
    EXPECT_EQ(record_.orders.front().zone, "a");
    pass(seconds(1));
    EXPECT_LE(record_.orders.size(), 2U);
}

// Load: as much as 60 servers of the assumed capacity answer, at engines that are twice as fast.
TEST_F(AutoscalerTest, HalfTheServersAreOrderedForEnginesThatAreMeasuredTwiceAsFast)
{
    constexpr double TokensOfSixtyServers = 60 * 25'000;
    firstByteModel_ = prefilling(130'000);
    for (int i = 0; i < 30; i++) {
        addServer(i, std::string(1, static_cast<char>('a' + i % 4)), false);
    }
    const auto autoscaler = startAutoscaler(TokensOfSixtyServers);
    pass(seconds(3));
    std::map<std::string, int> reclaimable;
    for (const ServerOrder &order : record_.orders) {
        if (order.isReclaimable) {
            reclaimable[order.zone] = order.wanted;
        }
    }
    EXPECT_EQ(reclaimable, (std::map<std::string, int>{{"a", 17}, {"b", 17}, {"c", 17}, {"d", 17}}));
    const std::string page = metrics_->page();
    EXPECT_THAT(page, testing::HasSubstr("capacity_tokens_per_server{service=\"models\"} 50000"));
    EXPECT_THAT(page, testing::HasSubstr("capacity_servers_needed{service=\"models\"} 30"));
}

// Two of four failure domains have lost their reclaimable servers. 30 are needed, and 30 are left in the other two.
TEST_F(AutoscalerTest, OrdinaryServersAreOrderedForTheNextReclaimOnlyWhileReclaimableOnesAreUnavailable)
{
    constexpr double TokensOfThirtyServers = 30 * 25'000;
    for (int i = 0; i < 30; i++) {
        addServer(i, i % 2 == 0 ? "a" : "b", true);
    }
    const auto autoscaler = startAutoscaler(TokensOfThirtyServers);
    pass(seconds(6));
    EXPECT_GT(sumOf(record_.orders, true), 0);
    EXPECT_EQ(sumOf(record_.orders, false), 0) << "the reclaimable servers are ordered and will come";
    record_.isReclaimableUnavailable = true;
    pass(seconds(6));
    // 23 must remain when one of the two loses its 15.
    EXPECT_EQ(sumOf(record_.orders, false), 8);
}

} // namespace

} // namespace cardamomlift::duties
