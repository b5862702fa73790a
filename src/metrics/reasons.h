#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace cardamomlift::metrics {

/// Why a request was refused. One counter each (cardamomlift_refusals_total), one line each in docs/operators/refusals.md.
enum class RefusalReason {
    BadJson,
    BadField,
    BodyTooLarge,
    HeaderTooLarge, ///< Or broken off in the middle.
    SlowSender, ///< The request did not end in time.
    UnknownPath,
    MissingCredential,
    UnknownCredential,
    UnknownModel,
    UnknownService,
    UnknownRequest,
    MissingIdempotencyKey,
    IdempotencyKeyReused, ///< Same key, other body.
    StillRunning, ///< The same key is being run now.
    OutcomeUnknown,
    TooManyRequests, ///< Over requestsPerSecond.
    TooManyOpen, ///< Over openRequests.
    TokenLimit, ///< Over tokensPerMinute.
    SpendingBound,
    DeadlineImpossible, ///< Can't be in time.
    Overloaded, ///< No room on this VM or in the fleet.
    NoBackend,
    RetriesExhausted,
    CrashesServers, ///< The request crashed too many servers.
    TableDown,
    NotReady, ///< No configuration yet, or it may be out of date.
    Draining,
    Count
};

/// Why an attempt was repeated. One counter each (cardamomlift_retries_total).
enum class RetryReason { ConnectFailed, ServerRefused, ServerFailed, StreamBroken, ServerLeaving, ServerSilent, ServerSlow, TableConflict, Count };

std::string_view reasonName(RefusalReason reason);
std::string_view reasonName(RetryReason reason);

} // namespace cardamomlift::metrics
