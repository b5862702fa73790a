#pragma once

#include "claims/claimtypes.h"
#include "table/tabletypes.h"

#include <optional>
#include <string>

/// The state machine of a claim, as drawn in docs/design/at-most-once.md. All decisions that keep a call from running
/// twice are here.
namespace cardamomlift::claims {

enum class RowState { Claimed, Answered, Unknown };

/// A claim as the table has it.
struct ClaimRow {
    RowState state = RowState::Claimed;
    std::string holder; ///< Instance of the VM that wrote it.
    std::string boot; ///< Of the holder's process: a restarted one knows nothing of its earlier claims.
    std::string nonce;
    std::string bodyHash;
    StoredResponse response;
};

/// What the holder of a claim said of it.
enum class HolderState {
    NoAnswer, ///< Gone, cut off, paused, or restarted since.
    NotHeld, ///< It never dispatches this attempt, and all it knew of it is in the table.
    Running,
    Answered,
    Unknown,
    NotRun, ///< It never dispatched this attempt in a way that could run, and never will.
};

/// What an attempt does next.
enum class Step {
    WriteClaim, ///< Put the claim if the key is absent.
    ReplaceClaim, ///< Put the claim in place of a released one.
    Read,
    AskHolder,
    End, ///< With Decision::outcome.
};

/// The next step, and with Step::End its outcome.
struct Decision {
    Step step = Step::End;
    BeginOutcome outcome = BeginOutcome::NotRun;
};

/// What an attempt knows so far.
struct AttemptView {
    std::string nonce;
    std::string bodyHash;
    bool inTime = true; ///< The claim may still be decided.
    bool mayWait = true; ///< The caller may still wait for the answer of the running attempt.
    bool keySeen = false; ///< The table showed that another attempt has the key.
    std::string releasedNonce; ///< Its holder said that it will never run.
    std::string silentNonce; ///< Its holder did not answer.
};

/// After the table answered, or did not answer, a write of the claim.
Decision afterClaimWrite(table::WriteOutcome outcome, const AttemptView &view);
/// After a read of the key that the table answered; no row: the key is free.
Decision afterRead(const std::optional<ClaimRow> &row, const AttemptView &view);
/// After a read that the table did not answer.
Decision afterFailedRead(const AttemptView &view);
/// After the holder of the claim in the way was asked.
Decision afterAsk(HolderState state, const AttemptView &view);
/// When the time for deciding the claim is over.
BeginOutcome outcomeWhenLate(const AttemptView &view);

/// Whether a claimed call may still be sent: its lease, counted on both clocks, has not lapsed.
bool mayDispatch(const Claim &claim, TimePoint now, WallTime wallNow, Duration lease);
/// What the end of one attempt at a backend server proves. @p saysNotRun: the server answered "X-Not-Run: true".
Outcome afterDispatch(http::Transport transport, bool saysNotRun);

} // namespace cardamomlift::claims
