#pragma once

#include "http/httptypes.h"
#include "kernel/clock.h"

#include <cstdint>
#include <string>

namespace cardamomlift::claims {

/// What is known about the execution of a non-idempotent call.
enum class Outcome {
    NotRun, ///< No backend server ran it and none will.
    Answered,
    Unknown, ///< It may have run or may still run.
};

/// One call with an idempotency key.
struct ClaimRequest {
    std::string customer;
    std::string key; ///< The caller's Idempotency-Key.
    std::string bodyHash; ///< Of method, path and body: a repeated key is valid only with the same request.
    Duration claimTimeout = std::chrono::milliseconds(500); ///< Time limit for deciding the claim in the table.
    Duration answerTimeout = std::chrono::seconds(10); ///< How long a repeated request may wait for the response of the running call.
};

/// The response stored for repeated requests.
struct StoredResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    bool hasBody = true; ///< False: the body was too large to be stored.
};

/// The outcome of an attempt to claim a key.
enum class BeginOutcome {
    Run, ///< This VM holds the claim and must dispatch the call, then call finish().
    Replay, ///< Answered before: return the stored response.
    StillRunning, ///< Another attempt runs it now.
    OutcomeUnknown, ///< The call may have run: the VM that claimed it is gone or does not know the outcome either.
    KeyReused, ///< The key was used before with a different request.
    NotRun, ///< The key could not be claimed in time; this attempt ran nothing and never will.
};

/// A claim on an idempotency key, as its holder knows it.
struct Claim {
    ClaimRequest request;
    std::string nonce; ///< Random, one per attempt; distinguishes our own write from another attempt's.
    TimePoint leaseStart; ///< Taken before the claim is written.
    WallTime leaseStartWall; ///< The same on the wall clock, which also advances while a VM is suspended.
    std::int64_t expiresAt = 0; ///< Seconds since 1970 UTC; after it the platform deletes the row.
};

/// The result of ClaimManager::begin().
struct BeginResult {
    BeginOutcome outcome = BeginOutcome::NotRun;
    Claim claim;
    StoredResponse response;
    bool keyLookedUp = false; ///< The key was looked up in the table, so the outcome also covers earlier calls with it.
};

} // namespace cardamomlift::claims
