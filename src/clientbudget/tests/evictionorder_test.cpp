#include "clientbudget/evictionorder.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace cardamomlift::clientbudget {

namespace {

using std::chrono::seconds;
using testing::ElementsAre;
using testing::IsEmpty;

constexpr std::size_t Megabyte = 1 << 20;
const TimePoint Now(seconds(1000));

ConnectionUse use(Activity activity, std::size_t bytes, int age, std::size_t descriptors = 1)
{
    return {activity, bytes, descriptors, Now - seconds(age)};
}

TEST(EvictForMemory, TakesThoseThatHaveHeldMostForLongest)
{
    const std::vector<ConnectionUse> uses{
        use(Activity::Receiving, Megabyte, 1), use(Activity::Receiving, Megabyte, 60), use(Activity::Receiving, 100, 60), use(Activity::Sending, Megabyte, 10)};
    EXPECT_THAT(evictForMemory(uses, 1, 0, Now), ElementsAre(1));
    EXPECT_THAT(evictForMemory(uses, Megabyte + 1, 0, Now), ElementsAre(1, 3));
}

TEST(EvictForMemory, TakesRequestsThatAreServedOnlyIfNothingElseIsLeft)
{
    const std::vector<ConnectionUse> uses{use(Activity::Serving, Megabyte, 600), use(Activity::Receiving, 1000, 1), use(Activity::Waiting, 2000, 600)};
    EXPECT_THAT(evictForMemory(uses, 1000, 0, Now), ElementsAre(1));
    EXPECT_THAT(evictForMemory(uses, 3000, 0, Now), ElementsAre(1, 2));
    EXPECT_THAT(evictForMemory(uses, 3001, 0, Now), ElementsAre(1, 2, 0));
}

TEST(EvictForMemory, MakesMoreRoomThanNeededOnlyAtTheCostOfThoseThatHoldMuch)
{
    const std::vector<ConnectionUse> uses{use(Activity::Receiving, Megabyte, 9), use(Activity::Receiving, Megabyte, 5), use(Activity::Waiting, 2000, 600)};
    EXPECT_THAT(evictForMemory(uses, Megabyte, Megabyte, Now), ElementsAre(0, 1));
    EXPECT_THAT(evictForMemory(uses, Megabyte, 9 * Megabyte, Now), ElementsAre(0, 1));
}

TEST(EvictForMemory, CountsARequestThatHasJustBegun)
{
    const std::vector<ConnectionUse> uses{use(Activity::Receiving, 100, 0), use(Activity::Receiving, Megabyte, 0)};
    EXPECT_THAT(evictForMemory(uses, 1, 0, Now), ElementsAre(1));
}

TEST(EvictForDescriptors, TakesIdleConnectionsFirstAndTheOldestOfThem)
{
    const std::vector<ConnectionUse> uses{
        use(Activity::Sending, 0, 900), use(Activity::Receiving, 0, 800), use(Activity::Waiting, 0, 5), use(Activity::Waiting, 0, 700)};
    EXPECT_THAT(evictForDescriptors(uses, 1), ElementsAre(3));
    EXPECT_THAT(evictForDescriptors(uses, 4), ElementsAre(3, 2, 1, 0));
}

TEST(EvictForDescriptors, NeverTakesRequestsThatAreServed)
{
    const std::vector<ConnectionUse> uses{use(Activity::Serving, 0, 900, 2), use(Activity::Serving, 0, 900, 2)};
    EXPECT_THAT(evictForDescriptors(uses, 1), IsEmpty());
}

TEST(MemoryLimitFor, LeavesAPartToSmallRequests)
{
    const ClientLimits limits{64 * Megabyte, 100};
    EXPECT_EQ(memoryLimitFor(limits, 20000), 64 * Megabyte);
    EXPECT_EQ(memoryLimitFor(limits, Megabyte), 56 * Megabyte);
}

} // namespace

} // namespace cardamomlift::clientbudget
