#include "retry/retrydecision.h"

#include <gtest/gtest.h>

#include <random>

using namespace cardamomlift;
using namespace cardamomlift::retry;
using metrics::RefusalReason;

namespace {

RetryContext failedRequest(FailureKind failure)
{
    RetryContext result;
    result.attempts = 1;
    result.failure = failure;
    result.serversLeft = 3;
    return result;
}

} // namespace

TEST(RetryDecision, NeverRetriesANonIdempotentRequestThatMayHaveRun)
{
    // Every combination of the other properties.
    for (const FailureKind failure :
        {FailureKind::NotSent, FailureKind::Refused, FailureKind::ServerLeaving, FailureKind::TimedOut, FailureKind::ConnectionBroken}) {
        for (int bits = 0; bits < 16; bits++) {
            RetryBudget budget = RetryBudget::create({});
            RetryContext context = failedRequest(failure);
            context.idempotent = false;
            context.accepted = (bits & 1) != 0;
            context.serversLeft = (bits & 2) != 0 ? 3 : 0;
            context.attempts = (bits & 4) != 0 ? 1 : MaxAttemptsAccepted;
            context.timeLeft = (bits & 8) != 0 ? std::optional<Duration>(std::chrono::seconds(1)) : std::nullopt;
            const RetryDecision decision = decideRetry(context, budget, {"a", true});
            if (failure != FailureKind::NotSent && failure != FailureKind::Refused) {
                EXPECT_EQ(decision.action, RetryAction::GiveUp);
                EXPECT_EQ(decision.refusalReason, RefusalReason::OutcomeUnknown);
                EXPECT_EQ(decision.retryAfter.count(), 0);
            }
        }
    }
}

TEST(RetryDecision, GivesUpWithoutServersOrTime)
{
    RetryBudget budget = RetryBudget::create({});
    RetryContext noServers = failedRequest(FailureKind::NotSent);
    noServers.serversLeft = 0;
    EXPECT_EQ(decideRetry(noServers, budget, {"a"}).refusalReason, RefusalReason::NoBackend);
    EXPECT_GT(decideRetry(noServers, budget, {"a"}).retryAfter.count(), 0);
    RetryContext late = failedRequest(FailureKind::NotSent);
    late.timeLeft = std::chrono::milliseconds(10);
    late.expectedDelay = std::chrono::milliseconds(20);
    EXPECT_EQ(decideRetry(late, budget, {"a"}).refusalReason, RefusalReason::DeadlineImpossible);
    EXPECT_GT(decideRetry(late, budget, {"a"}).retryAfter.count(), 0);
    // An accepted answer is completed even after its deadline.
    late.accepted = true;
    EXPECT_EQ(decideRetry(late, budget, {"a"}).action, RetryAction::RetryNow);
}

TEST(RetryDecision, UrgentRequestsHaveAReserveAndEachCustomerALimit)
{
    const RetryBudgetSettings settings;
    RetryBudget budget = RetryBudget::create(settings);
    int retriesOfA = 0;
    while (decideRetry(failedRequest(FailureKind::Refused), budget, {"a", false}).action == RetryAction::RetryNow) {
        retriesOfA++;
    }
    EXPECT_EQ(retriesOfA, static_cast<int>(settings.maxCustomerCredit));
    int retriesOfB = 0;
    while (decideRetry(failedRequest(FailureKind::Refused), budget, {"b", false}).action == RetryAction::RetryNow) {
        retriesOfB++;
    }
    EXPECT_EQ(retriesOfB, static_cast<int>(settings.maxCredit - settings.urgentReserve - settings.maxCustomerCredit));
    EXPECT_EQ(decideRetry(failedRequest(FailureKind::Refused), budget, {"c", true}).action, RetryAction::RetryNow);
}

TEST(RetryDecision, AttemptsStayWithinTheBudgetAtAnyFailureRate)
{
    const RetryBudgetSettings settings;
    for (unsigned seed = 0; seed < 20; seed++) {
        RetryBudget budget = RetryBudget::create(settings);
        std::mt19937 random(seed);
        const double failureRate = seed / 19.0;
        std::bernoulli_distribution fails(failureRate);
        const int requests = 2000;
        int attempts = 0;
        for (int i = 0; i < requests; i++) {
            const RetryRequester requester{std::string(1, static_cast<char>('a' + random() % 5)), random() % 4 == 0};
            budget.addRequest(requester.customer);
            RetryContext context = failedRequest(FailureKind::NotSent);
            attempts++;
            while (fails(random) && decideRetry(context, budget, requester).action == RetryAction::RetryNow) {
                context.attempts++;
                attempts++;
            }
        }
        EXPECT_LE(attempts, requests * (1 + settings.creditPerRequest) + settings.maxCredit) << "failure rate: " << failureRate;
    }
}
