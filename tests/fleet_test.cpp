// The VMs that are ordered for the models, through real daemons and the cloud's stand-in.

#include "support/fleet.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::Fleet;

namespace {

Json::Value offer(const std::string &zone, bool reclaimable, int price)
{
    Json::Value json;
    json["zone"] = zone;
    json["machineType"] = "small";
    json["provisioningModel"] = reclaimable ? "SPOT" : "STANDARD";
    json["microsPerHour"] = price;
    // So little that the smallest load asks for several VMs.
    json["tokensPerSecond"] = 1;
    return json;
}

Json::Value cloudTotals(Fleet &fleet)
{
    return fleet.caller.get(fleet.platform->port(), "/totals")->json()["cloud"];
}

/// The entry VM that holds the lease, or an empty text.
std::string holderOf(Fleet &fleet)
{
    for (const std::string &entry : fleet.entryNames) {
        if (fleet.processes[entry]->isRunning() && fleet.metric(entry, "fleet_lease_held") == 1) {
            return entry;
        }
    }
    return {};
}

} // namespace

TEST(FleetOrders, OneVmOrdersAndAnotherTakesOverWhenItDies)
{
    Fleet fleet(0);
    Json::Value control;
    for (const char *zone : {"zone-1", "zone-2", "zone-3"}) {
        control["offers"].append(offer(zone, true, 300'000));
        control["offers"].append(offer(zone, false, 900'000));
    }
    control["refusedZones"].append("zone-2");
    fleet.controlPlatform("/control/cloud", control);
    const std::string endpoint = "http://127.0.0.1:" + std::to_string(fleet.platform->port());
    for (int i = 1; i <= 3; i++) {
        fleet.addEntry(
            "entry-" + std::to_string(i), "zone-" + std::to_string(i), [&](Json::Value &settings) { settings["platform"]["cloudEndpoint"] = endpoint; });
    }
    std::string output;
    EXPECT_EQ(fleet.tool({"apply", std::string(CARDAMOMLIFT_SOURCES) + "/examples/co-op/contract.json"}, output), 0) << output;
    fleet.addEngine("engine-1", "zone-1", {"--token-ms", "1"});
    fleet.waitStatus(
        "entry-1", [](const Json::Value &status) { return status["vms"].size() == 4 && status["contracts"].size() == 1; }, "all VMs");

    const auto waitForOrders = [&](std::uint64_t least) {
        const auto hasOrders = [&](const Json::Value &) {
            fleet.caller.call(fleet.chat("entry-1", "work", 200));
            return cloudTotals(fleet)["inserted"].asUInt64() >= least;
        };
        fleet.waitStatus("entry-1", hasOrders, "ordered VMs");
    };
    waitForOrders(1);
    const std::string first = holderOf(fleet);
    ASSERT_FALSE(first.empty());
    const std::uint64_t before = cloudTotals(fleet)["inserted"].asUInt64();
    if (first == "entry-1") {
        // Callers stay with entry-1 in this test: pause it instead, and let another VM take over.
        fleet.processes[first]->signal(SIGSTOP);
        fleet.waitStatus(
            "entry-2",
            [&](const Json::Value &) { return fleet.metric("entry-2", "fleet_lease_held") + fleet.metric("entry-3", "fleet_lease_held") == 1; },
            "a new holder");
        fleet.processes[first]->signal(SIGCONT);
    } else {
        fleet.processes[first]->signal(SIGKILL);
    }
    Json::Value reclaim;
    reclaim["reclaimZone"] = "zone-1";
    fleet.controlPlatform("/control/cloud", reclaim);
    waitForOrders(before + 1);
    const std::string second = holderOf(fleet);
    EXPECT_NE(second, first);
}
