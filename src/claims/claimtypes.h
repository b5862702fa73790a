#pragma once

#include "http/httptypes.h"
#include "kernel/clock.h"

#include <cstdint>
#include <string>

namespace cardamomlift::claims {

/// What is known of a non-idempotent call.
enum class Outcome {
    NotRun, ///< No backend server ran it and none will.
    Answered,
    Unknown, ///< It may have run or may still run.
};

/// One call with an idempotency key.
struct ClaimRequest {
    std::string customer;
    std::string key; ///< The caller's Idempotency-Key.
    std::string bodyHash; ///< Of method, path and body: the same key must come with the same request.
    Duration claimTimeout = std::chrono::milliseconds(500); ///< How long the table may take to decide the claim.
    Duration answerTimeout = std::chrono::seconds(10); ///< How long a repeat may wait for the answer of the running call.
};

/// The answer kept for repeats.
struct StoredResponse {
    int status = 0;
    std::string contentType;
    std::string body;
    bool hasBody = true; ///< False: the body was too large to keep.
};

/// What the claim of a key gave.
enum class BeginOutcome {
    Run, ///< This VM holds the claim and must dispatch, then finish().
    Replay, ///< Answered before: give the kept answer.
    StillRunning, ///< Another attempt runs it now.
    OutcomeUnknown, ///< It may have run: its VM is gone or does not know either.
    KeyReused, ///< The key came with another request.
    NotRun, ///< The key could not be claimed in time; this attempt ran nothing and never will.
};

/// A claim on an idempotency key, as its holder knows it.
struct Claim {
    ClaimRequest request;
    std::string nonce; ///< Of this attempt; tells our own write from another attempt's.
    TimePoint begunAt; ///< Before the claim was written. The lease counts from here.
    WallTime begunAtWall; ///< The same on the civil clock, which also counts while a VM is suspended.
    std::int64_t expiresAt = 0; ///< Seconds since 1970 UTC; the platform deletes the row after it.
};

/// The answer to a claim of a key.
struct BeginResult {
    BeginOutcome outcome = BeginOutcome::NotRun;
    Claim claim;
    StoredResponse response;
    bool keyLookedUp = false; ///< The table was asked for the key, so the outcome speaks for earlier calls with it as well.
};

} // namespace cardamomlift::claims
