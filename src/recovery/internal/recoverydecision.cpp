#include "recovery/recoverydecision.h"

#include <algorithm>

namespace cardamomlift::recovery {

namespace {

constexpr double FinishMargin = 1.25; ///< Factor on the time to finish: streams slow down as batches grow.
constexpr double TransferShare = 0.1; ///< Weight of transfer time: a transfer uses network and memory, not the compute units.
constexpr double GapWeight = 1.0; ///< A millisecond over the gap target costs as much as one of accelerator time.
constexpr Duration TransferMargin = std::chrono::milliseconds(100);
constexpr Duration FirstTransferBudget = std::chrono::milliseconds(500); ///< Time required for a transfer while the rate is unknown.
constexpr Duration ReconnectGap = std::chrono::milliseconds(2);
constexpr Duration TargetTokenInterval = std::chrono::milliseconds(76);
constexpr int StallIntervals = 20;
constexpr Duration MaxStall = std::chrono::seconds(10);
constexpr double MicrosPerMilli = 1000;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosPerMilli;
}

Duration fromMs(double milliseconds)
{
    return Duration(static_cast<std::int64_t>(milliseconds * MicrosPerMilli));
}

double gapPenalty(const RecoveryInputs &inputs, Duration gap)
{
    return GapWeight * std::max(0.0, toMs(gap - inputs.gapTarget));
}

RecoveryCost costOfStay(const RecoveryInputs &inputs)
{
    RecoveryCost cost;
    if (inputs.connectionBroke || !inputs.serverAnswers) {
        return cost;
    }
    if (!inputs.reclaimLeft) {
        cost.isPossible = true;
        return cost;
    }
    if (!inputs.tokensLeft) {
        return cost;
    }
    cost.oldServerNeededFor = fromMs(static_cast<double>(*inputs.tokensLeft) * toMs(inputs.betweenTokens) * FinishMargin);
    cost.isPossible = cost.oldServerNeededFor <= *inputs.reclaimLeft;
    return cost;
}

RecoveryCost costOfResume(const RecoveryInputs &inputs)
{
    RecoveryCost cost;
    cost.isPossible = inputs.connectionBroke && inputs.serverAnswers && !inputs.resumeTried;
    cost.gap = ReconnectGap;
    cost.score = toMs(ReconnectGap);
    return cost;
}

RecoveryCost costOfMoveKv(const RecoveryInputs &inputs)
{
    RecoveryCost cost;
    if (inputs.connectionBroke || !inputs.serverAnswers || !inputs.canMoveKv) {
        return cost;
    }
    if (!inputs.isKvRateKnown) {
        // Score 0: the first transfer is made to measure the rate.
        cost.oldServerNeededFor = FirstTransferBudget;
        cost.isPossible = !inputs.reclaimLeft || cost.oldServerNeededFor <= *inputs.reclaimLeft;
        return cost;
    }
    const double bytes = static_cast<double>(inputs.promptTokens + inputs.tokensSoFar) * inputs.kvBytesPerToken;
    const double ownMs = bytes / inputs.kvBytesPerMs;
    const double queueMs = static_cast<double>(inputs.kvQueueBytes) / inputs.kvBytesPerMs;
    cost.oldServerNeededFor = fromMs(ownMs + queueMs) + TransferMargin;
    cost.isPossible = !inputs.reclaimLeft || cost.oldServerNeededFor <= *inputs.reclaimLeft;
    // Tokens produced during the transfer are not in the exported cache.
    const double tokensDuringTransfer = inputs.betweenTokens.count() > 0 ? (ownMs + queueMs) / toMs(inputs.betweenTokens) : 0;
    cost.recomputedTokens = static_cast<std::int64_t>(tokensDuringTransfer);
    cost.gap = fromMs(tokensDuringTransfer / inputs.prefillTokensPerMs) + ReconnectGap;
    cost.score = ownMs * TransferShare + tokensDuringTransfer / inputs.prefillTokensPerMs + gapPenalty(inputs, cost.gap);
    return cost;
}

RecoveryCost costOfRecompute(const RecoveryInputs &inputs)
{
    RecoveryCost cost;
    cost.isPossible = true;
    const double uncached = static_cast<double>(inputs.promptTokens) * (1.0 - std::clamp(inputs.cachedShareAtTarget, 0.0, 1.0));
    cost.recomputedTokens = static_cast<std::int64_t>(uncached) + inputs.tokensSoFar;
    const double ownMs = static_cast<double>(cost.recomputedTokens) / inputs.prefillTokensPerMs;
    const double queueMs = static_cast<double>(inputs.prefillQueueTokens) / inputs.prefillTokensPerMs;
    cost.gap = fromMs(ownMs + queueMs) + ReconnectGap;
    cost.oldServerNeededFor = cost.gap;
    cost.score = ownMs + gapPenalty(inputs, cost.gap);
    return cost;
}

} // namespace

RecoveryPlan planRecovery(const RecoveryInputs &inputs)
{
    RecoveryPlan plan;
    plan.costs = {costOfStay(inputs), costOfResume(inputs), costOfMoveKv(inputs), costOfRecompute(inputs)};
    double best = 0;
    bool found = false;
    for (std::size_t i = 0; i < RecoveryMethodCount; i++) {
        const RecoveryCost &cost = plan.costs[i];
        if (cost.isPossible && (!found || cost.score < best)) {
            found = true;
            best = cost.score;
            plan.method = static_cast<RecoveryMethod>(i);
        }
    }
    return plan;
}

bool canStartTransfer(std::int64_t bytes, std::int64_t bytesInFlight, std::size_t transfersInFlight, bool isKvRateKnown)
{
    const std::size_t max = isKvRateKnown ? MaxTransfers : 1;
    return transfersInFlight < max && bytes + bytesInFlight <= MaxTransferBytes;
}

Duration stallLimit(Duration betweenTokens, bool hasToken)
{
    if (!hasToken) {
        return MaxStall;
    }
    return std::min(MaxStall, StallIntervals * std::max(betweenTokens, TargetTokenInterval));
}

std::string_view recoveryMethodName(RecoveryMethod method)
{
    constexpr std::array<std::string_view, RecoveryMethodCount> Names{"stay", "resume", "kv", "recompute"};
    return Names[static_cast<std::size_t>(method)];
}

} // namespace cardamomlift::recovery
