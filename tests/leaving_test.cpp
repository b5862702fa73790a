#include "support/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <csignal>

using namespace cardamomlift;
using test::Fleet;

namespace {

constexpr int Tokens = 5;
constexpr int WaveSize = 6;

/// What the status page of entry VM @p entry says of @p vm; null if it does not show it.
Json::Value believed(Fleet &fleet, const std::string &entry, const std::string &vm)
{
    const Json::Value status = fleet.status(entry);
    for (const Json::Value &shown : status["vms"]) {
        if (shown["instance"] == vm) {
            return shown;
        }
    }
    return {};
}

/// Runs waves of chats at @p entries; all must be answered whole.
void runChats(Fleet &fleet, const std::vector<std::string> &entries, int waves)
{
    for (int wave = 0; wave < waves; wave++) {
        std::vector<test::TestCallPtr> calls;
        for (int i = 0; i < WaveSize; i++) {
            const std::string &entry = entries[static_cast<std::size_t>(i) % entries.size()];
            calls.push_back(fleet.caller.start(fleet.chat(entry, fmt::format("wave {} chat {}", wave, i), Tokens)));
        }
        fleet.caller.waitEnded(calls, "the end of a wave");
        for (const auto &call : calls) {
            EXPECT_TRUE(call->isWhole()) << call->body;
        }
    }
}

/// Runs chats until every one of @p entries shows @p vm as leaving.
void runChatsUntilMarked(Fleet &fleet, const std::vector<std::string> &entries, const std::string &vm)
{
    constexpr int Most = 200;
    for (int i = 0; i < Most; i++) {
        const bool marked = std::all_of(entries.begin(), entries.end(), [&](const auto &entry) { return believed(fleet, entry, vm)["leaving"].asBool(); });
        if (marked) {
            return;
        }
        runChats(fleet, entries, 1);
    }
    ADD_FAILURE() << "Not all of the entry VMs learned that " << vm << " is leaving.";
}

/// Adds an entry VM that reads the platform's list through @p proxy.
test::Process &addBehindProxy(Fleet &fleet, const std::string &entry, const std::string &zone, int proxyPort)
{
    return fleet.addEntry(entry, zone, [&](Json::Value &settings) { settings["platform"]["vmListEndpoint"] = fmt::format("http://127.0.0.1:{}", proxyPort); });
}

/// Three entry VMs, of which only the first reads the platform's list once cutLists() was called.
struct OneReader {
    Fleet fleet{1};
    int port = 0;
    test::Process &proxy = fleet.addProxy(fleet.platform->port(), port);

    OneReader()
    {
        addBehindProxy(fleet, "entry-2", "zone-2", port);
        addBehindProxy(fleet, "entry-3", "zone-3", port);
        fleet.addEngine("engine-1", "zone-1");
        fleet.addEngine("engine-2", "zone-2");
        fleet.waitReady();
    }

    void cutLists()
    {
        fleet.setCut(proxy, true);
    }
};

} // namespace

TEST(Leaving, WhatOneVmReadsStopsTheDispatchOfAll)
{
    OneReader system;
    Fleet &fleet = system.fleet;
    runChats(fleet, fleet.entryNames, 5);
    EXPECT_GT(fleet.engineTotal("engine-1", "started"), 0);
    system.cutLists();
    fleet.reclaim("engine-1", 60);
    const std::int64_t atNotice = fleet.engineTotal("engine-1", "started");
    runChatsUntilMarked(fleet, fleet.entryNames, "engine-1");
    const std::int64_t atMark = fleet.engineTotal("engine-1", "started");
    runChats(fleet, fleet.entryNames, 10);
    EXPECT_EQ(fleet.engineTotal("engine-1", "started"), atMark);
    for (const std::string &entry : fleet.entryNames) {
        const Json::Value shown = believed(fleet, entry, "engine-1");
        EXPECT_EQ(shown["leavingReporter"].asString(), "entry-1");
        EXPECT_EQ(shown["leavingSource"].asString(), "list");
        fmt::print("{} knew {} ms after the first sight\n", entry, shown["leavingKnownAtMs"].asInt64() - shown["leavingSeenAtMs"].asInt64());
    }
    fmt::print("engine-1 started {} requests between the notice and the mark at all VMs, none after\n", atMark - atNotice);
}

TEST(Leaving, OneRefusalOfTheEngineIsEnoughForAVm)
{
    Fleet fleet(3);
    fleet.addEngine("engine-1", "zone-1");
    fleet.addEngine("engine-2", "zone-2");
    fleet.waitReady();
    Json::Value leaving;
    leaving["leaving"] = true;
    fleet.caller.post(fleet.processes["engine-1"]->port(), "/control", leaving);
    runChatsUntilMarked(fleet, fleet.entryNames, "engine-1");
    const std::int64_t refused = fleet.engineTotal("engine-1", "refusedLeaving");
    EXPECT_LE(refused, WaveSize) << "requests of the first wave only";
    runChats(fleet, fleet.entryNames, 10);
    EXPECT_EQ(fleet.engineTotal("engine-1", "refusedLeaving"), refused);
}

TEST(Leaving, StaysWhenTheListForgetsTheServerAndShowsItAgain)
{
    // One entry VM: what others tell of a server is kept for some minutes after the list forgot it.
    Fleet fleet(1);
    fleet.addEngine("engine-1", "zone-1");
    fleet.addEngine("engine-2", "zone-2");
    fleet.waitReady();
    fleet.reclaim("engine-1", 60);
    runChatsUntilMarked(fleet, fleet.entryNames, "engine-1");
    fleet.forget("engine-1");
    for (const std::string &entry : fleet.entryNames) {
        fleet.waitStatus(
            entry, [&](const Json::Value &status) { return status["vms"].size() == 2; }, "the list without the server");
    }
    fleet.announce("engine-1", "model", "zone-1", fleet.processes["engine-1"]->port());
    const std::int64_t before = fleet.engineTotal("engine-1", "started");
    for (const std::string &entry : fleet.entryNames) {
        fleet.waitStatus(
            entry, [&](const Json::Value &status) { return status["vms"].size() == 3; }, "the list with the server again");
        EXPECT_TRUE(believed(fleet, entry, "engine-1")["leaving"].asBool());
    }
    runChats(fleet, fleet.entryNames, 5);
    EXPECT_EQ(fleet.engineTotal("engine-1", "started"), before);
}

TEST(Leaving, AFrozenEntryVmIsNoticedAndLearnsTheMarkWhenItWakes)
{
    OneReader system;
    Fleet &fleet = system.fleet;
    system.cutLists();
    fleet.processes["entry-3"]->signal(SIGSTOP);
    fleet.reclaim("engine-1", 60);
    const std::vector<std::string> awake{"entry-1", "entry-2"};
    runChatsUntilMarked(fleet, awake, "engine-1");
    for (const std::string &entry : awake) {
        fleet.waitStatus(
            entry, [&](const Json::Value &) { return believed(fleet, entry, "entry-3")["health"] != "alive"; }, "a doubt of the frozen VM");
    }
    fleet.processes["entry-3"]->signal(SIGCONT);
    fleet.waitStatus(
        "entry-3", [&](const Json::Value &) { return believed(fleet, "entry-3", "engine-1")["leaving"].asBool(); }, "the mark");
    for (const std::string &entry : awake) {
        fleet.waitStatus(
            entry, [&](const Json::Value &) { return believed(fleet, entry, "entry-3")["health"] == "alive"; }, "the VM that woke");
    }
}

TEST(Leaving, AVmThatOthersCanNotCallAsksForTheMarkItself)
{
    OneReader system;
    Fleet &fleet = system.fleet;
    int peerPort = 0;
    test::Process &peerProxy = fleet.addProxy(fleet.processes["entry-2"]->port("peers"), peerPort);
    // From now on the others reach entry-2 through a proxy only, which refuses.
    fleet.setCut(peerProxy, true);
    fleet.announce("entry-2", "entry", "zone-2", fleet.processes["entry-2"]->port("callers"), peerPort);
    runChats(fleet, fleet.entryNames, 2);
    system.cutLists();
    fleet.reclaim("engine-1", 60);
    runChatsUntilMarked(fleet, fleet.entryNames, "engine-1");
    const std::int64_t atMark = fleet.engineTotal("engine-1", "started");
    runChats(fleet, fleet.entryNames, 5);
    EXPECT_EQ(fleet.engineTotal("engine-1", "started"), atMark);
}

TEST(Leaving, NineVmsStopForServersThatLeaveOneAfterAnother)
{
    constexpr int Leavers = 6;
    Fleet fleet(9);
    test::Process &engines = fleet.addEngine("engine", "zone-1", {"--count", std::to_string(Leavers + 2)});
    fleet.waitReady();
    fleet.forget("engine");
    for (const Json::Value &engine : engines.ready()["engines"]) {
        fleet.announce(engine["instance"].asString(), "model", "zone-1", engine["port"].asInt());
    }
    const auto showsAll = [](const Json::Value &status) {
        const Json::Value &vms = status["vms"];
        return std::count_if(vms.begin(), vms.end(), [](const Json::Value &vm) { return vm["instance"].asString().starts_with("engine-"); }) == Leavers + 2;
    };
    for (const std::string &entry : fleet.entryNames) {
        fleet.waitStatus(entry, showsAll, "all engines");
    }
    std::vector<std::int64_t> afterNotice;
    std::vector<std::int64_t> afterSight;
    for (int i = 0; i < Leavers; i++) {
        const Json::Value &engine = engines.ready()["engines"][i];
        const std::string name = engine["instance"].asString();
        const std::int64_t notice = SystemClock().wallNow().time_since_epoch().count() / 1000;
        fleet.reclaim(name, 60);
        runChatsUntilMarked(fleet, fleet.entryNames, name);
        const auto started = [&] {
            return fleet.caller.get(engine["port"].asInt(), "/totals")->json()["started"].asInt();
        };
        const int atMark = started();
        runChats(fleet, fleet.entryNames, 2);
        EXPECT_EQ(started(), atMark);
        for (const std::string &entry : fleet.entryNames) {
            const Json::Value shown = believed(fleet, entry, name);
            afterNotice.push_back(shown["leavingKnownAtMs"].asInt64() - notice);
            afterSight.push_back(shown["leavingKnownAtMs"].asInt64() - shown["leavingSeenAtMs"].asInt64());
        }
    }
    for (auto *samples : {&afterNotice, &afterSight}) {
        std::sort(samples->begin(), samples->end());
        const std::size_t size = samples->size();
        fmt::print("{} samples in ms: p50 {}, p95 {}, longest {}\n", size, (*samples)[size / 2], (*samples)[size * 95 / 100], samples->back());
    }
}
