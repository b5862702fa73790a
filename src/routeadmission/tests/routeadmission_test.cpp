#include "fleetmodel.h"

#include <gtest/gtest.h>

#include <cstdio>

namespace cardamomlift::routeadmission {

namespace {

/// Requests a second that eight servers with two slots and 60 ms serve.
constexpr double Room = 266.7;
constexpr Duration RunTime = seconds(10);
/// From then on the level must hold.
constexpr Duration Settled = seconds(1);
constexpr double MeasuredSeconds = 9;
/// Part of what the more urgent leave that the others must get.
constexpr double UsedShare = 0.8;
constexpr double UrgentInTime = 0.95;
constexpr Duration LongestRefusal = milliseconds(100);

void print(const char *name, const std::vector<Outcome> &outcomes)
{
    for (std::size_t i = 0; i < outcomes.size(); i++) {
        const Outcome &o = outcomes[i];
        std::printf("%s %zu: asked %d, served %.3f, in time %.3f, returns %d, of them served %d, refused %d (idle %d), longest refusal %lld ms\n",
            name,
            i,
            o.asked,
            o.servedShare(),
            o.inTimeShare(),
            o.returns,
            o.returnsServed,
            o.refused,
            o.refusedIdle,
            static_cast<long long>(toMilliseconds(o.longestRefusal)));
    }
}

struct Size {
    std::size_t vms = 4;
    std::size_t groups = 1;
};

/// Loads that must hold with any number of VMs.
class RouteAdmissionSizes : public testing::TestWithParam<Size>
{
protected:
    FleetModel::Layout layout() const
    {
        FleetModel::Layout layout;
        layout.vms = GetParam().vms;
        layout.groups = GetParam().groups;
        return layout;
    }
};

// Load: two classes at 1.5 times the room.
TEST_P(RouteAdmissionSizes, TwoClassesAtOneAndAHalfTimesTheRoom)
{
    FleetModel fleet(layout());
    const auto seen = fleet.run({{0, 0, 130, milliseconds(200)}, {2, 0, 270, milliseconds(500)}}, RunTime, Settled);
    print("1.5 times", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served, (Room - 130) * MeasuredSeconds * UsedShare);
    EXPECT_LE(seen[1].longestRefusal, LongestRefusal);
    const auto [low, high] = fleet.shares(2);
    std::printf("shares %.2f to %.2f\n", low, high);
    EXPECT_LE(high - low, 0.2);
}

// Load: two classes at 3 times the room.
TEST_P(RouteAdmissionSizes, TwoClassesAtThreeTimesTheRoom)
{
    FleetModel fleet(layout());
    const auto seen = fleet.run({{0, 0, 130, milliseconds(200)}, {2, 0, 670, milliseconds(500)}}, RunTime, Settled);
    print("3 times", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served, (Room - 130) * MeasuredSeconds * UsedShare);
    EXPECT_LE(seen[1].longestRefusal, LongestRefusal);
}

// Load: a crowd of one class, at twice the room.
TEST_P(RouteAdmissionSizes, ACrowdOfOneClass)
{
    FleetModel fleet(layout());
    const auto seen = fleet.run({{1, 0, 2 * Room, milliseconds(200)}}, RunTime, Settled);
    print("crowd", seen);
    EXPECT_GE(seen[0].served, Room * MeasuredSeconds * UsedShare);
    EXPECT_GE(seen[0].inTime, 0.9 * seen[0].served);
}

// Load: one customer at 7.5 times its share of the room beside another.
TEST_P(RouteAdmissionSizes, OneCustomerFarOverTheOthers)
{
    FleetModel fleet(layout());
    const auto seen = fleet.run({{1, 10, 360, milliseconds(500)}, {1, 11, 48, milliseconds(500)}}, RunTime, Settled);
    print("customers", seen);
    EXPECT_GE(seen[1].inTimeShare(), 0.95);
    EXPECT_GE(seen[0].served, (Room - 48) * MeasuredSeconds * UsedShare);
}

// Load: even, below the room.
TEST_P(RouteAdmissionSizes, EvenLoadBelowTheRoomPasses)
{
    FleetModel fleet(layout());
    const auto seen = fleet.run({{0, 0, 60, milliseconds(200)}, {2, 0, 120, milliseconds(500)}}, RunTime, Settled);
    print("even", seen);
    EXPECT_EQ(seen[0].refused, 0);
    EXPECT_EQ(seen[1].refused, 0);
    EXPECT_EQ(fleet.toldEntries(), 0U);
}

INSTANTIATE_TEST_SUITE_P(Fleets, RouteAdmissionSizes, testing::Values(Size{4, 1}, Size{9, 1}, Size{88, 6}, Size{300, 12}), [](const auto &param) {
    return std::to_string(param.param.vms) + "Vms";
});

// Load: a burst of one class, three seconds at twice the room beside urgent requests.
TEST(RouteAdmission, ABurstOfOneClass)
{
    FleetModel fleet({});
    const auto seen =
        fleet.run({{0, 0, 100, milliseconds(200)}, {2, 0, 100, milliseconds(500)}, {2, 0, 330, milliseconds(500), seconds(3), seconds(6)}}, RunTime, Settled);
    print("burst", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served + seen[2].served, 0.8 * ((MeasuredSeconds - 3) * 100 + 3 * (Room - 100)));
}

// Load: a retry storm, refused callers come back after 50 ms.
TEST(RouteAdmission, RetriesAtOnceDontPushOutUrgentOnes)
{
    FleetModel fleet({});
    const auto seen = fleet.run({{0, 0, 130, milliseconds(200)}, {2, 0, 270, milliseconds(500)}}, RunTime, Settled, Returns::AtOnce);
    print("storm", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served + seen[1].returnsServed, (Room - 130) * MeasuredSeconds * UsedShare);
}

// Load: a burst of three seconds at twice the room; refused callers come back as told.
TEST(RouteAdmission, CallersThatComeAsToldAreServed)
{
    FleetModel fleet({});
    const auto seen = fleet.run({{1, 0, 530, milliseconds(500), seconds(1), seconds(4)}}, seconds(16), Duration(0), Returns::AsTold);
    print("returns", seen);
    EXPECT_GE(seen[0].returnsServed, 0.6 * seen[0].returns);
}

// Load: all VMs restarted while two classes ask for 1.5 times the room.
TEST(RouteAdmission, AllVmsRestartedUnderLoad)
{
    FleetModel fleet({});
    const std::vector<Load> loads{{0, 0, 130, milliseconds(200)}, {2, 0, 270, milliseconds(500)}};
    fleet.run(loads, seconds(5), Settled);
    fleet.restartAll();
    const auto seen = fleet.run(loads, RunTime, Settled);
    print("restart", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served, (Room - 130) * MeasuredSeconds * UsedShare);
}

// Load: a VM killed while two classes ask for 1.5 times the room.
TEST(RouteAdmission, AVmKilledUnderLoad)
{
    FleetModel fleet({});
    const std::vector<Load> loads{{0, 0, 130, milliseconds(200)}, {2, 0, 270, milliseconds(500)}};
    fleet.run(loads, seconds(5), Settled);
    fleet.stopVm(2);
    const auto seen = fleet.run(loads, RunTime, Duration(0));
    print("kill", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served, (Room - 130) * 10 * UsedShare);
}

// Load: half of the servers lost while two classes ask for what all of them serve.
TEST(RouteAdmission, HalfOfTheServersLost)
{
    FleetModel fleet({});
    const std::vector<Load> loads{{0, 0, 90, milliseconds(200)}, {2, 0, 150, milliseconds(500)}};
    fleet.run(loads, seconds(5), Settled);
    fleet.loseServers(4);
    const auto seen = fleet.run(loads, RunTime, Settled);
    print("half", seen);
    EXPECT_GE(seen[0].inTimeShare(), UrgentInTime);
    EXPECT_GE(seen[1].served, (Room / 2 - 90) * MeasuredSeconds * UsedShare);
}

// Load: a tenth of the prompts is four times as large as the rest, at 1.5 times the room.
TEST(RouteAdmission, LargePromptsAreAdmittedHalfAsOftenAtLeast)
{
    FleetModel fleet({});
    Load load{1, 0, 400, milliseconds(500)};
    load.largeShare = 0.1;
    const auto seen = fleet.run({load}, seconds(20), Settled);
    print("large", seen);
    const double large = static_cast<double>(seen[0].largeServed) / seen[0].large;
    const double rest = static_cast<double>(seen[0].served - seen[0].largeServed) / (seen[0].asked - seen[0].large);
    std::printf("large %.3f, rest %.3f\n", large, rest);
    EXPECT_GE(large, rest / 2);
}

// Load: none; after a crowd the VMs tell nothing any more.
TEST(RouteAdmission, NothingIsToldAfterACrowd)
{
    FleetModel fleet({});
    fleet.run({{1, 0, 530, milliseconds(200)}}, seconds(4), Settled);
    EXPECT_TRUE(fleet.isShortAnywhere());
    const auto seen = fleet.run({{1, 0, 100, milliseconds(200)}}, seconds(6), seconds(3));
    EXPECT_EQ(seen[0].refused, 0);
    EXPECT_FALSE(fleet.isShortAnywhere());
    EXPECT_EQ(fleet.toldEntries(), 0U);
}

} // namespace

} // namespace cardamomlift::routeadmission
