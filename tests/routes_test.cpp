// Real daemons that serve routes, before stand-ins of the store and of workers.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <csignal>

using namespace cardamomlift;
using test::RouteFleet;
using test::TestCallPtr;

namespace {

std::string streamOf(const std::string &id, int events)
{
    std::string text;
    for (int i = 1; i <= events; i++) {
        text += fmt::format("id: {}\ndata: {} {}\n\n", i, id, i);
    }
    return text;
}

Json::Value settings(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

bool isWhole(const TestCallPtr &call)
{
    return call->ended && call->result.transport == http::Transport::Completed;
}

TEST(Routes, ServesCallsAndStreamsAtEachVm)
{
    RouteFleet fleet(3, 2);
    fleet.waitReady();
    for (int vm = 1; vm <= 3; vm++) {
        const std::string id = fmt::format("id-{}", vm);
        EXPECT_EQ(fleet.caller.call(fleet.request(vm, "/once/1", id))->body, id + " body of " + id);
        EXPECT_EQ(fleet.runsOf(id), 1);
        EXPECT_EQ(fleet.caller.call(fleet.request(vm, "/single/1", "s" + id))->body, streamOf("s" + id, 5));
    }
    EXPECT_EQ(fleet.caller.call(fleet.request(1, "/none/1", "x"))->status, 404);
    EXPECT_EQ(fleet.caller.call(fleet.request(1, "/safe/1", "x", "other-key"))->status, 401);
}

TEST(Routes, ARollingRestartCutsNoStreamAndTakesAllRequests)
{
    RouteFleet fleet(3, 2);
    fleet.waitReady();
    Json::Value slow = settings("eventGapMs", 30);
    slow["events"] = 40;
    for (const char *worker : {"worker-1", "worker-2"}) {
        fleet.controlWorker(worker, slow);
    }
    constexpr int Streams = 30;
    std::vector<TestCallPtr> calls;
    calls.reserve(Streams + 3);
    for (int i = 0; i < Streams; i++) {
        calls.push_back(fleet.caller.start(fleet.request(i % 3 + 1, "/single/1", fmt::format("id-{}", i))));
    }
    ASSERT_TRUE(
        fleet.caller.waitUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const auto &call) { return !call->body.empty(); }); }, "streams begin"));
    for (int vm = 1; vm <= 3; vm++) {
        fleet.entry(vm).signal(SIGTERM);
        // Callers who do not know yet go on coming to the same VM.
        calls.push_back(fleet.caller.start(fleet.request(vm, "/single/1", fmt::format("late-{}", vm))));
    }
    fleet.caller.waitEnded(calls, "all streams end");
    for (const TestCallPtr &call : calls) {
        EXPECT_TRUE(isWhole(call));
        EXPECT_EQ(call->status, 200);
    }
    for (int vm = 1; vm <= 3; vm++) {
        EXPECT_EQ(fleet.entry(vm).wait(), 0);
    }
}

TEST(Routes, AKeyThatWasTakenAwayStopsAtAllVmsWithinSeconds)
{
    RouteFleet fleet(3, 1);
    fleet.waitReady();
    fleet.putManifest(2, {"key-2"});
    for (int vm = 1; vm <= 3; vm++) {
        int tries = 0;
        while (fleet.caller.call(fleet.request(vm, "/safe/1", "x", "key-1"))->status != 401 && tries < 2000) {
            tries++;
        }
        EXPECT_LT(tries, 2000);
        EXPECT_EQ(fleet.caller.call(fleet.request(vm, "/safe/1", "x", "key-2"))->status, 200);
    }
}

TEST(Routes, KeyedServiceEndsWhenTheStoreIsSilentAndComesBackWithIt)
{
    RouteFleet fleet(2, 1);
    fleet.waitReady();
    fleet.setStoreFault("silent");
    const auto status = [&](int vm) {
        return fleet.caller.call(fleet.request(vm, "/safe/1", "x"))->status;
    };
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return status(vm) == 503; }, "refused for want of fresh knowledge"));
    }
    fleet.setStoreFault("");
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return status(vm) == 200; }, "served again"));
    }
}

// Guards against keys that go on being served after a manifest has come that may have taken them away, but can't be read.
TEST(Routes, KeyedServiceEndsWithAManifestThatCanNotBeReadAndComesBackWithOneThatCan)
{
    RouteFleet fleet(2, 1);
    fleet.waitReady();
    fleet.putUnreadableManifest("{");
    const auto status = [&](int vm) {
        return fleet.caller.call(fleet.request(vm, "/safe/1", "x"))->status;
    };
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return status(vm) == 503; }, "refused: its key may have been taken away"));
    }
    fleet.putManifest(9, {"key-1"});
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return status(vm) == 200; }, "served again"));
    }
}

TEST(Routes, AServerThatLeavesGetsNoMoreWorkFromAnyVm)
{
    RouteFleet fleet(3, 2);
    fleet.waitReady();
    fleet.listWorker("worker-1", "draining");
    const auto usesIt = [&](int vm) {
        const std::string before = fmt::format("{}", fleet.controlWorker("worker-1")["runs"].size());
        for (int i = 0; i < 8; i++) {
            fleet.caller.call(fleet.request(vm, "/once/1", fmt::format("probe-{}-{}-{}", vm, i, before)));
        }
        return before != fmt::format("{}", fleet.controlWorker("worker-1")["runs"].size());
    };
    for (int vm = 1; vm <= 3; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return !usesIt(vm); }, "the mark arrives"));
    }
    fleet.controlWorker("worker-1", settings("leaving", true));
    for (int i = 0; i < 60; i++) {
        EXPECT_EQ(fleet.caller.call(fleet.request(i % 3 + 1, "/once/1", fmt::format("after-{}", i)))->status, 200);
    }
    EXPECT_EQ(fleet.controlWorker("worker-1")["afterLeaving"].asInt(), 0);
}

TEST(Routes, ANonIdempotentCallThatBrokeIsNotRunAgain)
{
    RouteFleet fleet(1, 3);
    fleet.waitReady();
    for (const char *worker : {"worker-1", "worker-2", "worker-3"}) {
        fleet.controlWorker(worker, settings("resets", true));
    }
    for (int i = 0; i < 20; i++) {
        const std::string id = fmt::format("id-{}", i);
        EXPECT_EQ(fleet.caller.call(fleet.request(1, "/once/1", id))->status, 502);
        EXPECT_EQ(fleet.runsOf(id), 1);
    }
}

TEST(Routes, AStreamGoesOnElsewhereWithoutALostOrDoubledEvent)
{
    RouteFleet fleet(1, 3);
    fleet.waitReady();
    // Before, it may repeat once only.
    fleet.waitKnown();
    // A new process has no repeats: it earns the two that the stream needs.
    for (int i = 0; i < 12; i++) {
        EXPECT_EQ(fleet.caller.call(fleet.request(1, "/safe/1", fmt::format("earned-{}", i)))->status, 200);
    }
    Json::Value breaking = settings("breakAfter", 4);
    breaking["events"] = 10;
    for (const char *worker : {"worker-1", "worker-2", "worker-3"}) {
        fleet.controlWorker(worker, breaking);
    }
    const auto call = fleet.caller.call(fleet.request(1, "/stream/1", "id"));
    EXPECT_EQ(call->body, streamOf("id", 10));
    EXPECT_TRUE(isWhole(call));
    EXPECT_EQ(fleet.runsOf("id"), 3);
}

TEST(Routes, ASilentServersRequestsAreServedElsewhere)
{
    RouteFleet fleet(1, 2);
    fleet.waitReady();
    fleet.waitKnown();
    fleet.controlWorker("worker-1", settings("silent", true));
    constexpr int Calls = 12;
    for (int i = 0; i < Calls; i++) {
        EXPECT_EQ(fleet.caller.call(fleet.request(1, "/safe/1", fmt::format("id-{}", i)))->status, 200) << i;
    }
    EXPECT_EQ(fleet.allRuns().size(), static_cast<std::size_t>(Calls));
}

TEST(Routes, AStreamThatMayNotResumeEndsVisiblyUnfinished)
{
    RouteFleet fleet(1, 2);
    fleet.waitReady();
    for (const char *worker : {"worker-1", "worker-2"}) {
        fleet.controlWorker(worker, settings("breakAfter", 2));
    }
    const auto call = fleet.caller.call(fleet.request(1, "/single/1", "id"));
    EXPECT_EQ(call->body, streamOf("id", 2));
    EXPECT_FALSE(isWhole(call));
    EXPECT_EQ(fleet.runsOf("id"), 1);
}

TEST(Routes, AKilledVmServesAgainAtOnceAndAFullFleetSaysNotRun)
{
    RouteFleet fleet(2, 1);
    fleet.waitReady();
    fleet.entry(1).signal(SIGKILL);
    fleet.entry(1).wait();
    fleet.addEntry(1);
    fleet.waitReady();
    EXPECT_EQ(fleet.caller.call(fleet.request(1, "/once/1", "id"))->status, 200);
    fleet.controlWorker("worker-1", settings("full", true));
    const auto refused = fleet.caller.call(fleet.request(1, "/once/1", "full"));
    EXPECT_EQ(refused->status, 503);
    EXPECT_EQ(fleet.runsOf("full"), 0);
}

TEST(Routes, AServerThatStartsAgainUnderItsNameGetsWork)
{
    RouteFleet fleet(2, 1);
    fleet.waitReady();
    constexpr std::int64_t FirstStart = 1'789'532'221'022;
    const auto isServed = [&](int vm, const std::string &id) {
        return fleet.caller.call(fleet.request(vm, "/safe/1", id))->status == 200;
    };
    fleet.listWorker("worker-1", "draining", FirstStart);
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return !isServed(vm, "before"); }, "it leaves"));
    }
    fleet.restartWorker("worker-1");
    fleet.listWorker("worker-1", "ready", FirstStart + 1);
    for (int vm = 1; vm <= 2; vm++) {
        EXPECT_TRUE(fleet.caller.waitUntil([&] { return isServed(vm, "after"); }, "the new start serves"));
    }
}

TEST(Routes, AnEntryThatCannotBeReadTakesOnlyItsOwnServerOut)
{
    RouteFleet fleet(1, 2);
    fleet.waitReady();
    fleet.listUnreadable("worker-1", R"({"service":"service","address":"127.0.0.1:1","zone":"zone-0","slots":16,"state":"resting"})");
    fleet.listUnreadable("stranger", "\xff\xfe");
    int used = -1;
    const auto isOut = [&] {
        const int before = static_cast<int>(fleet.controlWorker("worker-1")["runs"].size());
        for (int i = 0; i < 8; i++) {
            EXPECT_EQ(fleet.caller.call(fleet.request(1, "/once/1", fmt::format("probe-{}-{}", before, i)))->status, 200);
        }
        used = static_cast<int>(fleet.controlWorker("worker-1")["runs"].size());
        return used == before;
    };
    EXPECT_TRUE(fleet.caller.waitUntil(isOut, "it gets no more work"));
    fleet.listWorker("worker-1", "ready");
    EXPECT_TRUE(fleet.caller.waitUntil([&] { return !isOut(); }, "its own entry brings it back"));
}

std::vector<std::string> oddEntries()
{
    const auto entry = [](const std::string &address, const std::string &slots, const std::string &more) {
        return R"({"service":"service","zone":"zone-0","state":"ready","address":")" + address + R"(","slots":)" + slots + more + "}";
    };
    constexpr std::size_t Depth = 20'000;
    const std::string nested = std::string(Depth, '[') + std::string(Depth, ']');
    return {nested,
        entry("127.0.0.1:1", "16", ",\"sequence\":" + nested),
        entry("127.0.0.1:1", "7171717171717171717171", ""),
        entry("127.0.0.1:1", "1e999", ""),
        entry("127.0.0.1:1", "16", ",\"born\":7171717171717171717171"),
        entry("127.0.0.1:1", "16", ",\"leaves_ms\":-1e300"),
        entry("127.0.0.1:0", "16", ""),
        entry("127.0.0.1:65536", "16", ""),
        entry("127.0.0.1:71717171717171717171", "16", ""),
        entry("127.0.0.1:-1", "16", "")};
}

// Guards against one odd entry of another writer that ends the processes that read the list, or stops them from following it.
TEST(Routes, OddEntriesStopNoVmFromFollowingTheList)
{
    RouteFleet fleet(2, 1);
    fleet.waitReady();
    const std::vector<std::string> entries = oddEntries();
    for (std::size_t i = 0; i < entries.size(); i++) {
        fleet.listUnreadable(fmt::format("odd-{}", i), entries[i]);
    }
    // The first reads the entries as changes, the second with the whole list.
    fleet.entry(2).signal(SIGKILL);
    fleet.entry(2).wait();
    fleet.addEntry(2);
    fleet.waitReady();
    fleet.addWorker("worker-2");
    for (int vm = 1; vm <= 2; vm++) {
        int probes = 0;
        const auto isUsed = [&] {
            const auto call = fleet.caller.call(fleet.request(vm, "/once/1", fmt::format("probe-{}-{}", vm, probes++)));
            return http::headerValue(call->headers, "X-Response-Signature").starts_with("worker-2");
        };
        EXPECT_TRUE(fleet.caller.waitUntil(isUsed, "a worker that is listed later is used"));
        for (int i = 0; i < 20; i++) {
            const auto call = fleet.caller.call(fleet.request(vm, "/once/1", fmt::format("vm-{}-{}", vm, i)));
            EXPECT_EQ(call->status, 200) << "no odd entry gets a request";
        }
        EXPECT_TRUE(fleet.entry(vm).isRunning());
        EXPECT_EQ(fleet.metric(vm, "servers_known"), 2) << "odd entries name no server";
    }
}

TEST(Routes, HangUpReloadsAndTheProcessGoesOn)
{
    RouteFleet fleet(1, 1);
    fleet.waitReady();
    fleet.entry(1).signal(SIGHUP);
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(fleet.caller.call(fleet.request(1, "/safe/1", fmt::format("id-{}", i)))->status, 200);
    }
    EXPECT_TRUE(fleet.entry(1).isRunning());
}

} // namespace
