#include "duties/tests/fleetmodel.h"

#include <gtest/gtest.h>

namespace cardamomlift::duties {

namespace {

constexpr std::uint32_t Seeds = 3;

/// Long prompts and streams beside short questions, at engines that prefill faster than assumed. A request takes a server at random.
ModelDay mixedDay(double prefillPerSecond)
{
    ModelDay day;
    day.requests = {{163, 11'992, 0.6, 1.13}, {188, 826, 0.4, 0.86}, {321, 2'368, 0.4, 0.06}};
    day.prefillPerSecond = prefillPerSecond;
    day.choices = 1;
    return day;
}

ModelResult playAll(const ModelDay &day)
{
    ModelResult sum;
    sum.worstInTime = 0;
    for (std::uint32_t seed = 1; seed <= Seeds; seed++) {
        const ModelResult result = FleetModel::play(day, seed);
        sum.requests += result.requests;
        sum.inTime += result.inTime;
        sum.worstInTime += result.worstInTime / Seeds;
        sum.ordinarySeconds += result.ordinarySeconds / Seeds;
        sum.reclaimableSeconds += result.reclaimableSeconds / Seeds;
        sum.mostServers = std::max(sum.mostServers, result.mostServers);
        sum.orders = std::max(sum.orders, result.orders);
    }
    return sum;
}

/// Price of the server seconds, where an ordinary one costs 1.
double cost(const ModelResult &result)
{
    constexpr double ReclaimablePrice = 0.18;
    return result.ordinarySeconds + ReclaimablePrice * result.reclaimableSeconds;
}

void print(const char *what, const ModelResult &result)
{
    std::cout << what << ": in time " << result.share() << ", worst two seconds " << result.worstInTime << ", server seconds " << result.ordinarySeconds
              << " ordinary " << result.reclaimableSeconds << " reclaimable, most servers " << result.mostServers << ", orders " << result.orders << '\n';
}

// Load: a wave of 30 in 100 over 40 s in clumps, at engines that prefill more than twice as fast as assumed.
TEST(FleetModel, AWaveAtFastEnginesIsServedInTimeByFewerServers)
{
    ModelDay day = mixedDay(140'000);
    day.waveFactor = 1.3;
    const ModelResult measured = playAll(day);
    day.isPrefillMeasured = false;
    const ModelResult unmeasured = playAll(day);
    print("measured", measured);
    print("unmeasured", unmeasured);
    EXPECT_GE(measured.share(), 0.99);
    EXPECT_LE(cost(measured), 0.8 * cost(unmeasured));
}

// Load: steady in clumps, while three failure domains lose their reclaimable servers two seconds apart and no new ones are available.
TEST(FleetModel, ThreeReclaimsTwoSecondsApartLeaveEnoughServers)
{
    for (const double rate : {100'000.0, 140'000.0}) {
        ModelDay day = mixedDay(rate);
        day.reclaimsAt = {20, 22, 24};
        day.outOfStockUntil = 45;
        const ModelResult result = playAll(day);
        print("three reclaims", result);
        EXPECT_GE(result.worstInTime, 0.85) << rate;
    }
}

// Load: the same with all four failure domains, four seconds apart.
TEST(FleetModel, FourReclaimsFourSecondsApartLeaveEnoughServers)
{
    for (const double rate : {100'000.0, 140'000.0}) {
        ModelDay day = mixedDay(rate);
        day.reclaimsAt = {20, 24, 28, 32};
        day.outOfStockUntil = 45;
        const ModelResult result = playAll(day);
        print("four reclaims", result);
        EXPECT_GE(result.worstInTime, 0.85) << rate;
    }
}

// Load: one failure domain loses its reclaimable servers, and no new ones are available for a while.
TEST(FleetModel, ASingleReclaimIsBorneByTheReserve)
{
    ModelDay day = mixedDay(100'000);
    day.reclaimsAt = {20};
    day.outOfStockUntil = 34;
    const ModelResult result = playAll(day);
    print("one reclaim", result);
    EXPECT_GE(result.share(), 0.99);
    EXPECT_LE(result.ordinarySeconds, 90 * 10) << "none but those of the start";
}

// Load: steady in clumps. Each order is a call to the platform.
TEST(FleetModel, ASteadyLoadNeedsFewOrders)
{
    const ModelResult result = playAll(mixedDay(100'000));
    print("steady", result);
    EXPECT_LE(result.orders, 60);
}

} // namespace

} // namespace cardamomlift::duties
