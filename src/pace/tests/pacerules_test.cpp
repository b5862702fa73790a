#include "pace/pacerules.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>
#include <vector>

namespace cardamomlift::pace {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double Usual = 0.030; ///< Seconds of a unit of work.

WorkSums sums(double units, double factor)
{
    return {units * Usual * factor, units * Usual * factor, units};
}

TEST(PaceRules, ObservationsFadeWithinSeconds)
{
    WorkSums work = sums(100, 5);
    decay(work, seconds(3));
    EXPECT_LT(work.units, 15);
    EXPECT_DOUBLE_EQ(work.seconds / work.units, 5 * Usual);
}

TEST(PaceRules, ServersThatMeasureEvenCountAsEqual)
{
    for (const double factor : {0.88, 1.0, 1.12}) {
        EXPECT_EQ(estimate(learntPace(sums(1000, factor), {}, Usual), std::nullopt, Duration(0)).factor, 1) << factor;
    }
    EXPECT_NEAR(estimate(learntPace(sums(1000, 1.7), {}, Usual), std::nullopt, Duration(0)).factor, 1.7, 0.02);
    EXPECT_NEAR(estimate(learntPace(sums(1000, 0.7), {}, Usual), std::nullopt, Duration(0)).factor, 0.7, 0.02);
}

TEST(PaceRules, FewObservationsSayNothing)
{
    EXPECT_EQ(learntPace(sums(2, 8), {}, Usual).factor, 1);
    EXPECT_EQ(learntPace(sums(100, 8), {}, 0).factor, 1) << "the service's mean is not known";
    EXPECT_LT(learntPace(sums(4, 5), {}, Usual).factor, 2.5);
    EXPECT_EQ(meanTime(std::vector<WorkSums>{sums(5, 1), sums(5, 1)}), 0);
    EXPECT_EQ(meanTime(std::vector<WorkSums>{sums(100, 1)}), 0) << "a lone server has nothing to compare with";
    EXPECT_EQ(meanTime({}), 0);
}

TEST(PaceRules, ASteadyPaceLastsBetweenRequests)
{
    WorkSums steady;
    for (int i = 0; i < 40; i++) {
        addSteady(steady, sums(20, 1.7), Usual, milliseconds(250));
    }
    EXPECT_NEAR(learntPace({}, steady, Usual).factor, 1.65, 0.05);
    for (int i = 0; i < 20; i++) {
        addSteady(steady, {}, Usual, milliseconds(250));
    }
    EXPECT_GT(learntPace({}, steady, Usual).factor, 1.4) << "after five seconds without work";
    for (int i = 0; i < 80; i++) {
        addSteady(steady, {}, Usual, milliseconds(250));
    }
    EXPECT_EQ(learntPace({}, steady, Usual).factor, 1);
}

TEST(PaceRules, FactorsAreBounded)
{
    EXPECT_EQ(learntPace(sums(1e5, 1000), {}, Usual).factor, 8);
    EXPECT_EQ(learntPace(sums(1e5, 0), {}, Usual).factor, 0.25);
    EXPECT_EQ(boundedAnnouncement(50), 8);
    EXPECT_EQ(boundedAnnouncement(0.02), 0.25);
    for (const double bad : {0.0, -1.0, 1e9, std::numeric_limits<double>::infinity(), std::nan("")}) {
        EXPECT_FALSE(boundedAnnouncement(bad)) << bad;
    }
}

TEST(PaceRules, OneServerMovesTheMeanLittle)
{
    for (const WorkSums &odd : {sums(50, 100), sums(100'000, 100), sums(50, 0), sums(100'000, 0), sums(1, 8)}) {
        std::vector<WorkSums> servers(8, sums(50, 1));
        EXPECT_NEAR(meanTime(servers), Usual, 1e-9);
        servers.front() = odd;
        EXPECT_LT(meanTime(servers), 1.5 * Usual);
        EXPECT_GT(meanTime(servers), 0.8 * Usual);
    }
    std::vector<WorkSums> servers(8, sums(50, 1));
    servers.front() = sums(50, 100);
    EXPECT_EQ(estimate(learntPace(servers.back(), {}, meanTime(servers)), std::nullopt, Duration(0)).factor, 1);
}

TEST(PaceRules, AnAnnouncementCountsWhileItIsFresh)
{
    EXPECT_EQ(estimate({}, 4.0, milliseconds(20)).factor, 4);
    const double faded = estimate({}, 4.0, milliseconds(350)).factor;
    EXPECT_GT(faded, 1.5);
    EXPECT_LT(faded, 3.5);
    const PaceEstimate old = estimate({1.7, 1.7}, 4.0, milliseconds(700));
    EXPECT_EQ(old.factor, 1.7);
    EXPECT_FALSE(old.announced);
}

TEST(PaceRules, AnnouncedAndOwnSpeedMultiply)
{
    WorkSums work;
    for (int i = 0; i < 1000; i++) {
        note(work, 1, milliseconds(102), Usual, 2.0, Duration(0));
    }
    const LearntPace learnt = learntPace(work, {}, Usual);
    EXPECT_NEAR(learnt.factor, 3.4, 0.05);
    EXPECT_NEAR(learnt.usual, 1.7, 0.05);
    EXPECT_NEAR(estimate(learnt, 1.0, Duration(0)).factor, 1.7, 0.05);
    EXPECT_NEAR(estimate(learnt, 2.0, Duration(0)).factor, 3.4, 0.1);
}

TEST(PaceRules, OneStalledEventCountsAsABoundedTime)
{
    WorkSums work = sums(100, 1);
    note(work, 1, seconds(20), Usual, std::nullopt, Duration(0));
    EXPECT_LT(work.seconds / work.units, 1.2 * Usual);
}

TEST(PaceRules, SidesHaveHysteresis)
{
    EXPECT_EQ(sideOf(1.4, PaceSide::Usual), PaceSide::Usual);
    EXPECT_EQ(sideOf(1.6, PaceSide::Usual), PaceSide::Slower);
    EXPECT_EQ(sideOf(1.4, PaceSide::Slower), PaceSide::Slower);
    EXPECT_EQ(sideOf(1.2, PaceSide::Slower), PaceSide::Usual);
    EXPECT_EQ(sideOf(0.75, PaceSide::Usual), PaceSide::Usual);
    EXPECT_EQ(sideOf(0.6, PaceSide::Usual), PaceSide::Faster);
    EXPECT_EQ(sideOf(0.75, PaceSide::Faster), PaceSide::Faster);
    EXPECT_EQ(sideOf(0.6, PaceSide::Slower), PaceSide::Faster);
}

// Prompts of 300 to 12,000 tokens at servers that prefill 100 tokens a millisecond.
TEST(PaceRules, TheTimeForPrefillIsToldFromPromptsOfManyLengths)
{
    FirstByteSums firstBytes;
    for (int i = 0; i < 200; i++) {
        const std::int64_t tokens = 300 + i * 58;
        note(firstBytes, tokens, milliseconds(20 + i % 7) + Duration(tokens * 10));
    }
    const auto model = firstByteModel(firstBytes);
    ASSERT_TRUE(model);
    EXPECT_NEAR(model->tokensPerSecond, 100'000, 3'000);
    EXPECT_NEAR(static_cast<double>(model->base.count()), 23'000, 2'000);
}

TEST(PaceRules, TheTimeForPrefillIsUnknownWithoutEnoughToTellItFrom)
{
    FirstByteSums few;
    FirstByteSums equal;
    FirstByteSums noPrefill;
    for (int i = 0; i < 200; i++) {
        if (i < 10) {
            note(few, 1000 * i, milliseconds(10 * i));
        }
        note(equal, 800, milliseconds(10 + i % 20));
        note(noPrefill, 100 * i, milliseconds(500 - i));
    }
    EXPECT_FALSE(firstByteModel(few));
    EXPECT_FALSE(firstByteModel(equal));
    EXPECT_FALSE(firstByteModel(noPrefill));
    EXPECT_FALSE(firstByteModel({}));
}

TEST(PaceRules, ImpossibleSumsAreNotPlausible)
{
    EXPECT_TRUE(isPlausible(sums(100, 1)));
    EXPECT_FALSE(isPlausible(WorkSums{std::nan(""), 0, 1}));
    EXPECT_FALSE(isPlausible(WorkSums{1, 1, -1}));
    EXPECT_FALSE(isPlausible(WorkSums{1, 1, 1e12}));
    EXPECT_FALSE(isPlausible(FirstByteSums{-1, 0, 0, 0, 0}));
    EXPECT_FALSE(isPlausible(FirstByteSums{1, std::numeric_limits<double>::infinity(), 0, 0, 0}));
}

} // namespace

} // namespace cardamomlift::pace
