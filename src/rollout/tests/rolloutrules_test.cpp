#include "http/tests/spoiltjson.h"
#include "rollout/ordercache.h"
#include "rollout/rolloutplan.h"
#include "rollout/trialslice.h"
#include "rollout/versionrules.h"

#include <gtest/gtest.h>

#include <set>

namespace cardamomlift::rollout {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Order order(std::uint64_t id = 10, const std::string &to = "v2")
{
    return {"service", to, seconds(12), {1, id}};
}

Record record(Phase phase, std::uint64_t id = 10)
{
    Record result;
    result.orderId = {1, id};
    result.service = "service";
    result.toVersion = "v2";
    result.phase = phase;
    result.startedAt = seconds(100);
    result.endsAt = seconds(112);
    result.phaseStartedAt = seconds(100);
    result.excluded = {"v0"};
    result.rowVersion = {1, 20};
    return result;
}

Verdict verdictOf(Finding finding)
{
    Verdict verdict;
    verdict.finding = finding;
    return verdict;
}

/// The phase of the next record; empty if nothing changes.
std::optional<Phase> next(const Record &current, Finding finding, Duration storeNow, std::uint64_t openAtOtherVersions = 0)
{
    const Order newest = order();
    PlanInput input;
    input.order = &newest;
    input.record = &current;
    input.verdict = verdictOf(finding);
    input.storeNow = storeNow;
    input.openAtOtherVersions = openAtOtherVersions;
    const auto result = nextRecord(input);
    return result ? std::optional(result->phase) : std::nullopt;
}

TEST(VersionRules, WithoutARolloutAllVersionsAreUsable)
{
    EXPECT_EQ(versionStateOf("v1", nullptr, nullptr), VersionState::Usable);
}

TEST(VersionRules, TheTargetOfAnOrderWithoutARecordIsExcluded)
{
    const Order newest = order();
    EXPECT_EQ(versionStateOf("v2", &newest, nullptr), VersionState::Excluded);
    EXPECT_EQ(versionStateOf("v1", &newest, nullptr), VersionState::Usable);
}

TEST(VersionRules, FollowThePhase)
{
    const Order newest = order();
    for (const auto &[phase, versionState] : {std::pair(Phase::Trial, VersionState::OnTrial),
             std::pair(Phase::Moving, VersionState::Preferred),
             std::pair(Phase::Succeeded, VersionState::Usable),
             std::pair(Phase::RolledBack, VersionState::Excluded)}) {
        const Record current = record(phase);
        EXPECT_EQ(versionStateOf("v2", &newest, &current), versionState);
        EXPECT_EQ(versionStateOf("v1", &newest, &current), VersionState::Usable);
        EXPECT_EQ(versionStateOf("v0", &newest, &current), VersionState::Excluded);
        // If the order was withdrawn, or this VM has not read it, the record decides.
        EXPECT_EQ(versionStateOf("v2", nullptr, &current), versionState);
    }
}

TEST(VersionRules, ALaterOrderEndsATrial)
{
    const Order later = order(30, "v3");
    const Record trial = record(Phase::Trial);
    EXPECT_EQ(versionStateOf("v2", &later, &trial), VersionState::Excluded);
    EXPECT_EQ(versionStateOf("v3", &later, &trial), VersionState::Excluded);
    const Record succeeded = record(Phase::Succeeded);
    EXPECT_EQ(versionStateOf("v2", &later, &succeeded), VersionState::Usable);
}

TEST(RolloutPlan, BeginsWithATrial)
{
    const Order newest = order();
    PlanInput input;
    input.order = &newest;
    input.storeNow = seconds(100);
    const auto started = nextRecord(input);
    ASSERT_TRUE(started);
    EXPECT_EQ(started->phase, Phase::Trial);
    EXPECT_EQ(started->endsAt, seconds(112));
    EXPECT_EQ(started->orderId.number, 10U);
}

TEST(RolloutPlan, TriesAsLongAsTheTimeLimitAllows)
{
    const Record trial = record(Phase::Trial);
    EXPECT_EQ(next(trial, Finding::Good, seconds(105)), std::nullopt);
    EXPECT_EQ(next(trial, Finding::Good, seconds(108)), Phase::Moving);
    EXPECT_EQ(next(trial, Finding::Inconclusive, seconds(109)), std::nullopt);
    EXPECT_EQ(next(trial, Finding::Inconclusive, seconds(110)), Phase::RolledBack);
}

TEST(RolloutPlan, RollsBackABadVersionAtOnce)
{
    EXPECT_EQ(next(record(Phase::Trial), Finding::Bad, seconds(101)), Phase::RolledBack);
    EXPECT_EQ(next(record(Phase::Moving), Finding::Bad, seconds(109)), Phase::RolledBack);
}

TEST(RolloutPlan, WaitsForOpenRequestsAtOtherVersions)
{
    Record moving = record(Phase::Moving);
    moving.phaseStartedAt = seconds(108);
    // Too early: the other VMs may not know of the phase yet.
    EXPECT_EQ(next(moving, Finding::Good, seconds(109)), std::nullopt);
    EXPECT_EQ(next(moving, Finding::Good, seconds(110), 3), std::nullopt);
    EXPECT_EQ(next(moving, Finding::Good, seconds(110)), Phase::Succeeded);
    EXPECT_EQ(next(moving, Finding::Good, otherVersionsStopAt(moving), 3), Phase::Succeeded);
}

TEST(RolloutPlan, TakesNoStepAfterTheFinalPhase)
{
    for (const Finding finding : {Finding::Inconclusive, Finding::Good, Finding::Bad}) {
        EXPECT_EQ(next(record(Phase::Succeeded), finding, seconds(111)), std::nullopt);
        EXPECT_EQ(next(record(Phase::RolledBack), finding, seconds(111)), std::nullopt);
    }
}

TEST(RolloutPlan, RecordsExcludedVersions)
{
    const std::vector<std::string> versions{"", "v1", "v2"};
    const Order newest = order();
    Record moving = record(Phase::Moving);
    PlanInput input;
    input.order = &newest;
    input.record = &moving;
    input.versions = versions;
    input.storeNow = seconds(111);
    const auto done = nextRecord(input);
    ASSERT_TRUE(done);
    EXPECT_EQ(done->excluded, (std::vector<std::string>{"v0", "v1"}));
    // A new order for an excluded version starts a new trial of it. A version whose trial was ended by another order is
    // excluded.
    const Record trial = record(Phase::Trial);
    const Order newOrder = order(30, "v0");
    input.order = &newOrder;
    input.record = &trial;
    const auto started = nextRecord(input);
    ASSERT_TRUE(started);
    EXPECT_EQ(started->phase, Phase::Trial);
    EXPECT_EQ(started->excluded, std::vector<std::string>{"v2"});
}

TEST(RolloutPlan, AWithdrawnOrderEndsItsTrial)
{
    const Record trial = record(Phase::Trial);
    PlanInput input;
    input.record = &trial;
    input.storeNow = seconds(101);
    const auto ended = nextRecord(input);
    ASSERT_TRUE(ended);
    EXPECT_EQ(ended->phase, Phase::RolledBack);
}

TEST(RolloutRecord, SurvivesEncodingAndDecoding)
{
    const Record written = record(Phase::Moving);
    Record read;
    ASSERT_TRUE(decodeRecord(encodeRecord(written), read));
    EXPECT_EQ(read.orderId, written.orderId);
    EXPECT_EQ(read.service, written.service);
    EXPECT_EQ(read.toVersion, written.toVersion);
    EXPECT_EQ(read.phase, written.phase);
    EXPECT_EQ(read.endsAt, written.endsAt);
    EXPECT_EQ(read.excluded, written.excluded);
    for (const char *bad :
        {"", "[]", "{}", R"({"order":1,"service":"s","toVersion":"v","phase":"other","startedAtUs":1,"endsAtUs":1,"phaseAtUs":1,"excluded":[]})"}) {
        EXPECT_FALSE(decodeRecord(bad, read)) << bad;
    }
}

TEST(OrderCache, KeepsTheNewestOrder)
{
    const auto cache = OrderCache::create();
    int notified = 0;
    cache->onOrder([&notified](const Order &) { notified++; });
    cache->put(order(20, "v3"));
    cache->put(order(10, "v2"));
    EXPECT_EQ(cache->find("service")->toVersion, "v3");
    EXPECT_EQ(notified, 1);
    cache->replaceAll({});
    EXPECT_EQ(cache->find("service"), nullptr);
}

TEST(TrialSlice, LoadsAServerAsFullTrafficWould)
{
    EXPECT_EQ(trialSlice(seconds(3), 112, 0.1).servers, 11U);
    EXPECT_TRUE(trialSlice(seconds(3), 112, 0.1).isOpen);
    // With four servers, a tenth of the requests is accumulated over two slices, so that one server gets over half its full
    // load.
    EXPECT_EQ(trialSlice(seconds(4), 4, 0.1).servers, 1U);
    EXPECT_TRUE(trialSlice(seconds(4), 4, 0.1).isOpen);
    EXPECT_FALSE(trialSlice(seconds(5), 4, 0.1).isOpen);
    EXPECT_NE(trialSlice(seconds(4), 4, 0.1).number, trialSlice(seconds(6), 4, 0.1).number);
}

// Guards against a value of an unexpected type in the record of a rollout that ends the process.
TEST(RolloutRecord, OddValuesAreSurvived)
{
    Record written = record(Phase::Trial);
    written.excluded = {"v1"};
    const std::string text = encodeRecord(written);
    Record read;
    ASSERT_TRUE(decodeRecord(text, read));
    EXPECT_EQ(read.excluded, written.excluded);
    http::forEachSpoiltText(text, [&read](const std::string &spoilt) { decodeRecord(spoilt, read); });
}

} // namespace

} // namespace cardamomlift::rollout
