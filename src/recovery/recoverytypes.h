#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cardamomlift::recovery {

/// How a stream whose server leaves or fails goes on. Earlier ones are preferred at equal cost.
enum class RecoveryMethod {
    Stay, ///< Go on reading where it runs.
    Resume, ///< Join the same stream of the same server by a new connection.
    MoveKv, ///< Carry its KV cache to another server and continue there.
    Recompute, ///< Continue at another server, which computes prompt and output so far again.
};
inline constexpr std::size_t RecoveryMethodCount = 4;

/// What the choice hangs on. Rates are those measured by this VM.
struct RecoveryInputs {
    std::int64_t promptTokens = 0;
    std::int64_t tokensSoFar = 0;
    std::optional<std::int64_t> tokensLeft; ///< At most; unknown for a stream that another VM started.
    bool connectionBroke = false;
    bool serverAnswers = true; ///< As far as known.
    bool resumeTried = false; ///< Since the last token.
    std::optional<Duration> reclaimLeft; ///< Until the server is gone; none: it was not told to leave.
    Duration betweenTokens{0}; ///< Of this stream, as measured.
    Duration gapTarget = std::chrono::milliseconds(76); ///< Longest time wanted between two tokens.
    double cachedShareAtTarget = 0; ///< Of the prompt, expected in the prefix cache of the next server; 0 to 1.
    double prefillTokensPerMs = 10;
    std::int64_t prefillQueueTokens = 0; ///< Before ours at the next server, as far as known.
    bool canMoveKv = true; ///< The cache fits into this VM's memory, and there is a stream to export.
    bool isKvRateKnown = false;
    double kvBytesPerToken = 0;
    double kvBytesPerMs = 1;
    std::int64_t kvQueueBytes = 0; ///< In transfer now, through this VM.
};

/// What one method costs.
struct RecoveryCost {
    bool isPossible = false;
    Duration gap{0}; ///< Time without a token beyond the usual one.
    std::int64_t recomputedTokens = 0;
    Duration takes{0}; ///< Until the old server is no longer needed.
    double score = 0; ///< Milliseconds of accelerator time, or its worth; the lowest is taken.
};

/// The chosen method, and what each would have cost.
struct RecoveryPlan {
    RecoveryMethod method = RecoveryMethod::Recompute;
    std::array<RecoveryCost, RecoveryMethodCount> costs; ///< By RecoveryMethod.
};

} // namespace cardamomlift::recovery
