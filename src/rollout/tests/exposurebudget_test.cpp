#include "rollout/exposurebudget.h"

#include <gtest/gtest.h>

#include <random>

namespace cardamomlift::rollout {

namespace {

RolloutLimits testLimits()
{
    RolloutLimits result;
    result.isEnabled = true;
    result.exposureShare = 0.1;
    result.exposureSlack = 50;
    return result;
}

// The VMs have very different loads and do not communicate. The sum must stay within the limits at any time, since the trial
// may end at any time.
TEST(ExposureBudget, TheSumOverAllVmsStaysWithinTheLimitsAtAnyTime)
{
    for (const std::size_t vms : {1U, 8U, 63U, 300U}) {
        std::mt19937_64 random(vms);
        std::uniform_real_distribution<double> uniform;
        std::vector<ExposureBudget> budgets;
        for (std::size_t i = 0; i < vms; i++) {
            budgets.push_back(ExposureBudget::create(testLimits(), vms, uniform(random)));
        }
        std::uint64_t exposed = 0;
        for (int requests = 1; requests <= 20'000; requests++) {
            const auto vm = static_cast<std::size_t>(static_cast<double>(vms) * uniform(random) * uniform(random));
            const std::uint64_t route = random() % 3;
            budgets[vm].addRequest(route);
            exposed += budgets[vm].trySpend(route) ? 1 : 0;
            ASSERT_LE(static_cast<double>(exposed), 0.1 * requests + 50) << vms << " VMs";
        }
        EXPECT_GT(static_cast<double>(exposed), 0.07 * 20'000) << vms << " VMs";
    }
}

TEST(ExposureBudget, ARestartedVmGetsNoSlack)
{
    ExposureBudget budget = ExposureBudget::create(testLimits(), 0, 0);
    budget.addRequest(1);
    EXPECT_FALSE(budget.trySpend(1));
}

TEST(ExposureBudget, ARequestThatWasNotSentIsRefunded)
{
    ExposureBudget budget = ExposureBudget::create(testLimits(), 40, 0);
    budget.addRequest(1);
    ASSERT_TRUE(budget.trySpend(1));
    EXPECT_FALSE(budget.trySpend(1));
    budget.refund(1);
    EXPECT_TRUE(budget.trySpend(1));
}

// One of 40 requests is on the second route. That route must get far more than a fortieth of the requests on trial.
TEST(ExposureBudget, ARarelyUsedRouteIsTriedToo)
{
    ExposureBudget budget = ExposureBudget::create(testLimits(), 0, 0);
    int onRareRoute = 0;
    int onTrial = 0;
    for (int i = 0; i < 4000; i++) {
        const std::uint64_t route = i % 40 == 0 ? 2 : 1;
        budget.addRequest(route);
        const bool isOnTrial = budget.trySpend(route);
        onTrial += isOnTrial ? 1 : 0;
        onRareRoute += isOnTrial && route == 2 ? 1 : 0;
    }
    EXPECT_GE(onRareRoute * 8, onTrial);
}

} // namespace

} // namespace cardamomlift::rollout
