// The move of a RecoveringStream from a server that is leaving to its successor.

#include "recovery/internal/recoveringstream.h"

#include "recovery/recoverydecision.h"

#include <utility>

namespace cardamomlift::recovery {

namespace {

constexpr int MostFailedMoves = 4;
constexpr Duration TransferTimeout = std::chrono::seconds(5);

} // namespace

void RecoveringStream::checkReclaim(Duration left)
{
    const bool isBusy = machine_.isPreparing || machine_.successor != NoLeg || machine_.current == NoLeg;
    if (machine_.ended || isBusy || !hooks_.onMove || !hooks_.soFar || failedMoves_ >= MostFailedMoves) {
        return;
    }
    const RecoveryPlan plan = planRecovery(inputs(left));
    if (plan.method != RecoveryMethod::MoveKv && plan.method != RecoveryMethod::Recompute) {
        return;
    }
    const RecoveryEstimates &estimates = *tools_.estimates;
    const std::int64_t bytes = expectedKvBytes(estimates, tokensKnown());
    const bool mayTransfer = canStartTransfer(bytes, estimates.kvBytesInFlight, estimates.transfersInFlight, estimates.isKvRateKnown);
    if (plan.method == RecoveryMethod::MoveKv && !mayTransfer) {
        return;
    }
    moveMethod_ = plan.method;
    apply(onMoveWanted(machine_));
}

RecoveryInputs RecoveringStream::inputs(Duration left) const
{
    const RecoveryEstimates &estimates = *tools_.estimates;
    const Leg &leg = legs_.at(machine_.current);
    RecoveryInputs inputs;
    inputs.promptTokens = promptTokens_;
    inputs.tokensSoFar = static_cast<std::int64_t>(machine_.position);
    if (maxTokens_ > 0 && leg.hasToken) {
        inputs.tokensLeft = maxTokens_ - inputs.tokensSoFar;
    }
    inputs.resumeTried = machine_.resumeTried;
    inputs.serverAnswers = !resuming_;
    inputs.reclaimLeft = left;
    inputs.betweenTokens = betweenTokens_;
    inputs.cachedShareAtTarget = estimates.cachedShare;
    inputs.prefillTokensPerMs = estimates.prefillTokensPerMs;
    inputs.prefillQueueTokens = estimates.prefillTokensInFlight;
    inputs.isKvRateKnown = estimates.isKvRateKnown;
    inputs.kvBytesPerToken = estimates.kvBytesPerToken;
    inputs.kvBytesPerMs = estimates.kvBytesPerMs;
    inputs.kvQueueBytes = estimates.kvBytesInFlight;
    inputs.canMoveKv = leg.hasToken && expectedKvBytes(estimates, tokensKnown()) <= MaxTransferBytes;
    return inputs;
}

std::int64_t RecoveringStream::tokensKnown() const
{
    return promptTokens_ + static_cast<std::int64_t>(machine_.position);
}

void RecoveringStream::prepareMove()
{
    const auto next = hooks_.onMove();
    if (!next) {
        failedMoves_++;
        apply(onMovePrepared(machine_, NoLeg));
        return;
    }
    prepared_ = addLeg(next->server, next->request.requestId, moveMethod_);
    legs_[prepared_].request = next->request;
    if (moveMethod_ == RecoveryMethod::MoveKv) {
        exportFrom(machine_.current, prepared_);
    } else {
        startSuccessor(prepared_, {});
    }
}

void RecoveringStream::exportFrom(LegId from, LegId to)
{
    RecoveryEstimates &estimates = *tools_.estimates;
    const std::int64_t bytes = expectedKvBytes(estimates, tokensKnown()) + 1;
    const std::int64_t beside = estimates.kvBytesInFlight;
    estimates.kvBytesInFlight += bytes;
    estimates.transfersInFlight++;
    isExporting_ = true;
    const Leg &leg = legs_[from];
    const auto done = [self = shared_from_this(), to, bytes, beside, since = tools_.loop->now(), requestId = leg.requestId](std::optional<std::string> cache) {
        self->endTransfer(bytes);
        if (self->machine_.ended || !std::exchange(self->isExporting_, false)) {
            return;
        }
        if (!cache) {
            self->startSuccessor(to, {});
            return;
        }
        self->importInto(to, requestId, std::move(*cache), since, beside);
    };
    tools_.direct->exportKv(leg.server, leg.requestId, static_cast<std::size_t>(MaxTransferBytes), TransferTimeout, done);
}

void RecoveringStream::importInto(LegId to, const std::string &fromRequestId, std::string cache, TimePoint since, std::int64_t beside)
{
    const auto bytes = static_cast<std::int64_t>(cache.size());
    tools_.estimates->kvBytesInFlight += bytes;
    tools_.estimates->transfersInFlight++;
    const std::int64_t tokens = tokensKnown();
    const auto done = [self = shared_from_this(), to, bytes, beside, since, tokens, fromRequestId](bool accepted) {
        self->endTransfer(bytes);
        if (self->machine_.ended) {
            return;
        }
        if (accepted) {
            const auto took = std::chrono::duration_cast<Duration>(self->tools_.loop->now() - since);
            learnTransfer(*self->tools_.estimates, tokens, bytes, beside, took);
        }
        self->startSuccessor(to, accepted ? fromRequestId : std::string());
    };
    tools_.direct->importKv(legs_[to].server, fromRequestId, std::move(cache), TransferTimeout, done);
}

void RecoveringStream::endTransfer(std::int64_t bytes)
{
    tools_.estimates->kvBytesInFlight -= bytes;
    tools_.estimates->transfersInFlight--;
    tools_.lookAgain();
}

void RecoveringStream::startSuccessor(LegId id, const std::string &kvFrom)
{
    Leg &leg = legs_[id];
    leg.method = kvFrom.empty() ? RecoveryMethod::Recompute : RecoveryMethod::MoveKv;
    engine::EngineRequest request = std::move(leg.request);
    const auto soFar = hooks_.soFar();
    request.continueTokens.assign(soFar.begin(), soFar.end());
    request.kvFrom = kvFrom;
    prepared_ = NoLeg;
    startLeg(id, request);
    apply(onMovePrepared(machine_, id));
}

} // namespace cardamomlift::recovery
