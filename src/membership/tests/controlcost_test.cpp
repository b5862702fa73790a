#include "memberfleet.h"
#include "membership/overlay.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

constexpr double SecondsPerDay = 86400;
constexpr double FailuresPerDay = 15;
constexpr double RestartsPerDay = 490;
constexpr double EditsPerDay = 1400;
constexpr std::size_t EditBytes = 3000;
constexpr double BudgetBytesPerSecond = 14000;
constexpr int IdleSeconds = 60;

/// Mean per node: calls and payload bytes, sent and received.
struct Cost {
    double calls = 0;
    double bytes = 0;
};

Cost costOf(MemberFleet &fleet, const std::function<void()> &action)
{
    const peers::PeerCounters before = fleet.totalCounters();
    action();
    const peers::PeerCounters after = fleet.totalCounters();
    const auto nodes = static_cast<double>(fleet.nodes.size());
    const auto calls = static_cast<double>(after.callsSent + after.callsReceived - before.callsSent - before.callsReceived);
    const auto bytes = static_cast<double>(after.bytesSent + after.bytesReceived - before.bytesSent - before.bytesReceived);
    return {calls / nodes, bytes / nodes};
}

struct DayCost {
    Cost idlePerSecond;
    Cost restart;
    Cost failure;
    Cost edit;
    double bytesPerSecond = 0;
};

/// The restart of a server: one leaving mark and one new VM. The clock does not advance, so that no heartbeat is counted.
void restart(MemberFleet &fleet, int number)
{
    fleet.nodes[1]->members->markLeaving(fmt::format("old-{}", number));
    fleet.nodes[2]->membershipGossip->publishListed(engineVm(fmt::format("new-{}", number)));
    fleet.settle();
}

DayCost measure(int count)
{
    constexpr int Repeats = 10;
    MemberFleet fleet(count);
    fleet.advance(std::chrono::seconds(10));
    DayCost cost;
    cost.idlePerSecond = costOf(fleet, [&] { fleet.advance(std::chrono::seconds(IdleSeconds)); });
    cost.idlePerSecond.calls /= IdleSeconds;
    cost.idlePerSecond.bytes /= IdleSeconds;
    const auto repeated = [&](const std::function<void(int)> &action) {
        Cost totalCounters = costOf(fleet, [&] {
            for (int i = 0; i < Repeats; i++) {
                action(i);
                fleet.settle();
            }
        });
        return Cost{totalCounters.calls / Repeats, totalCounters.bytes / Repeats};
    };
    cost.restart = repeated([&](int i) { restart(fleet, i); });
    cost.edit = repeated([&](int i) { fleet.nodes[3]->gossip->publish("contract", "shop", i + 1U, std::string(EditBytes, 'x'), std::chrono::hours(2)); });
    // Failure of an entry VM: all traffic of the following half minute, less the idle traffic.
    cost.failure = costOf(fleet, [&] {
        fleet.cut([](const Vm &vm) { return vm.instance == "entry-0"; });
        fleet.advance(std::chrono::seconds(30));
    });
    cost.failure.calls -= 30 * cost.idlePerSecond.calls;
    cost.failure.bytes -= 30 * cost.idlePerSecond.bytes;
    cost.bytesPerSecond =
        cost.idlePerSecond.bytes + (RestartsPerDay * cost.restart.bytes + EditsPerDay * cost.edit.bytes + FailuresPerDay * cost.failure.bytes) / SecondsPerDay;
    return cost;
}

} // namespace

TEST(ControlCost, DoesNotGrowWithTheFleet)
{
    fmt::print("nodes | idle calls/s | idle B/s | restart calls, B | failure calls, B | edit calls, B | mean of a day, B/s\n");
    for (const int count : {9, 64, 380}) {
        const DayCost cost = measure(count);
        fmt::print("{} | {:.1f} | {:.0f} | {:.1f}, {:.0f} | {:.1f}, {:.0f} | {:.1f}, {:.0f} | {:.0f}\n",
            count,
            cost.idlePerSecond.calls,
            cost.idlePerSecond.bytes,
            cost.restart.calls,
            cost.restart.bytes,
            cost.failure.calls,
            cost.failure.bytes,
            cost.edit.calls,
            cost.edit.bytes,
            cost.bytesPerSecond);
        EXPECT_LE(cost.idlePerSecond.calls, 5.0);
        EXPECT_LE(cost.idlePerSecond.bytes, 100.0);
        EXPECT_LE(cost.restart.calls, 4.0 * MaxNeighbours);
        EXPECT_LE(cost.edit.bytes, 2.0 * MaxNeighbours * (EditBytes + 100.0));
        EXPECT_LE(cost.bytesPerSecond, BudgetBytesPerSecond / 10);
    }
}
