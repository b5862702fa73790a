#include "claims/claimdecision.h"

namespace cardamomlift::claims {

namespace {

Decision end(BeginOutcome outcome)
{
    return {Step::End, outcome};
}

Decision next(Step step, const AttemptView &view)
{
    if (!view.inTime) {
        return end(outcomeWhenLate(view));
    }
    return {step, BeginOutcome::NotRun};
}

/// A claim of another attempt, which the table shows as not ended.
Decision afterForeignClaim(const ClaimRow &row, const AttemptView &view)
{
    if (row.nonce == view.releasedNonce) {
        return next(Step::ReplaceClaim, view);
    }
    // NOTE A silent holder may have been paused between the claim and the dispatch, and may wake and send at any time.
    if (row.nonce == view.silentNonce) {
        return end(BeginOutcome::OutcomeUnknown);
    }
    return {Step::AskHolder, BeginOutcome::StillRunning};
}

} // namespace

Decision afterClaimWrite(table::WriteOutcome outcome, const AttemptView &view)
{
    switch (outcome) {
    case table::WriteOutcome::Written:
        return view.inTime ? end(BeginOutcome::Run) : end(outcomeWhenLate(view));
    case table::WriteOutcome::ConditionFailed:
        return next(Step::Read, view);
    case table::WriteOutcome::NotWritten:
        return next(Step::WriteClaim, view);
    case table::WriteOutcome::Unknown:
        // NOTE A read that finds no row proves nothing: the write may take effect later. The claim is written again then,
        // and only an answered write or our own nonce in the table permits the dispatch.
        return next(Step::Read, view);
    }
    return end(BeginOutcome::OutcomeUnknown);
}

Decision afterRead(const std::optional<ClaimRow> &row, const AttemptView &view)
{
    if (!row) {
        return next(Step::WriteClaim, view);
    }
    if (row->nonce == view.nonce) {
        return view.inTime ? end(BeginOutcome::Run) : end(outcomeWhenLate(view));
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
    return next(Step::Read, view);
}

Decision afterAsk(HolderState state, const AttemptView &view)
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
        // The read comes after the holder's word: a claim that it shows then was not settled in between.
        return {Step::Read, BeginOutcome::OutcomeUnknown};
    }
    return end(BeginOutcome::OutcomeUnknown);
}

BeginOutcome outcomeWhenLate(const AttemptView &view)
{
    return view.keySeen ? BeginOutcome::OutcomeUnknown : BeginOutcome::NotRun;
}

bool mayDispatch(const Claim &claim, TimePoint now, WallTime wallNow, Duration lease)
{
    return now - claim.begunAt < lease && wallNow - claim.begunAtWall < lease;
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
