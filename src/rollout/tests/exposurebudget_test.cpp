#include "rollout/exposurebudget.h"

#include <gtest/gtest.h>

#include <random>

namespace cardamomlift::rollout {

namespace {

RolloutLimits limits()
{
    RolloutLimits result;
    result.isEnabled = true;
    result.exposureShare = 0.1;
    result.exposureSlack = 50;
    return result;
}

// VMs with very different loads, each on its own: the sum must hold at any moment, for the order may end at any.
TEST(ExposureBudget, TheSumOfAllVmsKeepsTheBoundAtEachMoment)
{
    for (const std::size_t vms : {1U, 8U, 63U, 300U}) {
        std::mt19937_64 random(vms);
        std::uniform_real_distribution<double> draw;
        std::vector<ExposureBudget> budgets;
        for (std::size_t i = 0; i < vms; i++) {
            budgets.push_back(ExposureBudget::create(limits(), vms, draw(random)));
        }
        std::uint64_t exposed = 0;
        for (int requests = 1; requests <= 20'000; requests++) {
            const auto vm = static_cast<std::size_t>(static_cast<double>(vms) * draw(random) * draw(random));
            const std::uint64_t route = random() % 3;
            budgets[vm].addRequest(route);
            exposed += budgets[vm].trySpend(route) ? 1 : 0;
            ASSERT_LE(static_cast<double>(exposed), 0.1 * requests + 50) << vms << " VMs";
        }
        EXPECT_GT(static_cast<double>(exposed), 0.07 * 20'000) << vms << " VMs";
    }
}

TEST(ExposureBudget, ARestartedVmTakesNoPartOfTheSlackAnew)
{
    ExposureBudget budget = ExposureBudget::create(limits(), 0, 0);
    budget.addRequest(1);
    EXPECT_FALSE(budget.trySpend(1));
}

TEST(ExposureBudget, WhatFoundNoServerIsNotSpent)
{
    ExposureBudget budget = ExposureBudget::create(limits(), 40, 0);
    budget.addRequest(1);
    ASSERT_TRUE(budget.trySpend(1));
    EXPECT_FALSE(budget.trySpend(1));
    budget.refund(1);
    EXPECT_TRUE(budget.trySpend(1));
}

// One of forty requests is of the second route; it gets far more than a fortieth of the trial.
TEST(ExposureBudget, ARareRouteIsTriedToo)
{
    ExposureBudget budget = ExposureBudget::create(limits(), 0, 0);
    int rare = 0;
    int all = 0;
    for (int i = 0; i < 4000; i++) {
        const std::uint64_t route = i % 40 == 0 ? 2 : 1;
        budget.addRequest(route);
        const bool isTaken = budget.trySpend(route);
        all += isTaken ? 1 : 0;
        rare += isTaken && route == 2 ? 1 : 0;
    }
    EXPECT_GE(rare * 8, all);
}

} // namespace

} // namespace cardamomlift::rollout
