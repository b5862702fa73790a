#include "forwarding/peerdemand.h"
#include "forwarding/servicedemand.h"

#include <gtest/gtest.h>

#include <cmath>

namespace cardamomlift::forwarding {

namespace {

presence::ServiceLoad load(const std::string &service, double requestsPerSecond, std::uint32_t open)
{
    presence::ServiceLoad load;
    load.service = presence::nameHash(service);
    load.requestsPerSecond = requestsPerSecond;
    load.open = open;
    return load;
}

TEST(PeerDemand, SumsTheLoadsOfAllVmsByService)
{
    PeerDemand demand;
    const std::vector<presence::ServiceLoad> loads{load("models", 20, 5), load("desk", 3, 1), load("models", 40, 7)};
    demand.replace(loads);
    EXPECT_EQ(demand.of("models").requestsPerSecond, 60);
    EXPECT_EQ(demand.of("models").open, 12U);
    EXPECT_EQ(demand.of("desk").open, 1U);
    EXPECT_EQ(demand.of("other").open, 0U);
    demand.replace({});
    EXPECT_EQ(demand.of("models").requestsPerSecond, 0);
}

TEST(PeerDemand, RatesThatCannotBeTrueAddNothingOrLittle)
{
    PeerDemand demand;
    const std::vector<presence::ServiceLoad> loads{load("models", NAN, 0), load("models", -5, 0), load("models", 1e30, 0xFFFFFFFF), load("models", 2, 1)};
    demand.replace(loads);
    EXPECT_LT(demand.of("models").requestsPerSecond, 1e6);
    EXPECT_GE(demand.of("models").requestsPerSecond, 2);
}

TEST(PeerDemand, AVmTellsItsRequestsPerSecond)
{
    ServiceDemand demand;
    const TimePoint start(std::chrono::hours(1));
    for (int i = 0; i < 1000; i++) {
        demand.noteRequest("models", 100, start + std::chrono::milliseconds(50) * i);
    }
    const auto loads = demand.loads(start + std::chrono::milliseconds(50) * 1000);
    ASSERT_EQ(loads.size(), 1U);
    EXPECT_NEAR(loads[0].requestsPerSecond, 20, 1);
}

} // namespace

} // namespace cardamomlift::forwarding
