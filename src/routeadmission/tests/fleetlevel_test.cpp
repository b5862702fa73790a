#include "routeadmission/fleetlevel.h"
#include "routeadmission/returnplan.h"

#include <gtest/gtest.h>

namespace cardamomlift::routeadmission {

namespace {

using std::chrono::milliseconds;

ServiceRoom room(double open, double served)
{
    ServiceRoom room;
    room.open = open;
    room.slots = 16;
    room.servedPerSecond = served;
    room.goal = milliseconds(200);
    return room;
}

// Load: one that the slots bear; none is short of room.
TEST(FleetLevel, NothingIsShortBelowTheSlots)
{
    EXPECT_FALSE(isShort(room(16, 267), 1000, false));
    EXPECT_TRUE(isShort(room(60, 267), 400, false));
    EXPECT_FALSE(isShort(ServiceRoom(), 1000, true)) << "without known servers";
}

// Load: two priorities at 1.5 times the room.
TEST(FleetLevel, TheUrgentAreServedFirst)
{
    const std::vector<ClassRate> classes{{{2, 0}, 270}, {{0, 0}, 130}};
    const auto shares = distribute(267, classes);
    EXPECT_DOUBLE_EQ(shareOf(shares, {0, 0}), 1);
    EXPECT_NEAR(shareOf(shares, {2, 0}), 137.0 / 270, 1e-9);
}

// Load: one customer at 7.5 times the others.
TEST(FleetLevel, CustomersGetEqualRatesAndNoMoreThanTheyAskFor)
{
    const std::vector<ClassRate> classes{{{1, 10}, 375}, {{1, 11}, 50}, {{1, 12}, 50}};
    const auto shares = distribute(267, classes);
    EXPECT_DOUBLE_EQ(shareOf(shares, {1, 11}), 1);
    EXPECT_DOUBLE_EQ(shareOf(shares, {1, 12}), 1);
    EXPECT_NEAR(shareOf(shares, {1, 10}), 167.0 / 375, 1e-9);
}

// Load: an urgent priority that alone asks for more than there is.
TEST(FleetLevel, TheLessUrgentAreNotServedMoreOftenNorNever)
{
    const std::vector<ClassRate> classes{{{0, 0}, 500}, {{1, 0}, 20}, {{2, 0}, 10000}};
    const auto shares = distribute(250, classes);
    EXPECT_NEAR(shareOf(shares, {0, 0}), 0.5, 1e-9);
    EXPECT_GT(shareOf(shares, {1, 0}), 0);
    EXPECT_GT(shareOf(shares, {2, 0}), 0);
    EXPECT_LE(shareOf(shares, {1, 0}), shareOf(shares, {0, 0}));
    EXPECT_LE(shareOf(shares, {2, 0}) * 10000, 250 * 0.03);
}

// Load: many customers, of which the smaller ones are told as one.
TEST(FleetLevel, CustomersThatAreToldTogetherCountAsMany)
{
    const std::vector<ClassRate> classes{{{1, 10}, 10}, {{1, 11}, 10}, {{1, OtherCustomers}, 80}};
    const auto shares = distribute(50, classes);
    EXPECT_NEAR(shareOf(shares, {1, 10}), 0.5, 1e-9);
    EXPECT_NEAR(shareOf(shares, {1, OtherCustomers}), 0.5, 1e-9);
}

TEST(FleetLevel, LargeRequestsCostAtMostTwiceAsMuch)
{
    EXPECT_DOUBLE_EQ(costOf(50000, 1000), 2 * costOf(1, 1000));
    EXPECT_DOUBLE_EQ(costOf(0, 0), 1);
}

// Load: a burst of refusals.
TEST(ReturnPlan, ReturnsAreSpreadWithinTheBounds)
{
    ReturnPlan plan;
    const TimePoint now(std::chrono::hours(1));
    const Duration first = planReturn(plan, 1, 40, std::chrono::seconds(5), 0, now);
    EXPECT_GE(first, milliseconds(250));
    Duration last = first;
    for (int i = 0; i < 30; i++) {
        const Duration next = planReturn(plan, 1, 40, std::chrono::seconds(5), 0, now);
        EXPECT_GT(next, last);
        last = next;
    }
    for (int i = 0; i < 1000; i++) {
        EXPECT_LE(planReturn(plan, 1, 40, std::chrono::seconds(5), 0, now), std::chrono::seconds(5));
    }
    EXPECT_LT(planReturn(plan, 0, 40, std::chrono::seconds(5), 0, now), last) << "each priority has returns of its own";
}

} // namespace

} // namespace cardamomlift::routeadmission
