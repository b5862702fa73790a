#pragma once

#include "retry/retrybudget.h"
#include "retry/retrytypes.h"

namespace cardamomlift::retry {

/// Maximum attempts, including the first, of a request that has not been accepted.
inline constexpr std::size_t MaxAttempts = 3;
/// Maximum attempts, including the first, of an accepted request. Each one after the first follows the failure of a server.
inline constexpr std::size_t MaxAttemptsAccepted = 8;

/// Whether the server may have run the request or a part of it.
bool mayHaveRun(FailureKind failure);
metrics::RetryReason retryReason(FailureKind failure);

/// Decides whether a failed request is retried. Spends from @p budget only if it returns RetryNow for a request that has not
/// been accepted.
RetryDecision decideRetry(const RetryContext &context, RetryBudget &budget, RetryRequester requester);

} // namespace cardamomlift::retry
