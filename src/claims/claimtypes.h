#pragma once

#include "http/httptypes.h"

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
};

/// The answer kept for repeats.
struct KeptAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class BeginOutcome {
    Run, ///< This VM holds the claim and must dispatch, then finish().
    Replay, ///< Answered before: give the kept answer.
    StillRunning, ///< Another VM runs it now.
    OutcomeUnknown, ///< A VM claimed it and never said how it ended.
    KeyReused, ///< The key came with another request.
    NotRun, ///< The table can't be asked; nothing was run for this call.
};

struct Claim {
    ClaimRequest request;
    std::string nonce; ///< Of this attempt; tells our own write from another VM's.
};

struct BeginResult {
    BeginOutcome outcome = BeginOutcome::NotRun;
    Claim claim;
    KeptAnswer answer;
};

} // namespace cardamomlift::claims
