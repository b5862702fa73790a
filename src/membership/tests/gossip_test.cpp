#include "membership/gossip.h"
#include "membership/overlay.h"
#include "peers/localtransport.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <queue>
#include <set>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

constexpr int FailureDomains = 11;
constexpr Duration LongTtl = std::chrono::hours(24);

std::vector<Vm> entryVms(int count)
{
    std::vector<Vm> vms;
    for (int i = 0; i < count; i++) {
        Vm vm;
        vm.instance = fmt::format("entry-{}", i);
        vm.zone = fmt::format("zone-{}", i % FailureDomains);
        vms.push_back(vm);
    }
    return vms;
}

/// The Gossip objects of many entry VMs in one process, on one manual clock.
class GossipFleet
{
public:
    explicit GossipFleet(int count)
        : vms(entryVms(count))
    {
        loop = std::move(EventLoop::create(clock).value());
        for (const Vm &vm : vms) {
            transports.push_back(peers::LocalTransport::create(*loop, network, vm.instance));
            nodes.push_back(Gossip::create(*loop, transports.back()));
        }
        for (std::size_t i = 0; i < vms.size(); i++) {
            std::vector<peers::PeerAddress> neighbours;
            for (const std::string &instance : chooseNeighbours(vms, vms[i].instance)) {
                neighbours.push_back({instance, "", 0});
            }
            nodes[i]->setNeighbours(neighbours);
            nodes[i]->start();
        }
        settle();
    }

    /// Delivers all pending messages without advancing the clock.
    void settle()
    {
        for (int i = 0; i < 100; i++) {
            loop->runDue();
        }
    }

    /// Advances the clock in steps of a second, delivering messages after each.
    void advance(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += std::chrono::seconds(1)) {
            clock.advance(std::chrono::seconds(1));
            settle();
        }
    }

    /// Number of VMs that hold a rumour of this topic and key.
    std::size_t countHolding(const std::string &topic, const std::string &key) const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) { return node->find(topic, key) != nullptr; }));
    }

    std::uint64_t pushes() const
    {
        std::uint64_t sum = 0;
        for (const auto &node : nodes) {
            sum += node->counters().pushes;
        }
        return sum;
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<peers::LocalNetwork> network = std::make_shared<peers::LocalNetwork>();
    std::vector<Vm> vms;
    std::vector<std::shared_ptr<peers::LocalTransport>> transports;
    std::vector<std::shared_ptr<Gossip>> nodes;
};

/// Hops over neighbours from the first VM to the farthest one; -1 if some VMs can't be reached.
int maxHops(const std::vector<Vm> &vms)
{
    std::map<std::string, int> hops{{vms.front().instance, 0}};
    std::queue<std::string> queue;
    queue.push(vms.front().instance);
    int most = 0;
    while (!queue.empty()) {
        const std::string instance = queue.front();
        queue.pop();
        for (const std::string &next : chooseNeighbours(vms, instance)) {
            if (hops.emplace(next, hops[instance] + 1).second) {
                most = std::max(most, hops[next]);
                queue.push(next);
            }
        }
    }
    return hops.size() == vms.size() ? most : -1;
}

} // namespace

TEST(Overlay, DegreeIsBoundedAsTheFleetGrows)
{
    for (const int count : {2, 9, 64, 380}) {
        const auto vms = entryVms(count);
        std::size_t most = 0;
        for (const Vm &vm : vms) {
            const auto neighbours = chooseNeighbours(vms, vm.instance);
            most = std::max(most, neighbours.size());
            for (const std::string &other : neighbours) {
                const auto back = chooseNeighbours(vms, other);
                EXPECT_NE(std::find(back.begin(), back.end(), vm.instance), back.end()) << "not mutual";
            }
        }
        EXPECT_LE(most, MaxNeighbours);
        EXPECT_GE(maxHops(vms), 1);
        EXPECT_LE(maxHops(vms), 5);
        fmt::print("{} entry VMs: at most {} neighbours, {} hops to the farthest VM\n", count, most, maxHops(vms));
    }
}

TEST(Overlay, HalfOfTheNeighboursAreInOtherZonesAndLosingAZoneLeavesItConnected)
{
    const auto vms = entryVms(380);
    std::vector<Vm> remaining;
    for (const Vm &vm : vms) {
        std::size_t inOtherZones = 0;
        const auto neighbours = chooseNeighbours(vms, vm.instance);
        for (const std::string &other : neighbours) {
            const auto found = std::find_if(vms.begin(), vms.end(), [&](const Vm &entry) { return entry.instance == other; });
            inOtherZones += found->zone != vm.zone ? 1 : 0;
        }
        EXPECT_GE(inOtherZones * 2, neighbours.size());
        if (vm.zone != "zone-3") {
            remaining.push_back(vm);
        }
    }
    EXPECT_GE(maxHops(remaining), 1);
}

TEST(Overlay, RemovingOneVmChangesFewNeighbours)
{
    const auto vms = entryVms(380);
    const std::vector<Vm> rest(vms.begin() + 1, vms.end());
    std::size_t changed = 0;
    for (const Vm &vm : rest) {
        changed += chooseNeighbours(vms, vm.instance) != chooseNeighbours(rest, vm.instance) ? 1 : 0;
    }
    EXPECT_LE(changed, MaxNeighbours);
}

TEST(Gossip, ReachesEveryVmWithAtMostOnePushPerLink)
{
    for (const int count : {9, 64, 380}) {
        GossipFleet fleet(count);
        EXPECT_TRUE(fleet.nodes[0]->publish("leaving", "engine-1", 1, "", LongTtl));
        fleet.settle();
        EXPECT_EQ(fleet.countHolding("leaving", "engine-1"), static_cast<std::size_t>(count));
        EXPECT_LE(fleet.pushes(), MaxNeighbours * static_cast<std::size_t>(count));
        fmt::print("{} entry VMs: {} pushes for one rumour\n", count, fleet.pushes());
    }
}

TEST(Gossip, HandlersReceiveHeldRumoursFirstAndEachVersionOnce)
{
    GossipFleet fleet(9);
    std::vector<std::uint64_t> heard;
    fleet.nodes[0]->publish("contract", "shop", 1, "one", LongTtl);
    fleet.settle();
    fleet.nodes[5]->onRumour("contract", [&](const Rumour &rumour) { heard.push_back(rumour.version); });
    fleet.nodes[8]->publish("contract", "shop", 2, "two", LongTtl);
    EXPECT_FALSE(fleet.nodes[8]->publish("contract", "shop", 1, "one", LongTtl));
    fleet.settle();
    EXPECT_EQ(heard, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(fleet.nodes[3]->find("contract", "shop")->payload, "two");
}

TEST(Gossip, ComparisonRepairsLostPushesAfterAPartition)
{
    GossipFleet fleet(64);
    for (const Vm &from : fleet.vms) {
        for (const Vm &to : fleet.vms) {
            if ((from.zone < "zone-3") != (to.zone < "zone-3")) {
                fleet.network->blockedLinks.insert({from.instance, to.instance});
            }
        }
    }
    fleet.nodes[0]->publish("leaving", "engine-1", 1, "", LongTtl);
    fleet.advance(std::chrono::minutes(1));
    const std::size_t inside = fleet.countHolding("leaving", "engine-1");
    EXPECT_LT(inside, fleet.vms.size());
    fleet.network->blockedLinks.clear();
    fleet.advance(std::chrono::minutes(1));
    EXPECT_EQ(fleet.countHolding("leaving", "engine-1"), fleet.vms.size());
}

TEST(Gossip, IdleCostDoesNotDependOnFleetSize)
{
    constexpr int Seconds = 60;
    for (const int count : {9, 64, 380}) {
        GossipFleet fleet(count);
        const peers::PeerCounters before = fleet.transports[0]->counters();
        fleet.advance(std::chrono::seconds(Seconds));
        const peers::PeerCounters &after = fleet.transports[0]->counters();
        EXPECT_LE(after.callsSent - before.callsSent, 13U);
        EXPECT_LE(after.bytesSent - before.bytesSent, 13U * 60U);
    }
}

TEST(Gossip, RumoursExpireAndTheStoreIsBounded)
{
    GossipFleet fleet(2);
    fleet.nodes[0]->publish("t", "k", 1, "", std::chrono::minutes(5));
    fleet.advance(std::chrono::minutes(6));
    EXPECT_EQ(fleet.countHolding("t", "k"), 0U);
    RumourStore store({2, 10});
    const WallTime now = fleet.clock.wallNow();
    EXPECT_EQ(store.offer({"t", "a", 1, "", now + LongTtl}, now), OfferOutcome::Accepted);
    EXPECT_EQ(store.offer({"t", "b", 1, "", now + LongTtl}, now), OfferOutcome::Accepted);
    EXPECT_EQ(store.offer({"t", "c", 1, "", now + LongTtl}, now), OfferOutcome::Rejected);
    EXPECT_EQ(store.offer({"t", "a", 2, "more than ten bytes", now + LongTtl}, now), OfferOutcome::Rejected);
    EXPECT_EQ(store.offer({"t", "a", 2, "", now + LongTtl}, now), OfferOutcome::Accepted);
}
