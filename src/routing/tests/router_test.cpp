#include "routing/choose.h"
#include "routing/router.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

using namespace cardamomlift;
using namespace cardamomlift::routing;

namespace {

membership::Vm makeEngine(int number, const std::string &zone)
{
    membership::Vm vm;
    vm.instance = "engine-" + std::to_string(number);
    vm.role = membership::VmRole::Model;
    vm.zone = zone;
    vm.serves = {"model"};
    return vm;
}

/// The router of one entry VM, with engines in two zones.
struct RouterHarness {
    explicit RouterHarness(int engines, const std::string &self = "entry-1")
    {
        for (int i = 0; i < engines; i++) {
            list.push_back(makeEngine(i, "zone-" + std::to_string(i % 2)));
        }
        members = membership::Members::create(self);
        members->applyList(list);
        router = Router::create(clock, members, backoffs);
        criteria.name = "model";
        criteria.customer = "customer";
        criteria.promptTokens = 2000;
    }

    ManualClock clock;
    std::vector<membership::Vm> list;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<backoff::BackoffTracker> backoffs = backoff::BackoffTracker::create(clock);
    std::shared_ptr<Router> router;
    RouteCriteria criteria;
};

} // namespace

TEST(Router, AvoidsServersAfterAFailure)
{
    RouterHarness harness(6);
    for (const char *failed : {"engine-0", "engine-2", "engine-4"}) {
        harness.router->started(failed, "customer");
        harness.router->finished(failed, AttemptEnd::Failed, "customer");
    }
    for (int i = 0; i < 100; i++) {
        // Healthy servers are chosen even when they are busy.
        const auto vm = harness.router->choose(harness.criteria);
        ASSERT_TRUE(vm);
        EXPECT_EQ(vm->zone, "zone-1");
        harness.router->started(vm->instance, "customer");
    }
    // After the backoff a first attempt probes a failed server; a retry does not.
    harness.clock.advance(std::chrono::seconds(2));
    EXPECT_EQ(harness.router->choose(harness.criteria)->zone, "zone-0");
    harness.criteria.exclude = {"engine-1"};
    EXPECT_EQ(harness.router->choose(harness.criteria)->zone, "zone-1");
}

TEST(Router, SamePrefixGoesToTheSameServersFromEveryEntryVm)
{
    std::set<std::string> chosen;
    for (int entry = 0; entry < 8; entry++) {
        RouterHarness harness(100, "entry-" + std::to_string(entry));
        harness.criteria.prefixHash = 12345;
        chosen.insert(harness.router->choose(harness.criteria)->instance);
    }
    EXPECT_EQ(chosen.size(), 1U);
}

TEST(Router, ABurstOfOneCustomerIsSpread)
{
    RouterHarness harness(12);
    harness.criteria.prefixHash = 12345;
    std::map<std::string, int> perServer;
    for (int i = 0; i < 60; i++) {
        const auto vm = harness.router->choose(harness.criteria);
        harness.router->started(vm->instance, "customer");
        perServer[vm->instance]++;
    }
    EXPECT_GE(perServer.size(), 8U);
    for (const auto &[instance, count] : perServer) {
        EXPECT_LE(count, 30) << instance;
    }
}

TEST(Router, LeavingServersAreNotChosen)
{
    RouterHarness harness(6);
    for (const char *leaving : {"engine-0", "engine-2", "engine-4"}) {
        harness.members->markLeaving(leaving);
    }
    for (int i = 0; i < 50; i++) {
        EXPECT_EQ(harness.router->choose(harness.criteria)->zone, "zone-1");
    }
    for (const char *leaving : {"engine-1", "engine-3", "engine-5"}) {
        harness.members->markLeaving(leaving);
    }
    EXPECT_FALSE(harness.router->choose(harness.criteria));
}

TEST(Choose, AStaleIdleReportDoesNotAttractAllRequests)
{
    // Server 0 reported no load, but this VM alone has started five requests there since.
    std::vector<Candidate> candidates(2);
    candidates[0].report = LoadReport{0, 0, 0};
    candidates[0].recentStarts = 5;
    candidates[0].fleetStartsPerLocalStart = fleetStartsPerLocalStart(8);
    candidates[1].report = LoadReport{8, 0, 0};
    EXPECT_EQ(choose(candidates, RouteCriteria()), 1U);
}

TEST(Choose, PriceCountsForDeferrableRequests)
{
    std::vector<Candidate> candidates(2);
    candidates[0].microsPerHour = 1000;
    candidates[0].inFlight = 5;
    candidates[1].microsPerHour = 2000;
    RouteCriteria criteria;
    criteria.urgency = Urgency::Deferrable;
    EXPECT_EQ(choose(candidates, criteria), 0U);
    criteria.urgency = Urgency::Urgent;
    EXPECT_EQ(choose(candidates, criteria), 1U);
}

TEST(PrefixHints, LateObservationsDoNotReplaceNewerOnes)
{
    ManualClock clock;
    PrefixHints hints;
    const TimePoint start = clock.now();
    clock.advance(std::chrono::seconds(10));
    hints.note("engine-1", 7, 0.2, clock.now());
    hints.note("engine-1", 7, 0.9, start);
    EXPECT_DOUBLE_EQ(*hints.share("engine-1", 7, clock.now()), 0.2);
    clock.advance(std::chrono::seconds(60));
    EXPECT_NEAR(*hints.share("engine-1", 7, clock.now()), 0.1, 1e-9);
    EXPECT_FALSE(hints.share("engine-2", 7, clock.now()));
    for (std::uint64_t i = 0; i < 40000; i++) {
        hints.note("engine-3", i, 1, clock.now());
    }
    EXPECT_LE(hints.size(), 16384U);
}

TEST(Router, AnUnreachableServerIsAvoidedUnlessAllAre)
{
    RouterHarness harness(2);
    const WallTime until = harness.clock.wallNow() + std::chrono::seconds(10);
    harness.members = membership::Members::create("entry-1", &harness.clock);
    harness.members->applyList(harness.list);
    harness.router = Router::create(harness.clock, harness.members);
    harness.members->setUnreachable("engine-0", until);
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-1");
        harness.router->started("engine-1", "customer");
    }
    harness.members->setUnreachable("engine-1", until);
    EXPECT_TRUE(harness.router->choose(harness.criteria));
    harness.clock.advance(std::chrono::seconds(11));
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-0");
}

TEST(Router, AReportDecaysWithItsAge)
{
    RouterHarness harness(2);
    harness.router->noteLoad("engine-0", {10, 0, 0}, harness.clock.now());
    harness.router->noteLoad("engine-1", {0, 0, 0}, harness.clock.now());
    for (int i = 0; i < 2; i++) {
        harness.router->started("engine-1", "customer");
    }
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-1");
    // The ten requests were reported four seconds ago, while the two of this VM are certain.
    harness.clock.advance(std::chrono::seconds(4));
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-0");
}

TEST(Router, OneAttemptPerSecondProbesAFailedServer)
{
    RouterHarness harness(2);
    harness.router->noteLoad("engine-1", {30, 0, 0}, harness.clock.now());
    harness.router->started("engine-0", "customer");
    harness.router->finished("engine-0", AttemptEnd::Failed, "customer");
    for (int second = 0; second < 3; second++) {
        harness.clock.advance(std::chrono::seconds(2));
        harness.router->noteLoad("engine-1", {30, 0, 0}, harness.clock.now());
        int probes = 0;
        for (int i = 0; i < 10; i++) {
            const auto vm = harness.router->choose(harness.criteria);
            harness.router->started(vm->instance, "other");
            probes += vm->instance == "engine-0" ? 1 : 0;
        }
        EXPECT_EQ(probes, 1);
    }
}

// Guards against a server that backs off as the last resort of any rule.
TEST(Router, AServerThatBacksOffIsNotChosen)
{
    RouterHarness harness(2);
    harness.backoffs->begin("engine-0", std::chrono::seconds(3));
    harness.router->started("engine-1", "customer");
    harness.router->finished("engine-1", AttemptEnd::Failed, "customer");
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-1") << "it failed, but accepts requests";
    EXPECT_EQ(harness.router->availableServers(membership::VmRole::Model, "model", {}), 1U);
    EXPECT_FALSE(harness.router->backoffLeft(membership::VmRole::Model, "model", {}));
    harness.backoffs->begin("engine-1", std::chrono::seconds(2));
    EXPECT_FALSE(harness.router->choose(harness.criteria));
    EXPECT_EQ(harness.router->backoffLeft(membership::VmRole::Model, "model", {}), std::chrono::seconds(2));
    const std::vector<std::string> last{"engine-1"};
    EXPECT_EQ(harness.router->backoffLeft(membership::VmRole::Model, "model", last), std::chrono::seconds(3));
    harness.clock.advance(std::chrono::seconds(2));
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-1");
}

TEST(Router, ABackoffIsNoFailureAndItsServerIsUsedRightAfterIt)
{
    RouterHarness harness(1);
    harness.router->started("engine-0", "customer");
    harness.backoffs->begin("engine-0", std::chrono::milliseconds(100));
    harness.router->finished("engine-0", AttemptEnd::Refused, "customer");
    harness.clock.advance(std::chrono::milliseconds(100));
    harness.criteria.exclude = {"engine-1"};
    EXPECT_EQ(harness.router->choose(harness.criteria)->instance, "engine-0");
}

TEST(Router, AServerGetsOneRequestFirstAfterItsBackoff)
{
    RouterHarness harness(2);
    harness.backoffs->begin("engine-0", std::chrono::seconds(1));
    harness.clock.advance(std::chrono::seconds(1));
    std::map<std::string, int> starts;
    for (int i = 0; i < 6; i++) {
        const auto vm = harness.router->choose(harness.criteria);
        ASSERT_TRUE(vm);
        harness.router->started(vm->instance, "customer");
        starts[vm->instance]++;
    }
    EXPECT_EQ(starts["engine-0"], 1);
    EXPECT_EQ(starts["engine-1"], 5);
}
