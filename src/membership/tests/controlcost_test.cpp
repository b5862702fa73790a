#include "memberfleet.h"
#include "membership/overlay.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

constexpr double SecondsADay = 86400;
constexpr double FailuresADay = 15;
constexpr double RestartsADay = 490;
constexpr double EditsADay = 1400;
constexpr std::size_t EditBytes = 3000;
constexpr double BudgetBytesASecond = 14000;
constexpr int IdleSeconds = 60;

/// Per node: calls and payload bytes, sent and received.
struct Cost {
    double calls = 0;
    double bytes = 0;
};

Cost costOf(MemberFleet &fleet, const std::function<void()> &action)
{
    const peers::PeerCounters before = fleet.sum();
    action();
    const peers::PeerCounters after = fleet.sum();
    const auto nodes = static_cast<double>(fleet.nodes.size());
    const auto calls = static_cast<double>(after.callsSent + after.callsReceived - before.callsSent - before.callsReceived);
    const auto bytes = static_cast<double>(after.bytesSent + after.bytesReceived - before.bytesSent - before.bytesReceived);
    return {calls / nodes, bytes / nodes};
}

struct DayCost {
    Cost idleASecond;
    Cost restart;
    Cost failure;
    Cost edit;
    double bytesASecond = 0;
};

/// A restart is one mark and one new VM; the clock stands still, so that no heartbeat is counted.
void restart(MemberFleet &fleet, int number)
{
    fleet.nodes[1]->members->markLeaving(fmt::format("old-{}", number));
    fleet.nodes[2]->spread->spreadListed(engineVm(fmt::format("new-{}", number)));
    fleet.settle();
}

DayCost measure(int count)
{
    constexpr int Repeats = 10;
    MemberFleet fleet(count);
    fleet.pass(std::chrono::seconds(10));
    DayCost cost;
    cost.idleASecond = costOf(fleet, [&] { fleet.pass(std::chrono::seconds(IdleSeconds)); });
    cost.idleASecond.calls /= IdleSeconds;
    cost.idleASecond.bytes /= IdleSeconds;
    const auto repeated = [&](const std::function<void(int)> &action) {
        Cost sum = costOf(fleet, [&] {
            for (int i = 0; i < Repeats; i++) {
                action(i);
                fleet.settle();
            }
        });
        return Cost{sum.calls / Repeats, sum.bytes / Repeats};
    };
    cost.restart = repeated([&](int i) { restart(fleet, i); });
    cost.edit = repeated([&](int i) { fleet.nodes[3]->gossip->publish("contract", "shop", i + 1U, std::string(EditBytes, 'x'), std::chrono::hours(2)); });
    // A failed entry VM: all heartbeats and statements of half a minute, without the idle ones.
    cost.failure = costOf(fleet, [&] {
        fleet.cut([](const Vm &vm) { return vm.instance == "entry-0"; });
        fleet.pass(std::chrono::seconds(30));
    });
    cost.failure.calls -= 30 * cost.idleASecond.calls;
    cost.failure.bytes -= 30 * cost.idleASecond.bytes;
    cost.bytesASecond =
        cost.idleASecond.bytes + (RestartsADay * cost.restart.bytes + EditsADay * cost.edit.bytes + FailuresADay * cost.failure.bytes) / SecondsADay;
    return cost;
}

} // namespace

TEST(ControlCost, DoesNotGrowWithTheFleet)
{
    fmt::print("nodes | idle calls/s | idle B/s | restart calls, B | failure calls, B | edit calls, B | day's mean B/s\n");
    for (const int count : {9, 64, 380}) {
        const DayCost cost = measure(count);
        fmt::print("{} | {:.1f} | {:.0f} | {:.1f}, {:.0f} | {:.1f}, {:.0f} | {:.1f}, {:.0f} | {:.0f}\n",
            count,
            cost.idleASecond.calls,
            cost.idleASecond.bytes,
            cost.restart.calls,
            cost.restart.bytes,
            cost.failure.calls,
            cost.failure.bytes,
            cost.edit.calls,
            cost.edit.bytes,
            cost.bytesASecond);
        EXPECT_LE(cost.idleASecond.calls, 5.0);
        EXPECT_LE(cost.idleASecond.bytes, 100.0);
        EXPECT_LE(cost.restart.calls, 4.0 * MostNeighbours);
        EXPECT_LE(cost.edit.bytes, 2.0 * MostNeighbours * (EditBytes + 100.0));
        EXPECT_LE(cost.bytesASecond, BudgetBytesASecond / 10);
    }
}
