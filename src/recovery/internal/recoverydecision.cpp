#include "recovery/recoverydecision.h"

#include <algorithm>

namespace cardamomlift::recovery {

namespace {

constexpr double FinishMargin = 1.25; ///< Streams slow down as batches grow.
constexpr double TransferShare = 0.1; ///< A transfer uses links and memory, not the compute units.
constexpr double GapWeight = 1.0; ///< A millisecond over the gap target weighs as one of accelerator time.
constexpr Duration TransferMargin = std::chrono::milliseconds(100);
constexpr Duration FirstTransfer = std::chrono::milliseconds(500); ///< Time wanted for a transfer of unknown rate.
constexpr Duration ReconnectGap = std::chrono::milliseconds(2);
constexpr Duration BetweenTokensTarget = std::chrono::milliseconds(76);
constexpr int StalledIntervals = 20;
constexpr Duration LongestStall = std::chrono::seconds(10);
constexpr double MicrosPerMilli = 1000;

double toMs(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosPerMilli;
}

Duration fromMs(double milliseconds)
{
    return Duration(static_cast<std::int64_t>(milliseconds * MicrosPerMilli));
}

double gapPenalty(const RecoveryQuestion &question, Duration gap)
{
    return GapWeight * std::max(0.0, toMs(gap - question.gapTarget));
}

RecoveryCost costOfStay(const RecoveryQuestion &question)
{
    RecoveryCost cost;
    if (question.connectionBroke || !question.serverAnswers) {
        return cost;
    }
    if (!question.reclaimLeft) {
        cost.isPossible = true;
        return cost;
    }
    if (!question.tokensLeft) {
        return cost;
    }
    cost.takes = fromMs(static_cast<double>(*question.tokensLeft) * toMs(question.betweenTokens) * FinishMargin);
    cost.isPossible = cost.takes <= *question.reclaimLeft;
    return cost;
}

RecoveryCost costOfResume(const RecoveryQuestion &question)
{
    RecoveryCost cost;
    cost.isPossible = question.connectionBroke && question.serverAnswers && !question.resumeTried;
    cost.gap = ReconnectGap;
    cost.score = toMs(ReconnectGap);
    return cost;
}

RecoveryCost costOfMoveKv(const RecoveryQuestion &question)
{
    RecoveryCost cost;
    if (question.connectionBroke || !question.serverAnswers || !question.canMoveKv) {
        return cost;
    }
    if (!question.isKvRateKnown) {
        // A first transfer measures the rate.
        cost.takes = FirstTransfer;
        cost.isPossible = !question.reclaimLeft || cost.takes <= *question.reclaimLeft;
        return cost;
    }
    const double bytes = static_cast<double>(question.promptTokens + question.tokensSoFar) * question.kvBytesPerToken;
    const double ownMs = bytes / question.kvBytesPerMs;
    const double queueMs = static_cast<double>(question.kvQueueBytes) / question.kvBytesPerMs;
    cost.takes = fromMs(ownMs + queueMs) + TransferMargin;
    cost.isPossible = !question.reclaimLeft || cost.takes <= *question.reclaimLeft;
    // Tokens made while the cache is on its way are not in it.
    const double madeMeanwhile = question.betweenTokens.count() > 0 ? (ownMs + queueMs) / toMs(question.betweenTokens) : 0;
    cost.recomputedTokens = static_cast<std::int64_t>(madeMeanwhile);
    cost.gap = fromMs(madeMeanwhile / question.prefillTokensPerMs) + ReconnectGap;
    cost.score = ownMs * TransferShare + madeMeanwhile / question.prefillTokensPerMs + gapPenalty(question, cost.gap);
    return cost;
}

RecoveryCost costOfRecompute(const RecoveryQuestion &question)
{
    RecoveryCost cost;
    cost.isPossible = true;
    const double uncached = static_cast<double>(question.promptTokens) * (1.0 - std::clamp(question.cachedShareAtTarget, 0.0, 1.0));
    cost.recomputedTokens = static_cast<std::int64_t>(uncached) + question.tokensSoFar;
    const double ownMs = static_cast<double>(cost.recomputedTokens) / question.prefillTokensPerMs;
    const double queueMs = static_cast<double>(question.prefillQueueTokens) / question.prefillTokensPerMs;
    cost.gap = fromMs(ownMs + queueMs) + ReconnectGap;
    cost.takes = cost.gap;
    cost.score = ownMs + gapPenalty(question, cost.gap);
    return cost;
}

} // namespace

RecoveryPlan planRecovery(const RecoveryQuestion &question)
{
    RecoveryPlan plan;
    plan.costs = {costOfStay(question), costOfResume(question), costOfMoveKv(question), costOfRecompute(question)};
    double best = 0;
    bool found = false;
    for (std::size_t i = 0; i < RecoveryWays; i++) {
        const RecoveryCost &cost = plan.costs[i];
        if (cost.isPossible && (!found || cost.score < best)) {
            found = true;
            best = cost.score;
            plan.way = static_cast<RecoveryWay>(i);
        }
    }
    return plan;
}

bool mayTransferNow(std::int64_t bytes, std::int64_t bytesInFlight, std::size_t transfersInFlight, bool isKvRateKnown)
{
    const std::size_t most = isKvRateKnown ? MostTransfers : 1;
    return transfersInFlight < most && bytes + bytesInFlight <= LargestCache;
}

Duration stallLimit(Duration betweenTokens, bool hasToken)
{
    if (!hasToken) {
        return LongestStall;
    }
    return std::min(LongestStall, StalledIntervals * std::max(betweenTokens, BetweenTokensTarget));
}

std::string_view wayName(RecoveryWay way)
{
    constexpr std::array<std::string_view, RecoveryWays> Names{"stay", "resume", "kv", "recompute"};
    return Names[static_cast<std::size_t>(way)];
}

} // namespace cardamomlift::recovery
