#include "serverlimits/tests/limitmodel.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::serverlimits {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Server = 77;

std::vector<std::uint64_t> namesOf(std::size_t count)
{
    std::vector<std::uint64_t> names;
    std::mt19937_64 random(count);
    for (std::size_t i = 0; i < count; i++) {
        names.push_back(random());
    }
    return names;
}

TurnBook bookFrom(Duration storeNow, double perSecond)
{
    TurnBook book;
    book.server = Server;
    setRate(book, perSecond, storeNow);
    return book;
}

TEST(TurnRules, EachTurnHasOneOwnerAndAllVmsGetTheirPart)
{
    constexpr std::size_t Vms = 20;
    constexpr int Turns = 20'000;
    const auto vms = namesOf(Vms);
    std::map<std::uint64_t, int> turns;
    for (int i = 0; i < Turns; i++) {
        turns[turnOwner(vms, Server, i)]++;
    }
    EXPECT_EQ(turns.size(), Vms);
    for (const auto &[vm, count] : turns) {
        EXPECT_NEAR(count, Turns / Vms, Turns / Vms * 0.2);
    }
}

TEST(TurnRules, AVmThatJoinsTakesTurnsFromTheOthersAndMovesNoneBetweenThem)
{
    auto vms = namesOf(20);
    const std::vector<std::uint64_t> before(vms.begin(), vms.end() - 1);
    for (int i = 0; i < 1000; i++) {
        const std::uint64_t owner = turnOwner(vms, Server, i);
        EXPECT_TRUE(owner == vms.back() || owner == turnOwner(before, Server, i));
    }
}

TEST(TurnRules, TurnsComeAtTheRateOfTheLimit)
{
    const std::vector<std::uint64_t> alone{1};
    TurnBook book = bookFrom(seconds(100), 2.5);
    int used = 0;
    for (Duration now = seconds(100); now < seconds(140); now += milliseconds(10)) {
        takeTurns(book, alone, 1, now);
        used += book.own.empty() ? 0 : 1;
        useTurn(book);
    }
    EXPECT_NEAR(used, 100, 1);
}

TEST(TurnRules, UnusedTurnsLapse)
{
    const std::vector<std::uint64_t> alone{1};
    constexpr double PerSecond = 2;
    TurnBook book = bookFrom(seconds(100), PerSecond);
    takeTurns(book, alone, 1, seconds(10'000));
    const double life = std::chrono::duration<double>(turnLife(PerSecond)).count();
    EXPECT_NEAR(static_cast<double>(book.own.size()), life * PerSecond, 1);
    takeTurns(book, alone, 1, seconds(20'000));
    EXPECT_NEAR(static_cast<double>(book.own.size()), life * PerSecond, 1);
}

TEST(TurnRules, AVmThatHearsOfALimitUsesNoTurnFromBefore)
{
    const std::vector<std::uint64_t> alone{1};
    TurnBook book = bookFrom(seconds(100), 1);
    takeTurns(book, alone, 1, seconds(100));
    EXPECT_TRUE(book.own.empty());
    TurnBook unknownClock;
    unknownClock.server = Server;
    setRate(unknownClock, 1, std::nullopt);
    takeTurns(unknownClock, alone, 1, seconds(100));
    EXPECT_TRUE(unknownClock.own.empty());
}

TEST(TurnRules, AClockThatIsSetBackDoesNotStopTheTurns)
{
    const std::vector<std::uint64_t> alone{1};
    TurnBook book = bookFrom(seconds(100'000), 1);
    takeTurns(book, alone, 1, seconds(5));
    takeTurns(book, alone, 1, seconds(8));
    EXPECT_EQ(book.own.size(), 3U);
}

// Only an answer tells that the need is over.
TEST(TurnRules, AServerThatTakesNothingIsStillAskedNowAndThen)
{
    const std::vector<std::uint64_t> alone{1};
    TurnBook book = bookFrom(seconds(100), 0);
    takeTurns(book, alone, 1, seconds(121));
    EXPECT_EQ(book.own.size(), 2U);
}

struct Case {
    const char *name;
    model::Scenario scenario;
};

class TurnsModel : public testing::TestWithParam<Case>
{
};

TEST_P(TurnsModel, AllVmsTogetherHoldToTheLimitAndUseMostOfIt)
{
    constexpr unsigned Seeds = 5;
    for (unsigned seed = 1; seed <= Seeds; seed++) {
        model::Scenario scenario = GetParam().scenario;
        scenario.seed = seed;
        const model::Outcome outcome = model::Play(scenario).run();
        EXPECT_LE(static_cast<double>(outcome.mostInWindow), model::mostAllowed(scenario.perSecond)) << "seed " << seed;
        EXPECT_LE(outcome.usedPart, 1.1) << "seed " << seed;
        EXPECT_GE(outcome.usedPart, 0.5) << "seed " << seed;
    }
}

INSTANTIATE_TEST_SUITE_P(Fleets,
    TurnsModel,
    testing::Values(Case{"NineVms", {.vms = 9, .perSecond = 1.1}},
        Case{"NineVmsWithUnevenCallers", {.vms = 9, .perSecond = 1.1, .unevenness = 1}},
        Case{"NineVmsInABurst", {.vms = 9, .perSecond = 1.1, .askedPerSecond = 5, .burstFactor = 20}},
        Case{"NineVmsOfWhichAllRestart", {.vms = 9, .perSecond = 1.1, .restarts = 9}},
        Case{"NineVmsAndThreeMore", {.vms = 9, .perSecond = 1.1, .joining = 3}},
        Case{"ALimitThatIsNamedAnewEachSecond", {.vms = 9, .perSecond = 1.1, .namesAnew = 1}},
        Case{"ManyRequestsASecond", {.vms = 9, .perSecond = 20, .askedPerSecond = 100}},
        Case{"SixtyThreeVms", {.vms = 63, .perSecond = 0.5, .seconds = 60}},
        Case{"SixtyThreeVmsOfWhichTwentyRestart", {.vms = 63, .perSecond = 5, .askedPerSecond = 60, .restarts = 20, .seconds = 60}},
        Case{"TwoHundredNinetyFiveVms", {.vms = 295, .perSecond = 0.5, .askedPerSecond = 60, .seconds = 60}}),
    [](const auto &info) { return std::string(info.param.name); });

} // namespace

} // namespace cardamomlift::serverlimits
