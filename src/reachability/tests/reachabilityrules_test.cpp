#include "reachability/reachabilityrules.h"

#include <gtest/gtest.h>

namespace cardamomlift::reachability {

namespace {

using std::chrono::milliseconds;

TEST(ReachabilityRules, ServersOfOneServiceOrDomainThatFailAreNoProof)
{
    EXPECT_FALSE(isCutOff({2, 13, false}, State::Doubtful));
    EXPECT_TRUE(isCutOff({3, 13, false}, State::Doubtful));
}

TEST(ReachabilityRules, WaitsForTheOutcomeOfAllProbes)
{
    EXPECT_FALSE(isCutOff({3, 13, true}, State::Doubtful));
}

TEST(ReachabilityRules, AllServersOfASmallDeploymentAreEnough)
{
    EXPECT_TRUE(isCutOff({2, 2, false}, State::Doubtful));
    EXPECT_FALSE(isCutOff({1, 2, false}, State::Doubtful));
    EXPECT_FALSE(isCutOff({0, 0, false}, State::Doubtful));
}

TEST(ReachabilityRules, FewerFailuresAreEnoughWhileItRecovers)
{
    EXPECT_TRUE(isCutOff({2, 13, false}, State::Recovering));
    EXPECT_FALSE(isCutOff({1, 13, false}, State::Recovering));
}

TEST(ReachabilityRules, RequestsReturnByDegrees)
{
    EXPECT_GT(directShare(Duration(0)), 0);
    EXPECT_LT(directShare(Duration(0)), 0.2);
    EXPECT_LT(directShare(RecoveryTime / 2), 0.7);
    EXPECT_GT(directShare(RecoveryTime / 2), directShare(RecoveryTime / 4));
    EXPECT_EQ(directShare(RecoveryTime), 1);
}

} // namespace

} // namespace cardamomlift::reachability
