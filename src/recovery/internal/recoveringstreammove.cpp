// The part of RecoveringStream that moves a stream from a server that is leaving to another one.

#include "recovery/internal/recoveringstream.h"

#include "recovery/recoverydecision.h"

#include <utility>

namespace cardamomlift::recovery {

namespace {

constexpr int MaxFailedMoves = 4;
constexpr Duration TransferTimeout = std::chrono::seconds(5);

} // namespace

void RecoveringStream::checkReclaim(Duration left)
{
    const bool isBusy = machine_.isPreparing || machine_.successor != NoAttempt || machine_.current == NoAttempt;
    if (machine_.ended || isBusy || !hooks_.nextAttempt || !hooks_.outputTokens || failedMoves_ >= MaxFailedMoves) {
        return;
    }
    const RecoveryPlan plan = planRecovery(inputs(left));
    if (plan.method != RecoveryMethod::MoveKv && plan.method != RecoveryMethod::Recompute) {
        return;
    }
    const RecoveryEstimates &estimates = *tools_.estimates;
    const std::int64_t bytes = expectedKvBytes(estimates, contextTokens());
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
    const Attempt &attempt = attempts_.at(machine_.current);
    RecoveryInputs inputs;
    inputs.promptTokens = promptTokens_;
    inputs.tokensSoFar = static_cast<std::int64_t>(machine_.position);
    if (maxTokens_ > 0 && attempt.hasToken) {
        inputs.tokensLeft = maxTokens_ - inputs.tokensSoFar;
    }
    inputs.resumeTried = machine_.resumeTried;
    inputs.serverAnswers = !isResuming_;
    inputs.reclaimLeft = left;
    inputs.betweenTokens = betweenTokens_;
    inputs.cachedShareAtTarget = estimates.cachedShare;
    inputs.prefillTokensPerMs = estimates.prefillTokensPerMs;
    inputs.prefillQueueTokens = estimates.prefillTokensInFlight;
    inputs.isKvRateKnown = estimates.isKvRateKnown;
    inputs.kvBytesPerToken = estimates.kvBytesPerToken;
    inputs.kvBytesPerMs = estimates.kvBytesPerMs;
    inputs.kvQueueBytes = estimates.kvBytesInFlight;
    inputs.canMoveKv = attempt.hasToken && expectedKvBytes(estimates, contextTokens()) <= MaxTransferBytes;
    return inputs;
}

std::int64_t RecoveringStream::contextTokens() const
{
    return promptTokens_ + static_cast<std::int64_t>(machine_.position);
}

void RecoveringStream::prepareMove()
{
    const auto next = hooks_.nextAttempt();
    if (!next) {
        failedMoves_++;
        apply(onMovePrepared(machine_, NoAttempt));
        return;
    }
    preparedAttempt_ = addAttempt(next->server, next->request.requestId, moveMethod_);
    attempts_[preparedAttempt_].request = next->request;
    if (moveMethod_ == RecoveryMethod::MoveKv) {
        exportKvFrom(machine_.current, preparedAttempt_);
    } else {
        startSuccessor(preparedAttempt_, {});
    }
}

void RecoveringStream::exportKvFrom(AttemptId from, AttemptId to)
{
    RecoveryEstimates &estimates = *tools_.estimates;
    const std::int64_t bytes = expectedKvBytes(estimates, contextTokens()) + 1;
    const std::int64_t concurrentBytes = estimates.kvBytesInFlight;
    estimates.kvBytesInFlight += bytes;
    estimates.transfersInFlight++;
    isExporting_ = true;
    const Attempt &attempt = attempts_[from];
    const auto done = [self = shared_from_this(), to, bytes, concurrentBytes, since = tools_.loop->now(), requestId = attempt.requestId](
                          std::optional<std::string> cache) {
        self->endTransfer(bytes);
        if (self->machine_.ended || !std::exchange(self->isExporting_, false)) {
            return;
        }
        if (!cache) {
            self->startSuccessor(to, {});
            return;
        }
        self->importKvInto(to, requestId, std::move(*cache), since, concurrentBytes);
    };
    tools_.direct->exportKv(attempt.server, attempt.requestId, static_cast<std::size_t>(MaxTransferBytes), TransferTimeout, done);
}

void RecoveringStream::importKvInto(AttemptId to, const std::string &fromRequestId, std::string cache, TimePoint since, std::int64_t concurrentBytes)
{
    const auto bytes = static_cast<std::int64_t>(cache.size());
    tools_.estimates->kvBytesInFlight += bytes;
    tools_.estimates->transfersInFlight++;
    const std::int64_t tokens = contextTokens();
    const auto done = [self = shared_from_this(), to, bytes, concurrentBytes, since, tokens, fromRequestId](bool accepted) {
        self->endTransfer(bytes);
        if (self->machine_.ended) {
            return;
        }
        if (accepted) {
            const auto took = std::chrono::duration_cast<Duration>(self->tools_.loop->now() - since);
            recordTransfer(*self->tools_.estimates, tokens, bytes, concurrentBytes, took);
        }
        self->startSuccessor(to, accepted ? fromRequestId : std::string());
    };
    tools_.direct->importKv(attempts_[to].server, fromRequestId, std::move(cache), TransferTimeout, done);
}

void RecoveringStream::endTransfer(std::int64_t bytes)
{
    tools_.estimates->kvBytesInFlight -= bytes;
    tools_.estimates->transfersInFlight--;
    tools_.onTransferEnded();
}

void RecoveringStream::startSuccessor(AttemptId id, const std::string &kvFrom)
{
    Attempt &attempt = attempts_[id];
    attempt.method = kvFrom.empty() ? RecoveryMethod::Recompute : RecoveryMethod::MoveKv;
    engine::EngineRequest request = std::move(attempt.request);
    const auto outputTokens = hooks_.outputTokens();
    request.continueTokens.assign(outputTokens.begin(), outputTokens.end());
    request.kvFrom = kvFrom;
    preparedAttempt_ = NoAttempt;
    startAttempt(id, request);
    apply(onMovePrepared(machine_, id));
}

} // namespace cardamomlift::recovery
