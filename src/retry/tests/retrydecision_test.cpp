#include "retry/retrydecision.h"

#include <gtest/gtest.h>

#include <random>

using namespace cardamomlift;
using namespace cardamomlift::retry;
using metrics::RefusalReason;

namespace {

RetryContext question(FailureKind failure)
{
    RetryContext result;
    result.attempts = 1;
    result.failure = failure;
    result.serversLeft = 3;
    return result;
}

} // namespace

TEST(RetryDecision, NeverRepeatsWhatMayHaveRunAndMayNotRepeat)
{
    // Every combination of the other properties.
    for (const FailureKind failure :
        {FailureKind::NotSent, FailureKind::Refused, FailureKind::ServerLeaving, FailureKind::TimedOut, FailureKind::ConnectionBroken}) {
        for (int bits = 0; bits < 16; bits++) {
            RetryBudget budget = RetryBudget::create({});
            RetryContext asked = question(failure);
            asked.idempotent = false;
            asked.accepted = (bits & 1) != 0;
            asked.serversLeft = (bits & 2) != 0 ? 3 : 0;
            asked.attempts = (bits & 4) != 0 ? 1 : MaxAttemptsAccepted;
            asked.timeLeft = (bits & 8) != 0 ? std::optional<Duration>(std::chrono::seconds(1)) : std::nullopt;
            const RetryDecision decision = decideRetry(asked, budget, {"a", true});
            if (failure != FailureKind::NotSent && failure != FailureKind::Refused) {
                EXPECT_EQ(decision.action, RetryAction::GiveUp);
                EXPECT_EQ(decision.refusalReason, RefusalReason::OutcomeUnknown);
                EXPECT_EQ(decision.retryAfter.count(), 0);
            }
        }
    }
}

TEST(RetryDecision, TellsAtOnceWhenThereIsNoChance)
{
    RetryBudget budget = RetryBudget::create({});
    RetryContext none = question(FailureKind::NotSent);
    none.serversLeft = 0;
    EXPECT_EQ(decideRetry(none, budget, {"a"}).refusalReason, RefusalReason::NoBackend);
    EXPECT_GT(decideRetry(none, budget, {"a"}).retryAfter.count(), 0);
    RetryContext late = question(FailureKind::NotSent);
    late.timeLeft = std::chrono::milliseconds(10);
    late.expectedDelay = std::chrono::milliseconds(20);
    EXPECT_EQ(decideRetry(late, budget, {"a"}).refusalReason, RefusalReason::DeadlineImpossible);
    EXPECT_GT(decideRetry(late, budget, {"a"}).retryAfter.count(), 0);
    // An accepted answer is finished, even late.
    late.accepted = true;
    EXPECT_EQ(decideRetry(late, budget, {"a"}).action, RetryAction::RetryNow);
}

TEST(RetryDecision, UrgentKeepsAReserveAndCustomersTheirShare)
{
    const RetryBudgetSettings rule;
    RetryBudget budget = RetryBudget::create(rule);
    int deferrable = 0;
    while (decideRetry(question(FailureKind::Refused), budget, {"a", false}).action == RetryAction::RetryNow) {
        deferrable++;
    }
    EXPECT_EQ(deferrable, static_cast<int>(rule.maxCustomerCredit));
    int other = 0;
    while (decideRetry(question(FailureKind::Refused), budget, {"b", false}).action == RetryAction::RetryNow) {
        other++;
    }
    EXPECT_EQ(other, static_cast<int>(rule.maxCredit - rule.urgentReserve - rule.maxCustomerCredit));
    EXPECT_EQ(decideRetry(question(FailureKind::Refused), budget, {"c", true}).action, RetryAction::RetryNow);
}

TEST(RetryDecision, AttemptsStayUnderTheBoundWhateverFails)
{
    const RetryBudgetSettings rule;
    for (unsigned seed = 0; seed < 20; seed++) {
        RetryBudget budget = RetryBudget::create(rule);
        std::mt19937 random(seed);
        const double failing = seed / 19.0;
        std::bernoulli_distribution fails(failing);
        const int requests = 2000;
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            const RetryRequester share{std::string(1, static_cast<char>('a' + random() % 5)), random() % 4 == 0};
            budget.addRequest(share.customer);
            RetryContext asked = question(FailureKind::NotSent);
            attempts++;
            while (fails(random) && decideRetry(asked, budget, share).action == RetryAction::RetryNow) {
                asked.attempts++;
                attempts++;
            }
        }
        EXPECT_LE(attempts, requests * (1 + rule.creditPerRequest) + rule.maxCredit) << "share failing: " << failing;
    }
}
