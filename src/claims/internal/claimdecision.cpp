#include "claims/claimdecision.h"

namespace cardamomlift::claims {

namespace {

Decision end(BeginOutcome outcome)
{
    return {Step::End, outcome};
}

Decision continueWith(Step step, const AttemptView &view)
{
    if (!view.beforeDeadline) {
        return end(outcomeAfterDeadline(view));
    }
    return {step, BeginOutcome::NotRun};
}

/// The next step when the table shows an unfinished claim of another attempt.
Decision afterForeignClaim(const ClaimRow &row, const AttemptView &view)
{
    if (row.nonce == view.releasedNonce) {
        return continueWith(Step::ReplaceClaim, view);
    }
    // NOTE A holder that does not answer may be paused between claim and dispatch, and may resume and send at any time.
    if (row.nonce == view.unresponsiveNonce) {
        return end(BeginOutcome::OutcomeUnknown);
    }
    return {Step::AskHolder, BeginOutcome::StillRunning};
}

} // namespace

Decision afterClaimWrite(table::WriteOutcome outcome, const AttemptView &view)
{
    switch (outcome) {
    case table::WriteOutcome::Written:
        return view.beforeDeadline ? end(BeginOutcome::Run) : end(outcomeAfterDeadline(view));
    case table::WriteOutcome::ConditionFailed:
        return continueWith(Step::Read, view);
    case table::WriteOutcome::NotWritten:
        return continueWith(Step::WriteClaim, view);
    case table::WriteOutcome::Unknown:
        // NOTE A read that finds no row does not prove that the write failed: it may take effect later. The claim is then
        // written again, and only a confirmed write or our own nonce in the table permits the dispatch.
        return continueWith(Step::Read, view);
    }
    return end(BeginOutcome::OutcomeUnknown);
}

Decision afterRead(const std::optional<ClaimRow> &row, const AttemptView &view)
{
    if (!row) {
        return continueWith(Step::WriteClaim, view);
    }
    if (row->nonce == view.nonce) {
        return view.beforeDeadline ? end(BeginOutcome::Run) : end(outcomeAfterDeadline(view));
    }
    if (row->bodyHash != view.bodyHash) {
        return end(BeginOutcome::KeyReused);
    }
    switch (row->state) {
    case RowState::Answered:
        return end(BeginOutcome::Replay);
    case RowState::Unknown:
        return end(BeginOutcome::OutcomeUnknown);
    case RowState::Claimed:
        return afterForeignClaim(*row, view);
    }
    return end(BeginOutcome::OutcomeUnknown);
}

Decision afterFailedRead(const AttemptView &view)
{
    return continueWith(Step::Read, view);
}

Decision afterHolderAnswer(HolderState state, const AttemptView &view)
{
    switch (state) {
    case HolderState::Answered:
        return end(BeginOutcome::Replay);
    case HolderState::Unknown:
        return end(BeginOutcome::OutcomeUnknown);
    case HolderState::Running:
        return view.mayWait ? Decision{Step::AskHolder, BeginOutcome::StillRunning} : end(BeginOutcome::StillRunning);
    case HolderState::NoAnswer:
    case HolderState::NotHeld:
    case HolderState::NotRun:
        // The read comes after the holder's answer: a claim that it still shows was not settled in between.
        return {Step::Read, BeginOutcome::OutcomeUnknown};
    }
    return end(BeginOutcome::OutcomeUnknown);
}

BeginOutcome outcomeAfterDeadline(const AttemptView &view)
{
    return view.otherClaimSeen ? BeginOutcome::OutcomeUnknown : BeginOutcome::NotRun;
}

bool mayDispatch(const Claim &claim, TimePoint now, WallTime wallNow, Duration lease)
{
    return now - claim.leaseStart < lease && wallNow - claim.leaseStartWall < lease;
}

Outcome afterDispatch(http::Transport transport, bool saysNotRun)
{
    switch (transport) {
    case http::Transport::NotSent:
        return Outcome::NotRun;
    case http::Transport::Completed:
        return saysNotRun ? Outcome::NotRun : Outcome::Answered;
    case http::Transport::Broken:
    case http::Transport::Cancelled:
        return Outcome::Unknown;
    }
    return Outcome::Unknown;
}

} // namespace cardamomlift::claims
