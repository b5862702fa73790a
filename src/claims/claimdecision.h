#pragma once

#include "claims/claimtypes.h"
#include "table/tabletypes.h"

#include <optional>
#include <string>

/// The state machine of a claim, as drawn in docs/design/at-most-once.md. All decisions that prevent a call from running
/// twice are made here.
namespace cardamomlift::claims {

enum class RowState { Claimed, Answered, Unknown };

/// A claim as stored in the table.
struct ClaimRow {
    RowState state = RowState::Claimed;
    std::string holder; ///< Instance of the VM that wrote it.
    std::string bootId; ///< Of the holder's process: a restarted process knows nothing of its earlier claims.
    std::string nonce;
    std::string bodyHash;
    StoredResponse response;
};

/// The state of a claim as reported by its holder.
enum class HolderState {
    NoAnswer, ///< The holder has left the fleet, is unreachable or paused, or has restarted since.
    NotHeld, ///< The holder will never dispatch this attempt, and all it knew of it is in the table.
    Running,
    Answered,
    Unknown,
    NotRun, ///< No backend server can have run this attempt, and the holder will never dispatch it again.
};

/// The next action of an attempt.
enum class Step {
    WriteClaim, ///< Write the claim on condition that the key is absent.
    ReplaceClaim, ///< Write the claim on condition that a released claim is still there.
    Read,
    AskHolder,
    End, ///< With Decision::outcome.
};

/// The next step, and with Step::End its outcome.
struct Decision {
    Step step = Step::End;
    BeginOutcome outcome = BeginOutcome::NotRun;
};

/// The state of an attempt that its decisions depend on.
struct AttemptView {
    std::string nonce;
    std::string bodyHash;
    bool beforeDeadline = true; ///< The time for deciding the claim is not over.
    bool mayWait = true; ///< The caller may still wait for the response of the running attempt.
    bool otherClaimSeen = false; ///< The table showed that another attempt holds the key.
    std::string releasedNonce; ///< Of a claim whose holder reported that it will never run.
    std::string unresponsiveNonce; ///< Of a claim whose holder did not answer.
};

/// The next step after a write of the claim, whether or not the table answered it.
Decision afterClaimWrite(table::WriteOutcome outcome, const AttemptView &view);
/// The next step after a successful read of the key. No row: the key is free.
Decision afterRead(const std::optional<ClaimRow> &row, const AttemptView &view);
/// The next step after a read that the table did not answer.
Decision afterFailedRead(const AttemptView &view);
/// The next step after a query to the holder of another attempt's claim.
Decision afterHolderAnswer(HolderState state, const AttemptView &view);
/// The outcome when the time for deciding the claim is over.
BeginOutcome outcomeAfterDeadline(const AttemptView &view);

/// Whether a claimed call may still be sent: its lease has expired neither on the monotonic nor on the wall clock.
bool mayDispatch(const Claim &claim, TimePoint now, WallTime wallNow, Duration lease);
/// The outcome that the end of one dispatch to a backend server proves. @p saysNotRun: the server answered "X-Not-Run: true".
Outcome afterDispatch(http::Transport transport, bool saysNotRun);

} // namespace cardamomlift::claims
