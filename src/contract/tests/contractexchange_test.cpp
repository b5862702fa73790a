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

constexpr Duration Step = std::chrono::milliseconds(10);

std::string contractText(int requestsPerSecond)
{
    return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [],
        "limits": {{"requestsPerSecond": {}, "openRequests": 20, "tokensPerMinute": 30000}},
        "spending": {{"perDayCents": 500, "centsPerMillionTokens": 10, "centsPerThousandCalls": 1}}}})",
        requestsPerSecond);
}

/// The parts of one entry VM that have to do with contracts.
struct Node {
    std::string instance;
    std::shared_ptr<table::MemoryTable> table;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<ContractStore> store;
    std::shared_ptr<ContractSet> set;
    std::shared_ptr<ContractSync> sync;
    std::shared_ptr<ContractExchange> exchange;

    bool serves() const
    {
        return mayTakeNewWork(exchange->freshness());
    }

    std::uint64_t version() const
    {
        const auto entry = set->find("shop");
        return entry ? entry->version.version : 0;
    }
};

/// Several entry VMs over one table and one network, on one paused clock.
class Vms
{
public:
    explicit Vms(int count)
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
            run(Duration(7000)); // So that they don't all work at the same instant.
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

    /// Takes VM @p index off the list and starts another one, which knows nothing.
    void replace(std::size_t index, const std::string &instance)
    {
        std::erase_if(list_, [&](const membership::Vm &vm) { return vm.instance == nodes[index]->instance; });
        membership::Vm vm;
        vm.instance = instance;
        vm.peerPort = 1;
        list_.push_back(vm);
        cut(index);
        nodes[index]->table->faults.down = true;
        retired.push_back(std::move(nodes[index]));
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
            clock.advance(std::min<Duration>(Step, std::chrono::duration_cast<Duration>(end - clock.now())));
            for (int i = 0; i < 4; i++) {
                loop->runDue(); // A question, its answer and what follows from it.
            }
        }
    }

    /// Runs until @p condition holds, at most @p bound on the paused clock; says how long it took.
    Duration runUntil(const std::function<bool()> &condition, Duration bound)
    {
        const TimePoint start = clock.now();
        while (!condition() && clock.now() - start < bound) {
            run(Step);
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

    /// Cuts a VM off from all others, in both directions.
    void cut(std::size_t index)
    {
        for (const auto &other : nodes) {
            network->blockedLinks.insert({nodes[index]->instance, other->instance});
            network->blockedLinks.insert({other->instance, nodes[index]->instance});
        }
    }

    void setTable(bool down)
    {
        tableFaults.down = down;
        for (const auto &node : nodes) {
            node->table->faults.down = down;
        }
    }

    std::size_t countAt(std::uint64_t version) const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [&](const auto &node) { return node->version() == version; }));
    }

    std::size_t countServing() const
    {
        return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto &node) { return node->serves(); }));
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<peers::LocalNetwork> network;
    std::shared_ptr<table::MemoryRows> rows;
    table::MemoryTableFaults tableFaults;
    std::vector<std::unique_ptr<Node>> nodes;
    std::vector<std::unique_ptr<Node>> retired;

private:
    std::vector<membership::Vm> list_;
};

constexpr Duration seconds(int count)
{
    return std::chrono::seconds(count);
}

} // namespace

TEST(ContractExchange, AVmCutOffFromTheTableGetsEditsFromPeers)
{
    Vms vms(5);
    vms.nodes[4]->table->faults.down = true;
    vms.edit(0, 10, 0);
    vms.runUntil([&] { return vms.countAt(1) == 5; }, seconds(4));
    vms.run(seconds(20));
    EXPECT_EQ(vms.countServing(), 5U);
    EXPECT_EQ(vms.nodes[4]->exchange->freshness(), FreshnessReason::ConfirmedByTable) << "the age of peers' readings counts";
}

TEST(ContractExchange, AVmCutOffFromBothTakesNoNewWorkUntilItIsBack)
{
    Vms vms(3);
    vms.edit(0, 10, 0);
    vms.run(seconds(2));
    vms.cut(2);
    vms.nodes[2]->table->faults.down = true;
    vms.run(FreshnessBound + seconds(1));
    EXPECT_EQ(vms.nodes[2]->exchange->freshness(), FreshnessReason::CutOff);
    EXPECT_EQ(vms.countServing(), 2U);
    vms.edit(0, 20, 1);
    vms.run(seconds(2));
    EXPECT_EQ(vms.nodes[2]->version(), 1U);
    vms.network->blockedLinks.clear();
    vms.runUntil([&] { return vms.countServing() == 3; }, seconds(4));
    EXPECT_EQ(vms.nodes[2]->version(), 2U) << "it may not serve before it has the edit";
}

TEST(ContractExchange, AnOutageOfTheTableForEveryoneStopsNobody)
{
    Vms vms(9);
    vms.edit(0, 10, 0);
    vms.run(seconds(3));
    vms.setTable(true);
    for (int second = 0; second < 60; second++) {
        vms.run(seconds(1));
        ASSERT_EQ(vms.countServing(), 9U) << "after " << second << " s";
    }
    EXPECT_EQ(vms.nodes[0]->exchange->freshness(), FreshnessReason::ConfirmedByMajority);
}

TEST(ContractExchange, AMinorityWithoutTheTableStops)
{
    Vms vms(5);
    vms.edit(0, 10, 0);
    vms.run(seconds(3));
    vms.cut(3);
    vms.cut(4);
    vms.network->blockedLinks.erase({"entry-4", "entry-5"});
    vms.network->blockedLinks.erase({"entry-5", "entry-4"});
    vms.setTable(true);
    vms.run(FreshnessBound + seconds(2));
    EXPECT_EQ(vms.countServing(), 3U);
    EXPECT_FALSE(vms.nodes[3]->serves());
    EXPECT_FALSE(vms.nodes[4]->serves());
}

TEST(ContractExchange, AFirstBootInAnOutageWaitsForAMajorityOfTheOthers)
{
    Vms vms(3);
    vms.edit(0, 10, 0);
    vms.run(seconds(3));
    vms.nodes[1]->table->faults.down = true;
    vms.cut(1);
    vms.edit(0, 20, 1); // In force at entry-1 and entry-3, unknown to entry-2.
    vms.run(seconds(1));
    vms.setTable(true);
    vms.replace(0, "entry-4");
    vms.network->blockedLinks.insert({"entry-4", "entry-3"});
    vms.network->blockedLinks.erase({"entry-4", "entry-2"});
    vms.run(seconds(10));
    Node &fresh = *vms.nodes.back();
    EXPECT_EQ(fresh.exchange->freshness(), FreshnessReason::NoContracts) << "only the VM that is behind answered";
    vms.network->blockedLinks.clear();
    vms.runUntil([&] { return fresh.serves(); }, seconds(5));
    EXPECT_EQ(fresh.version(), 2U);
}

TEST(ContractExchange, WhenAllForgotInAnOutageNobodyServes)
{
    Vms vms(3);
    vms.edit(0, 10, 0);
    vms.run(seconds(2));
    vms.setTable(true);
    for (int i = 0; i < 3; i++) {
        vms.replace(0, fmt::format("entry-{}", i + 10));
    }
    vms.network->blockedLinks.clear();
    vms.run(seconds(10));
    EXPECT_EQ(vms.countServing(), 0U);
    vms.setTable(false);
    vms.runUntil([&] { return vms.countServing() == 3; }, seconds(5));
    EXPECT_EQ(vms.countAt(1), 3U);
}

// At the size to come: what an edit costs, how soon it is everywhere, and that nobody stops without need.
TEST(ContractExchange, Costs380VmsLittleAndReachesThemInTime)
{
    constexpr int Count = 380;
    constexpr int Calm = 10;
    Vms vms(Count);
    vms.edit(0, 10, 0);
    vms.run(seconds(25));
    std::uint64_t reads = 0;
    std::uint64_t bytes = 0;
    const auto sum = [&] {
        reads = 0;
        bytes = 0;
        for (const auto &node : vms.nodes) {
            reads += node->table->counters().reads;
            bytes += node->exchange->counters().bytesSent;
        }
    };
    sum();
    const std::uint64_t readsBefore = reads;
    const std::uint64_t bytesBefore = bytes;
    for (int second = 0; second < Calm; second++) {
        vms.run(seconds(1));
        ASSERT_EQ(vms.countServing(), vms.nodes.size());
    }
    sum();
    std::cout << "Calm: table reads a second, all VMs: " << double(reads - readsBefore) / Calm
              << "; bytes sent a second and VM: " << double(bytes - bytesBefore) / Calm / Count << "\n";
    EXPECT_LE(reads - readsBefore, 11U * Calm);
    vms.edit(7, 20, 1);
    const Duration delay = vms.runUntil([&] { return vms.countAt(2) == Count; }, seconds(5));
    std::uint32_t hops = 0;
    for (const auto &node : vms.nodes) {
        hops = std::max(hops, node->set->find("shop")->version.hops);
    }
    std::cout << "Edit: everywhere after " << delay.count() / 1000 << " ms on a network without delay; most hops: " << hops << "\n";
    vms.setTable(true);
    vms.run(seconds(8));
    sum();
    const std::uint64_t bytesAtOutage = bytes;
    for (int second = 0; second < Calm; second++) {
        vms.run(seconds(1));
        ASSERT_EQ(vms.countServing(), vms.nodes.size()) << "second " << second << " of the outage";
    }
    sum();
    std::cout << "Outage of the table: bytes sent a second and VM: " << double(bytes - bytesAtOutage) / Calm / Count << "\n";
}
