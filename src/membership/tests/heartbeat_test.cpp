#include "memberfleet.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

constexpr std::size_t Nodes = 12;
constexpr Duration SettleTime = std::chrono::seconds(30);

/// Number of VMs whose health was ever published, also if the suspicion was refuted since.
std::size_t healthRumours(const MemberFleet::Node &node)
{
    std::size_t count = 0;
    node.gossip->forEach("health", [&](const Rumour &) { count++; });
    return count;
}

} // namespace

TEST(Heartbeat, ASilentVmFailsEverywhereAndRefutesWhenItReturns)
{
    MemberFleet fleet(Nodes);
    fleet.advance(SettleTime);
    EXPECT_EQ(fleet.countWithHealth("entry-3", Health::Alive), Nodes - 1);
    fleet.cut([](const Vm &vm) { return vm.instance == "entry-3"; });
    fleet.advance(SettleTime);
    EXPECT_EQ(fleet.countWithHealth("entry-3", Health::Failed), Nodes - 1);
    EXPECT_TRUE(isIsolated(fleet.nodes[3]->heartbeat->reachability()));
    EXPECT_EQ(fleet.nodes[3]->heartbeat->reachability().heard, 0U);
    EXPECT_FALSE(isPartitioned(fleet.nodes[5]->heartbeat->reachability()));
    EXPECT_EQ(healthRumours(*fleet.nodes[3]), 0U) << "the partitioned VM reported others as unhealthy";
    fleet.heal();
    fleet.advance(SettleTime);
    EXPECT_EQ(fleet.countWithHealth("entry-3", Health::Alive), Nodes - 1);
    EXPECT_FALSE(isPartitioned(fleet.nodes[3]->heartbeat->reachability()));
}

TEST(Heartbeat, AOneWayLinkLossIsNotAFailure)
{
    for (const bool isReply : {false, true}) {
        MemberFleet fleet(Nodes);
        fleet.advance(SettleTime);
        const std::string neighbour = fleet.nodes[0]->gossip->neighbours()[0].instance;
        const std::pair<std::string, std::string> link = isReply ? std::pair(neighbour, fleet.list[0].instance) : std::pair(fleet.list[0].instance, neighbour);
        fleet.network->blockedLinks.insert(link);
        fleet.advance(std::chrono::minutes(1));
        EXPECT_EQ(healthRumours(*fleet.nodes[5]), 0U);
    }
}

TEST(Heartbeat, RepeatedOutagesOfThreeSecondsAreNotAFailure)
{
    // Each outage is shorter than FailureThresholds::silenceToSuspect, so none may lead to a suspicion.
    MemberFleet fleet(Nodes);
    fleet.advance(SettleTime);
    for (int i = 0; i < 10; i++) {
        fleet.cut([](const Vm &vm) { return vm.instance == "entry-3"; });
        fleet.advance(std::chrono::seconds(3));
        fleet.heal();
        fleet.advance(std::chrono::seconds(3));
    }
    EXPECT_EQ(healthRumours(*fleet.nodes[5]), 0U);
}

TEST(Heartbeat, AVmListedBeforeItsDaemonIsUpIsSuspectedOnlyAfterTheSilenceLimit)
{
    MemberFleet fleet(Nodes);
    Vm listedEarly = fleet.list.front();
    listedEarly.instance = "entry-early";
    fleet.readList({listedEarly});
    fleet.advance(std::chrono::seconds(4));
    EXPECT_EQ(fleet.countWithHealth("entry-early", Health::Alive), Nodes);
    fleet.advance(SettleTime);
    EXPECT_EQ(fleet.countWithHealth("entry-early", Health::Failed), Nodes);
}

TEST(Heartbeat, AnUnlistedVmIsAddedProvisionally)
{
    MemberFleet fleet(Nodes);
    fleet.addUnlisted("entry-new");
    fleet.advance(std::chrono::seconds(10));
    EXPECT_GE(fleet.count([](const MemberFleet::Node &node) { return node.members->find("entry-new") != nullptr; }), 1U);
    fleet.cut([](const Vm &vm) { return vm.instance == "entry-new"; });
    fleet.advance(std::chrono::minutes(5));
    fleet.clock.advance(std::chrono::minutes(1));
    for (const auto &node : fleet.nodes) {
        node->members->removeExpired();
    }
    EXPECT_EQ(fleet.count([](const MemberFleet::Node &node) { return node.members->find("entry-new") != nullptr; }), 0U);
}

TEST(Heartbeat, VmsOfALostZoneFailEverywhereAndNoOtherVmDoes)
{
    MemberFleet fleet(64);
    fleet.advance(SettleTime);
    const auto isLost = [](const Vm &vm) {
        return vm.zone == "zone-2";
    };
    for (const auto &node : fleet.nodes) {
        if (isLost(node->vm)) {
            fleet.network->transports.erase(node->vm.instance);
        }
    }
    fleet.cut(isLost);
    fleet.advance(SettleTime);
    for (const auto &node : fleet.nodes) {
        if (isLost(node->vm)) {
            continue;
        }
        for (const Vm &vm : fleet.list) {
            EXPECT_EQ(node->members->healthOf(vm.instance), isLost(vm) ? Health::Failed : Health::Alive) << node->vm.instance << " of " << vm.instance;
        }
        const Reachability reachability = node->heartbeat->reachability();
        EXPECT_FALSE(isPartitioned(reachability));
        EXPECT_EQ(reachability.heard, 64U - 6U - 1U); // Without the six VMs of zone-2 and the VM itself.
    }
}

TEST(Heartbeat, RegionsConvergeAfterAnHourOfPartition)
{
    MemberFleet fleet(22);
    fleet.readList({engineVm("engine-1"), engineVm("engine-2")});
    fleet.cut([](const Vm &vm) { return vm.region == "region-0"; });
    fleet.nodes[0]->members->markLeaving("engine-1"); // Within region-0.
    fleet.nodes[1]->members->markLeaving("engine-2"); // In another region.
    fleet.advance(std::chrono::hours(1));
    const auto knowsBoth = [](const MemberFleet::Node &node) {
        return node.members->isLeaving("engine-1") && node.members->isLeaving("engine-2");
    };
    EXPECT_EQ(fleet.count(knowsBoth), 0U);
    fleet.heal();
    fleet.advance(std::chrono::minutes(1));
    EXPECT_EQ(fleet.count(knowsBoth), 22U);
    for (const Vm &vm : fleet.list) {
        EXPECT_EQ(fleet.countWithHealth(vm.instance, Health::Alive), 21U) << vm.instance;
    }
}

TEST(Heartbeat, VmsRestartedAllAtOnceLearnMarksFromTheList)
{
    MemberFleet fleet(12);
    Vm leaving = engineVm("engine-1");
    leaving.state = VmState::Leaving;
    // One VM has read a current list; the others have read an older one in which the server is still live.
    std::vector<Vm> current = fleet.list;
    current.push_back(leaving);
    fleet.readList({engineVm("engine-1")});
    fleet.nodes[4]->members->applyList(current);
    fleet.settle();
    EXPECT_EQ(fleet.count([](const MemberFleet::Node &node) { return node.members->isLeaving("engine-1"); }), 12U);
    fleet.readList({engineVm("engine-1")});
    EXPECT_EQ(fleet.count([](const MemberFleet::Node &node) { return node.members->backends(VmRole::Model, "proofreader").empty(); }), 12U);
}

TEST(Heartbeat, RefusalsSeenByTwoVmsExcludeAServerEverywhere)
{
    MemberFleet fleet(12);
    fleet.readList({engineVm("engine-1"), engineVm("engine-2")});
    const auto excludes = [](const MemberFleet::Node &node) {
        return node.members->isUnreachable("engine-1");
    };
    fleet.nodes[0]->members->reportUnreachable("engine-1");
    fleet.settle();
    EXPECT_EQ(fleet.count(excludes), 0U);
    fleet.nodes[7]->members->reportUnreachable("engine-1");
    fleet.settle();
    EXPECT_EQ(fleet.count(excludes), 12U);
    fleet.advance(std::chrono::seconds(11));
    EXPECT_EQ(fleet.count(excludes), 0U);
}
