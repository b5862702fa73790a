#include "retry/retrydecision.h"

namespace cardamomlift::retry {

namespace {

constexpr Duration ShortRetryAfter = std::chrono::seconds(1);
constexpr Duration NewServerRetryAfter = std::chrono::seconds(5); ///< A replacement VM takes at least this long to start.

RetryDecision giveUp(metrics::RefusalReason reason, Duration retryAfter)
{
    RetryDecision decision;
    decision.refusalReason = reason;
    decision.retryAfter = retryAfter;
    return decision;
}

} // namespace

bool mayHaveRun(FailureKind failure)
{
    return failure != FailureKind::NotSent && failure != FailureKind::Refused;
}

metrics::RetryReason retryReason(FailureKind failure)
{
    switch (failure) {
    case FailureKind::NotSent:
        return metrics::RetryReason::ConnectFailed;
    case FailureKind::Refused:
        return metrics::RetryReason::ServerRefused;
    case FailureKind::ServerLeaving:
        return metrics::RetryReason::ServerLeaving;
    case FailureKind::TimedOut:
        return metrics::RetryReason::ServerFailed;
    case FailureKind::ConnectionBroken:
        return metrics::RetryReason::StreamBroken;
    }
    return metrics::RetryReason::StreamBroken;
}

RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget, RetryRequester requester)
{
    if (mayHaveRun(context.failure) && !context.idempotent) {
        return giveUp(metrics::RefusalReason::OutcomeUnknown, Duration(0));
    }
    if (context.serversLeft == 0) {
        return giveUp(metrics::RefusalReason::NoBackend, NewServerRetryAfter);
    }
    if (context.attempts >= (context.accepted ? MaxAttemptsAccepted : MaxAttempts)) {
        return giveUp(metrics::RefusalReason::RetriesExhausted, ShortRetryAfter);
    }
    if (!context.accepted && context.timeLeft && *context.timeLeft <= context.expectedDelay) {
        return giveUp(metrics::RefusalReason::DeadlineImpossible, ShortRetryAfter);
    }
    // NOTE An accepted answer is never given up because the budget is used up: each of its retries follows a server failure,
    // and MaxAttemptsAccepted bounds them.
    if (!context.accepted && !budget.trySpend(requester)) {
        return giveUp(metrics::RefusalReason::RetriesExhausted, ShortRetryAfter);
    }
    RetryDecision decision;
    decision.action = RetryAction::RetryNow;
    decision.retryReason = retryReason(context.failure);
    return decision;
}

} // namespace cardamomlift::retry
