#include "http/tests/spoiltjson.h"
#include "memberfleet.h"
#include "membership/health.h"
#include "membership/loadpoller.h"
#include "membership/vmlist.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <set>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

constexpr char Model[] = "proofreader";

/// The operations on one VM that can change the state of a backend server.
enum class Step { ListLive, ListLeaving, ListWithout, LocalMark, RemoteMark, Provisional, RemoveExpired, Count };

void apply(Step step, Members &members, ManualClock &clock)
{
    Vm vm = engineVm("engine-1");
    switch (step) {
    case Step::ListLive:
        members.applyList(std::vector<Vm>{vm});
        return;
    case Step::ListLeaving:
        vm.state = VmState::Leaving;
        members.applyList(std::vector<Vm>{vm});
        return;
    case Step::ListWithout:
        members.applyList({});
        return;
    case Step::LocalMark:
        members.markLeaving(vm.instance);
        return;
    case Step::RemoteMark:
        members.applyRemoteMark(vm.instance, {});
        return;
    case Step::Provisional:
        members.addProvisional(vm);
        return;
    case Step::RemoveExpired:
        clock.advance(std::chrono::hours(2));
        members.removeExpired();
        return;
    case Step::Count:
        return;
    }
}

bool marksLeaving(Step step)
{
    return step == Step::ListLeaving || step == Step::LocalMark || step == Step::RemoteMark;
}

} // namespace

TEST(Members, NoOrderOfStepsMakesALeavingServerLiveAgain)
{
    constexpr int Length = 6;
    constexpr int Steps = static_cast<int>(Step::Count);
    const int sequences = static_cast<int>(std::pow(Steps, Length));
    for (int sequence = 0; sequence < sequences; sequence++) {
        ManualClock clock;
        const auto members = Members::create("entry-1", &clock);
        bool wasMarked = false;
        for (int i = 0, remaining = sequence; i < Length; i++, remaining /= Steps) {
            const auto step = static_cast<Step>(remaining % Steps);
            apply(step, *members, clock);
            wasMarked = wasMarked || marksLeaving(step);
            ASSERT_EQ(members->isLeaving("engine-1"), wasMarked) << "sequence " << sequence << " step " << i;
            ASSERT_TRUE(!wasMarked || members->backends(VmRole::Model, Model).empty()) << "sequence " << sequence << " step " << i;
        }
    }
}

TEST(Members, MarksAreDroppedADayAfterTheVmLeavesTheList)
{
    ManualClock clock;
    const auto members = Members::create("entry-1", &clock);
    const std::vector<Vm> listed{engineVm("engine-1")};
    members->applyList(listed);
    members->markLeaving("engine-1");
    for (int hour = 0; hour < 48; hour++) {
        clock.advance(std::chrono::hours(1));
        members->applyList(listed);
        members->removeExpired();
    }
    EXPECT_TRUE(members->isLeaving("engine-1"));
    members->applyList({});
    clock.advance(std::chrono::hours(25));
    members->removeExpired();
    EXPECT_EQ(members->markCount(), 0U);
}

// Guards against a value of an unexpected type in one VM's entry that ends the process of each VM that reads the list.
TEST(Members, OddValuesInAListAreSurvived)
{
    const std::string entry = R"({"instance":"engine-1","address":"127.0.0.1","zone":"z","region":"r","role":"model","state":"live","port":80,"peerPort":81,)"
                              R"("machineClass":"m","microsPerHour":5,"reclaimable":true,"checksFencing":false,"serves":["a","b"]})";
    ASSERT_TRUE(vmFromJson(*http::parseJson(entry)));
    http::forEachSpoiltText(entry, [](const std::string &text) { vmFromJson(*http::parseJson("[" + text + "]")->begin()); });
}

TEST(Members, ReadingTheSameListTwiceIsNoChange)
{
    const auto members = Members::create("entry-1");
    int changes = 0;
    members->onChange([&] { changes++; });
    const std::vector<Vm> listed{engineVm("engine-1")};
    members->applyList(listed);
    members->applyList(listed);
    EXPECT_EQ(changes, 1);
}

TEST(Members, AnUnreachableServerIsLeftOutUnlessItIsTheOnlyOne)
{
    ManualClock clock;
    const auto members = Members::create("entry-1", &clock);
    members->applyList(std::vector<Vm>{engineVm("engine-1"), engineVm("engine-2")});
    members->setUnreachable("engine-1", clock.wallNow() + std::chrono::seconds(10));
    ASSERT_EQ(members->backends(VmRole::Model, Model).size(), 1U);
    EXPECT_EQ(members->backends(VmRole::Model, Model)[0].instance, "engine-2");
    members->setUnreachable("engine-2", clock.wallNow() + std::chrono::seconds(10));
    EXPECT_EQ(members->backends(VmRole::Model, Model).size(), 2U);
    clock.advance(std::chrono::seconds(11));
    EXPECT_FALSE(members->isUnreachable("engine-1"));
}

TEST(RumourStore, TheOrderOfOffersDoesNotMatter)
{
    const WallTime now;
    std::vector<Rumour> rumours;
    for (const std::uint64_t version : {1, 2, 3}) {
        rumours.push_back({"health", "entry-1", version, fmt::format("{}", version), now + std::chrono::hours(1)});
        rumours.push_back({"leaving", "engine-1", version, "", now + std::chrono::hours(1)});
    }
    std::vector<std::size_t> order(rumours.size());
    std::iota(order.begin(), order.end(), 0);
    std::set<std::uint64_t> digests;
    do {
        RumourStore store;
        for (const std::size_t i : order) {
            store.offer(rumours[i], now);
            store.offer(rumours[i], now);
        }
        digests.insert(store.digest(now));
        ASSERT_EQ(store.find("health", "entry-1")->payload, "3");
    } while (std::next_permutation(order.begin(), order.end()));
    EXPECT_EQ(digests.size(), 1U);
}

TEST(Health, StatusNeverDecreasesAndAPartitionedVmChangesNone)
{
    const FailureThresholds thresholds;
    for (unsigned missed = 0; missed <= thresholds.missedRoundsToSuspect + 1; missed++) {
        for (int bits = 0; bits < 8; bits++) {
            for (std::uint64_t version = 0; version < 6; version++) {
                ProbeRecord record;
                record.missedRounds = missed;
                ProbeEvidence evidence;
                evidence.silentFor = (bits & 1) != 0 ? thresholds.silenceToSuspect : Duration(0);
                evidence.statusAge = (bits & 2) != 0 ? thresholds.suspicionTimeout : Duration(0);
                evidence.selfIsPartitioned = (bits & 4) != 0;
                const HealthStatus held = statusOf(version);
                const std::uint64_t next = versionOf(nextStatus(record, held, evidence, thresholds));
                const bool mayChange = !evidence.selfIsPartitioned && missed >= thresholds.missedRoundsToSuspect && (bits & 1) != 0;
                const bool isDue = held.health == Health::Alive || (held.health == Health::Suspected && (bits & 2) != 0);
                EXPECT_EQ(next, version + (mayChange && isDue ? 1 : 0));
                EXPECT_EQ(statusOf(next).incarnation, held.incarnation);
                const HealthStatus refuted{held.incarnation + 1, Health::Alive};
                EXPECT_GT(versionOf(refuted), next);
            }
        }
    }
}

TEST(Unreachable, TwoReportersOrThreeRefusalsConfirm)
{
    const WallTime now(std::chrono::hours(1));
    const auto single = nextUnreachableReport("entry-1", {1, now}, std::nullopt, now);
    ASSERT_TRUE(single);
    EXPECT_FALSE(single->confirmed);
    EXPECT_FALSE(nextUnreachableReport("entry-1", {2, now}, single, now)) << "a second refusal on the same VM must not confirm";
    const auto second = nextUnreachableReport("entry-2", {1, now}, single, now);
    ASSERT_TRUE(second && second->confirmed);
    EXPECT_GT(second->version, single->version);
    const auto third = nextUnreachableReport("entry-1", {3, now}, single, now);
    ASSERT_TRUE(third && third->confirmed);
    EXPECT_FALSE(nextUnreachableReport("entry-1", {3, now}, second, now)) << "the report is confirmed already";
    EXPECT_TRUE(nextUnreachableReport("entry-1", {1, now}, second, second->until)) << "the held report has expired";
}

TEST(VmList, AllVmsTogetherReadItAtAConstantRate)
{
    EXPECT_EQ(listReadInterval(1), std::chrono::milliseconds(500));
    EXPECT_EQ(listReadInterval(9), std::chrono::milliseconds(2250));
    EXPECT_EQ(listReadInterval(380), std::chrono::seconds(95));
    EXPECT_EQ(listReadInterval(10000), std::chrono::minutes(2));
}

TEST(VmList, VmsStartedAtOnceReadAtDifferentTimes)
{
    constexpr std::size_t Entries = 380;
    constexpr Duration Watched = std::chrono::minutes(10);
    std::vector<Duration> readTimes;
    for (std::size_t i = 0; i < Entries; i++) {
        Duration at{0};
        for (std::uint64_t readNumber = 1; at < Watched; readNumber++) {
            readTimes.push_back(at);
            at += listReadDelay(Entries, fmt::format("entry-{}", i), readNumber);
        }
    }
    std::sort(readTimes.begin(), readTimes.end());
    Duration longestGap{0};
    for (std::size_t i = 1; i < readTimes.size(); i++) {
        longestGap = std::max(longestGap, readTimes[i] - readTimes[i - 1]);
    }
    const double perSecond = static_cast<double>(readTimes.size()) / 600;
    fmt::print("380 VMs: {:.2f} reads per second, longest gap {} ms\n", perSecond, longestGap.count() / 1000);
    EXPECT_LE(perSecond, 6);
    EXPECT_LE(longestGap, std::chrono::seconds(3));
}

TEST(Members, AFailedProvisionalVmIsRemoved)
{
    ManualClock clock;
    const auto members = Members::create("entry-4", &clock);
    Vm live;
    live.instance = "entry-2";
    live.role = VmRole::Entry;
    members->applyList(std::span(&live, 1));
    int changes = 0;
    members->onChange([&] { changes++; });
    // An old rumour announces a VM that the list no longer shows.
    Vm ended = live;
    ended.instance = "entry-1";
    members->addProvisional(ended);
    EXPECT_NE(members->find("entry-1"), nullptr);
    members->setHealth("entry-1", Health::Suspected);
    EXPECT_NE(members->find("entry-1"), nullptr) << "a suspected VM may only be slow";
    members->setHealth("entry-1", Health::Failed);
    EXPECT_EQ(members->find("entry-1"), nullptr);
    EXPECT_EQ(changes, 2);
    // A VM that the list shows stays, whatever the heartbeats report. A failed VM that is announced again is added again.
    members->setHealth("entry-2", Health::Failed);
    EXPECT_NE(members->find("entry-2"), nullptr);
    members->addProvisional(ended);
    EXPECT_NE(members->find("entry-1"), nullptr);
}

// Guards against a value of an unexpected type in a server's load report that ends the process.
TEST(LoadReports, OddValuesAreSurvived)
{
    const std::string report = R"({"running":3,"waiting":1,"kvUsed":0.5,"leaving":false})";
    ASSERT_TRUE(loadReportFromJson(*http::parseJson(report)));
    http::forEachSpoiltText(report, [](const std::string &text) { loadReportFromJson(*http::parseJson("[" + text + "]")->begin()); });
}
