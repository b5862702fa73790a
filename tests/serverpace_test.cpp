#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace cardamomlift::test {

namespace {

constexpr int Entries = 4;
constexpr int Workers = 8;
constexpr int WorkMs = 30;
/// Between two requests at each VM: 80 a second in all, a third of the room.
constexpr milliseconds RequestPeriod(50);
constexpr milliseconds LoadTime(6000);

// Plain requests at a third of the room; one of eight servers takes four times as long as the others, and doesn't say so.
TEST(ServerPace, IsLearntByAllVmsFromAFewRequestsOfEach)
{
    RouteFleet fleet(Entries, Workers);
    fleet.waitReady();
    fleet.waitKnown();
    Json::Value control;
    control["workMs"] = WorkMs;
    control["slots"] = 2;
    control["queue"] = 6;
    for (const std::string &worker : fleet.workerNames()) {
        fleet.controlWorker(worker, control);
    }
    const std::string slow = fleet.workerNames().front();
    control["pace"] = 4;
    fleet.controlWorker(slow, control);

    const auto now = [&fleet] {
        return fleet.caller.loop().now();
    };
    std::vector<TestCallPtr> calls;
    std::map<int, double> mostSlower; ///< By entry VM; a server that is avoided for being slow may be unknown again later.
    const TimePoint end = now() + LoadTime;
    while (now() < end) {
        for (int entry = 1; entry <= Entries; entry++) {
            mostSlower[entry] = std::max(mostSlower[entry], fleet.metric(entry, "servers_slower_than_mean"));
            calls.push_back(fleet.caller.start(fleet.request(entry, "/safe/1", fmt::format("id-{}", calls.size()))));
        }
        const TimePoint next = now() + RequestPeriod;
        fleet.caller.waitUntil([&] { return now() >= next; }, "time passes");
    }
    fleet.caller.waitEnded(calls, "all requests end");
    for (int entry = 1; entry <= Entries; entry++) {
        EXPECT_EQ(mostSlower[entry], 1) << entry;
    }
}

} // namespace

} // namespace cardamomlift::test
