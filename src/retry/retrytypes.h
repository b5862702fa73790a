#pragma once

#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <optional>

namespace cardamomlift::retry {

/// How an attempt failed, which tells whether the request may have run.
enum class FailureKind {
    NotSent, ///< No connection was made or no byte was written: the request did not run.
    Refused, ///< The server reported that it did not run any part of the request.
    ServerLeaving, ///< The server is being reclaimed or shut down and its stream ended early.
    TimedOut, ///< The request was sent, at least in part, and no complete answer came in time.
    ConnectionBroken, ///< The request was sent, at least in part, and the connection broke.
};

/// State of a request whose last attempt failed, as input of decideRetry().
struct RetryContext {
    std::size_t attempts = 0; ///< Attempts so far.
    FailureKind failure = FailureKind::NotSent; ///< Failure of the last attempt.
    bool idempotent = true; ///< May be repeated even if it has run. True for streams, which are resumed where they ended.
    bool accepted = false; ///< The caller has received a part of the answer, so the answer must be completed.
    std::size_t serversLeft = 0; ///< Live servers on which this request has not failed.
    std::optional<Duration> timeLeft; ///< Until the deadline; empty without a deadline.
    Duration expectedDelay{0}; ///< Minimum time until another server gives a useful answer.
};

enum class RetryAction {
    RetryNow, ///< On another server.
    GiveUp,
};

/// Whether to retry, and what to report to the caller otherwise.
struct RetryDecision {
    RetryAction action = RetryAction::GiveUp;
    metrics::RetryReason retryReason = metrics::RetryReason::ConnectFailed; ///< With RetryNow.
    metrics::RefusalReason refusalReason = metrics::RefusalReason::RetriesExhausted; ///< With GiveUp.
    Duration retryAfter{0}; ///< With GiveUp: when the caller may retry; 0 if a repeat would not help.
};

} // namespace cardamomlift::retry
