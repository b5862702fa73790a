#include "serverlimits/tests/limitmodel.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::serverlimits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Server = 77;

std::vector<std::uint64_t> vmNames(std::size_t count)
{
    std::vector<std::uint64_t> names;
    std::mt19937_64 random(count);
    for (std::size_t i = 0; i < count; i++) {
        names.push_back(random());
    }
    return names;
}

PermitSchedule scheduleFrom(Duration storeNow, double perSecond)
{
    PermitSchedule schedule;
    schedule.server = Server;
    setRate(schedule, perSecond, storeNow);
    return schedule;
}

TEST(PermitRules, EachPermitHasOneOwnerAndAllVmsGetTheirShare)
{
    constexpr std::size_t Vms = 20;
    constexpr int Permits = 20'000;
    const auto vms = vmNames(Vms);
    std::map<std::uint64_t, int> permitCounts;
    for (int i = 0; i < Permits; i++) {
        permitCounts[permitOwner(vms, Server, i)]++;
    }
    EXPECT_EQ(permitCounts.size(), Vms);
    for (const auto &[vm, count] : permitCounts) {
        EXPECT_NEAR(count, Permits / Vms, Permits / Vms * 0.2);
    }
}

TEST(PermitRules, AVmThatJoinsTakesPermitsFromTheOthersAndMovesNoneBetweenThem)
{
    auto vms = vmNames(20);
    const std::vector<std::uint64_t> before(vms.begin(), vms.end() - 1);
    for (int i = 0; i < 1000; i++) {
        const std::uint64_t owner = permitOwner(vms, Server, i);
        EXPECT_TRUE(owner == vms.back() || owner == permitOwner(before, Server, i));
    }
}

TEST(PermitRules, PermitsAreIssuedAtTheRateOfTheLimit)
{
    const std::vector<std::uint64_t> alone{1};
    PermitSchedule schedule = scheduleFrom(seconds(100), 2.5);
    int used = 0;
    for (Duration now = seconds(100); now < seconds(140); now += milliseconds(10)) {
        collectPermits(schedule, alone, 1, now);
        used += schedule.permits.empty() ? 0 : 1;
        usePermit(schedule);
    }
    EXPECT_NEAR(used, 100, 1);
}

TEST(PermitRules, UnusedPermitsExpire)
{
    const std::vector<std::uint64_t> alone{1};
    constexpr double PerSecond = 2;
    PermitSchedule schedule = scheduleFrom(seconds(100), PerSecond);
    collectPermits(schedule, alone, 1, seconds(10'000));
    const double lifetime = std::chrono::duration<double>(permitLifetime(PerSecond)).count();
    EXPECT_NEAR(static_cast<double>(schedule.permits.size()), lifetime * PerSecond, 1);
    collectPermits(schedule, alone, 1, seconds(20'000));
    EXPECT_NEAR(static_cast<double>(schedule.permits.size()), lifetime * PerSecond, 1);
}

TEST(PermitRules, AVmThatLearnsOfALimitGetsNoEarlierPermits)
{
    const std::vector<std::uint64_t> alone{1};
    PermitSchedule schedule = scheduleFrom(seconds(100), 1);
    collectPermits(schedule, alone, 1, seconds(100));
    EXPECT_TRUE(schedule.permits.empty());
    PermitSchedule unknownClock;
    unknownClock.server = Server;
    setRate(unknownClock, 1, std::nullopt);
    collectPermits(unknownClock, alone, 1, seconds(100));
    EXPECT_TRUE(unknownClock.permits.empty());
}

TEST(PermitRules, AClockThatIsSetBackDoesNotStopThePermits)
{
    const std::vector<std::uint64_t> alone{1};
    PermitSchedule schedule = scheduleFrom(seconds(100'000), 1);
    collectPermits(schedule, alone, 1, seconds(5));
    collectPermits(schedule, alone, 1, seconds(8));
    EXPECT_EQ(schedule.permits.size(), 3U);
}

// Only an answer shows that the limit has ended.
TEST(PermitRules, AServerWithALimitOfZeroStillGetsARequestNowAndThen)
{
    const std::vector<std::uint64_t> alone{1};
    PermitSchedule schedule = scheduleFrom(seconds(100), 0);
    collectPermits(schedule, alone, 1, seconds(121));
    EXPECT_EQ(schedule.permits.size(), 2U);
}

struct Case {
    const char *name;
    model::Scenario scenario;
};

class PermitsModel : public testing::TestWithParam<Case>
{
};

TEST_P(PermitsModel, AllVmsTogetherKeepToTheLimitAndUseMostOfIt)
{
    constexpr unsigned Seeds = 5;
    for (unsigned seed = 1; seed <= Seeds; seed++) {
        model::Scenario scenario = GetParam().scenario;
        scenario.seed = seed;
        const model::Outcome outcome = model::Simulation(scenario).run();
        EXPECT_LE(static_cast<double>(outcome.maxInWindow), model::maxAllowed(scenario.perSecond)) << "seed " << seed;
        EXPECT_LE(outcome.usedShare, 1.1) << "seed " << seed;
        EXPECT_GE(outcome.usedShare, 0.5) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
    PermitsModel,
    testing::Values(Case{"NineVms", {.vms = 9, .perSecond = 1.1}},
        Case{"NineVmsWithUnevenCallers", {.vms = 9, .perSecond = 1.1, .unevenness = 1}},
        Case{"NineVmsInABurst", {.vms = 9, .perSecond = 1.1, .demandPerSecond = 5, .burstFactor = 20}},
        Case{"NineVmsOfWhichAllRestart", {.vms = 9, .perSecond = 1.1, .restarts = 9}},
        Case{"NineVmsAndThreeMore", {.vms = 9, .perSecond = 1.1, .joining = 3}},
        Case{"ALimitThatChangesEachSecond", {.vms = 9, .perSecond = 1.1, .limitChangesPerSecond = 1}},
        Case{"ManyRequestsASecond", {.vms = 9, .perSecond = 20, .demandPerSecond = 100}},
        Case{"SixtyThreeVms", {.vms = 63, .perSecond = 0.5, .seconds = 60}},
        Case{"SixtyThreeVmsOfWhichTwentyRestart", {.vms = 63, .perSecond = 5, .demandPerSecond = 60, .restarts = 20, .seconds = 60}},
        Case{"TwoHundredNinetyFiveVms", {.vms = 295, .perSecond = 0.5, .demandPerSecond = 60, .seconds = 60}}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace

} // namespace cardamomlift::serverlimits
