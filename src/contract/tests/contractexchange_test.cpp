#include "contract/contractexchange.h"

#include "peers/localtransport.h"
#include "table/memorytable.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cmath>
#include <iostream>

using namespace cardamomlift;
using namespace cardamomlift::contract;

namespace {

constexpr Duration ClockStep = std::chrono::milliseconds(10);

std::string contractText(int requestsPerSecond)
{
    return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [],
        "limits": {{"requestsPerSecond": {}, "openRequests": 20, "tokensPerMinute": 30000}},
        "spending": {{"perDayCents": 500, "centsPerMillionTokens": 10, "centsPerThousandCalls": 1}}}})",
        requestsPerSecond);
}

/// The contract components of one entry VM.
struct Node {
    std::string instance;
    std::shared_ptr<table::MemoryTable> table;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<ContractStore> store;
    std::shared_ptr<ContractSet> set;
    std::shared_ptr<ContractSync> sync;
    std::shared_ptr<ContractExchange> exchange;

    bool acceptsNewWork() const
    {
        return mayTakeNewWork(exchange->freshness());
    }

    std::uint64_t version() const
    {
        const auto entry = set->find("shop");
        return entry ? entry->version.version : 0;
    }
};

/// Several entry VMs that share one table and one simulated network, on one manual clock.
class TestCluster
{
public:
    explicit TestCluster(int count)
        : network(std::make_shared<peers::LocalNetwork>())
        , rows(std::make_shared<table::MemoryRows>())
    {
        loop = std::move(EventLoop::create(clock).value());
        for (int i = 1; i <= count; i++) {
            membership::Vm vm;
            vm.instance = fmt::format("entry-{}", i);
            vm.peerPort = 1;
            list_.push_back(vm);
        }
        for (int i = 1; i <= count; i++) {
            add(fmt::format("entry-{}", i));
            run(Duration(7000)); // So that the timers of the VMs do not coincide.
        }
    }

    void add(const std::string &instance)
    {
        auto node = std::make_unique<Node>();
        node->instance = instance;
        node->table = table::MemoryTable::create(*loop, rows);
        node->table->faults = tableFaults;
        node->transport = peers::LocalTransport::create(*loop, network, instance);
        node->members = membership::Members::create(instance);
        node->members->applyList(list_);
        node->store = ContractStore::create(*loop, node->table);
        node->set = ContractSet::create();
        node->sync = ContractSync::create(*loop, node->store, node->set);
        node->exchange = ContractExchange::create({loop.get(), node->transport, node->members, node->set, node->sync, [] {
                                                       return true;
                                                   }});
        node->sync->start(instance, [exchange = node->exchange] { return exchange->freshnessInputs().listed; });
        node->exchange->start();
        nodes.push_back(std::move(node));
    }

    /// Removes VM @p index from the VM list and starts a new one, without any contracts.
    void replace(std::size_t index, const std::string &instance)
    {
        std::erase_if(list_, [&](const membership::Vm &vm) { return vm.instance == nodes[index]->instance; });
        membership::Vm vm;
        vm.instance = instance;
        vm.peerPort = 1;
        list_.push_back(vm);
        isolate(index);
        nodes[index]->table->faults.down = true;
        removedNodes.push_back(std::move(nodes[index]));
        nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
        add(instance);
        for (const auto &node : nodes) {
            node->members->applyList(list_);
        }
    }

    void run(Duration duration)
    {
        const TimePoint end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(std::min<Duration>(ClockStep, std::chrono::duration_cast<Duration>(end - clock.now())));
            for (int i = 0; i < 4; i++) {
                loop->runDue(); // A request, its reply and the calls that follow.
            }
        }
    }

    /// Runs until @p condition holds, for at most @p limit on the manual clock; returns the time taken.
    Duration runUntil(const std::function<bool()> &condition, Duration limit)
    {
        const TimePoint start = clock.now();
        while (!condition() && clock.now() - start < limit) {
            run(ClockStep);
        }
        EXPECT_TRUE(condition());
        return std::chrono::duration_cast<Duration>(clock.now() - start);
    }

    void edit(std::size_t index, int requestsPerSecond, std::uint64_t base)
    {
        Edit edit{"shop", contractText(requestsPerSecond), base, "ann", fmt::format("edit-{}", requestsPerSecond)};
        EditOutcome outcome = EditOutcome::Unknown;
        nodes[index]->store->apply(
            edit, [](const ContractVersion *) { return Findings(); }, [&](const EditResult &result) { outcome = result.outcome; });
        run(std::chrono::milliseconds(100));
        EXPECT_EQ(outcome, EditOutcome::Accepted);
        nodes[index]->sync->poll();
    }

    /// Partitions a VM from all others, in both directions.
    void isolate(std::size_t index)
    {
        for (const auto &other : nodes) {
            network->blockedLinks.insert({nodes[index]->instance, other->instance});
            network->blockedLinks.insert({other->instance, nodes[index]->instance});
        }
    }

    void setTableDown(bool down)
    {
        tableFaults.down = down;
        for (const auto &node : nodes) {
            node->table->faults.down = down;
        }
    }

    std::size_t countAtVersion(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) { return node->version() == version; }));
    }

    std::size_t countAcceptingNewWork() const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto &node) { return node->acceptsNewWork(); }));
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<peers::LocalNetwork> network;
    std::shared_ptr<table::MemoryRows> rows;
    table::MemoryTableFaults tableFaults;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> removedNodes;

private:
    std::vector<membership::Vm> list_;
};

constexpr Duration seconds(int count)
{
    return std::chrono::seconds(count);
}

} // namespace

TEST(ContractExchange, VmWithoutTheTableGetsEditsFromPeers)
{
    TestCluster cluster(5);
    cluster.nodes[4]->table->faults.down = true;
    cluster.edit(0, 10, 0);
    cluster.runUntil([&] { return cluster.countAtVersion(1) == 5; }, seconds(4));
    cluster.run(seconds(20));
    EXPECT_EQ(cluster.countAcceptingNewWork(), 5U);
    EXPECT_EQ(cluster.nodes[4]->exchange->freshness(), FreshnessReason::ConfirmedByTable) << "confirmations by the table received from peers count";
}

TEST(ContractExchange, IsolatedVmRefusesNewWorkUntilReconnected)
{
    TestCluster cluster(3);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(2));
    cluster.isolate(2);
    cluster.nodes[2]->table->faults.down = true;
    cluster.run(FreshnessBound + seconds(1));
    EXPECT_EQ(cluster.nodes[2]->exchange->freshness(), FreshnessReason::CutOff);
    EXPECT_EQ(cluster.countAcceptingNewWork(), 2U);
    cluster.edit(0, 20, 1);
    cluster.run(seconds(2));
    EXPECT_EQ(cluster.nodes[2]->version(), 1U);
    cluster.network->blockedLinks.clear();
    cluster.runUntil([&] { return cluster.countAcceptingNewWork() == 3; }, seconds(4));
    EXPECT_EQ(cluster.nodes[2]->version(), 2U) << "it must not accept new work before it has the edit";
}

TEST(ContractExchange, TableOutageStopsNoVm)
{
    TestCluster cluster(9);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(3));
    cluster.setTableDown(true);
    for (int second = 0; second < 60; second++) {
        cluster.run(seconds(1));
        ASSERT_EQ(cluster.countAcceptingNewWork(), 9U) << "after " << second << " s";
    }
    EXPECT_EQ(cluster.nodes[0]->exchange->freshness(), FreshnessReason::ConfirmedByMajority);
}

TEST(ContractExchange, MinorityPartitionWithoutTheTableRefusesNewWork)
{
    TestCluster cluster(5);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(3));
    cluster.isolate(3);
    cluster.isolate(4);
    cluster.network->blockedLinks.erase({"entry-4", "entry-5"});
    cluster.network->blockedLinks.erase({"entry-5", "entry-4"});
    cluster.setTableDown(true);
    cluster.run(FreshnessBound + seconds(2));
    EXPECT_EQ(cluster.countAcceptingNewWork(), 3U);
    EXPECT_FALSE(cluster.nodes[3]->acceptsNewWork());
    EXPECT_FALSE(cluster.nodes[4]->acceptsNewWork());
}

TEST(ContractExchange, NewVmDuringATableOutageWaitsForAMajorityOfTheOthers)
{
    TestCluster cluster(3);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(3));
    cluster.nodes[1]->table->faults.down = true;
    cluster.isolate(1);
    cluster.edit(0, 20, 1); // In force on entry-1 and entry-3, unknown to entry-2.
    cluster.run(seconds(1));
    cluster.setTableDown(true);
    cluster.replace(0, "entry-4");
    cluster.network->blockedLinks.insert({"entry-4", "entry-3"});
    cluster.network->blockedLinks.erase({"entry-4", "entry-2"});
    cluster.run(seconds(10));
    Node &newNode = *cluster.nodes.back();
    EXPECT_EQ(newNode.exchange->freshness(), FreshnessReason::NoContracts) << "only the VM without the edit has replied";
    cluster.network->blockedLinks.clear();
    cluster.runUntil([&] { return newNode.acceptsNewWork(); }, seconds(5));
    EXPECT_EQ(newNode.version(), 2U);
}

TEST(ContractExchange, ReplacingAllVmsDuringATableOutageStopsNewWork)
{
    TestCluster cluster(3);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(2));
    cluster.setTableDown(true);
    for (int i = 0; i < 3; i++) {
        cluster.replace(0, fmt::format("entry-{}", i + 10));
    }
    cluster.network->blockedLinks.clear();
    cluster.run(seconds(10));
    EXPECT_EQ(cluster.countAcceptingNewWork(), 0U);
    cluster.setTableDown(false);
    cluster.runUntil([&] { return cluster.countAcceptingNewWork() == 3; }, seconds(5));
    EXPECT_EQ(cluster.countAtVersion(1), 3U);
}

// Measures, at the planned fleet size, the table reads and bytes sent when idle, the time until an edit is in force on all
// VMs, and the bytes sent during a table outage. Guards against VMs that stop accepting new work needlessly.
TEST(ContractExchange, BoundsTheCostAndDelayOfAnEditWith380Vms)
{
    constexpr int Count = 380;
    constexpr int MeasuredSeconds = 10;
    TestCluster cluster(Count);
    cluster.edit(0, 10, 0);
    cluster.run(seconds(25));
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;
    const auto sumCounters = [&] {
        reads = 0;
        bytes = 0;
        for (const auto &node : cluster.nodes) {
            reads += node->table->counters().reads;
            bytes += node->exchange->counters().bytesSent;
        }
    };
    sumCounters();
    const std::uint64_t readsBefore = reads;
    const std::uint64_t bytesBefore = bytes;
    for (int second = 0; second < MeasuredSeconds; second++) {
        cluster.run(seconds(1));
        ASSERT_EQ(cluster.countAcceptingNewWork(), cluster.nodes.size());
    }
    sumCounters();
    std::cout << "Idle: table reads per second, all VMs: " << double(reads - readsBefore) / MeasuredSeconds
              << "; bytes sent per second and VM: " << double(bytes - bytesBefore) / MeasuredSeconds / Count << "\n";
    EXPECT_LE(reads - readsBefore, 11U * MeasuredSeconds);
    cluster.edit(7, 20, 1);
    const Duration delay = cluster.runUntil([&] { return cluster.countAtVersion(2) == Count; }, seconds(5));
    std::uint32_t hops = 0;
    for (const auto &node : cluster.nodes) {
        hops = std::max(hops, node->set->find("shop")->version.hops);
    }
    std::cout << "Edit: in force on all VMs after " << delay.count() / 1000 << " ms on a network without delay; max hops: " << hops << "\n";
    cluster.setTableDown(true);
    cluster.run(seconds(8));
    sumCounters();
    const std::uint64_t bytesAtOutage = bytes;
    for (int second = 0; second < MeasuredSeconds; second++) {
        cluster.run(seconds(1));
        ASSERT_EQ(cluster.countAcceptingNewWork(), cluster.nodes.size()) << "second " << second << " of the outage";
    }
    sumCounters();
    std::cout << "Table outage: bytes sent per second and VM: " << double(bytes - bytesAtOutage) / MeasuredSeconds / Count << "\n";
}
