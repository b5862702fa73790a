#pragma once

#include "kernel/clock.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace cardamomlift::recovery {

/// How a stream continues whose server is leaving or has failed. At equal cost, earlier methods are preferred.
enum class RecoveryMethod {
    Stay, ///< Continue to read it from its server.
    Resume, ///< Resume the same stream at the same server through a new connection.
    MoveKv, ///< Transfer its KV cache to another server and continue there.
    Recompute, ///< Continue at another server, which prefills the prompt and the output so far again.
};
inline constexpr std::size_t RecoveryMethodCount = 4;

/// Inputs of the choice of a RecoveryMethod. Rates are those that this VM has measured.
struct RecoveryInputs {
    std::int64_t promptTokens = 0;
    std::int64_t tokensSoFar = 0;
    std::optional<std::int64_t> tokensLeft; ///< Upper bound; unset for a stream that another VM started.
    bool connectionBroke = false;
    bool serverAnswers = true; ///< As far as this VM knows.
    bool resumeTried = false; ///< A resume was tried since the last token.
    std::optional<Duration> reclaimLeft; ///< Time until the server is gone; unset if it is not leaving.
    Duration betweenTokens{0}; ///< Measured time between tokens of this stream.
    Duration gapTarget = std::chrono::milliseconds(76); ///< Longest acceptable time between two tokens.
    double cachedShareAtTarget = 0; ///< Share of the prompt expected in the next server's prefix cache; 0 to 1.
    double prefillTokensPerMs = 10;
    std::int64_t prefillQueueTokens = 0; ///< Tokens to prefill before this stream at the next server, as far as this VM knows.
    bool canMoveKv = true; ///< There is a stream to export, and its cache fits into MaxTransferBytes.
    bool isKvRateKnown = false;
    double kvBytesPerToken = 0;
    double kvBytesPerMs = 1;
    std::int64_t kvQueueBytes = 0; ///< Bytes being transferred through this VM now.
};

/// Estimated cost of one method.
struct RecoveryCost {
    bool isPossible = false;
    Duration gap{0}; ///< Time without a token, beyond the usual time between tokens.
    std::int64_t recomputedTokens = 0;
    Duration oldServerNeededFor{0}; ///< How long the old server must stay up.
    double score = 0; ///< In milliseconds of accelerator time or its equivalent; the method with the lowest score is chosen.
};

/// The chosen method, and the cost of each method.
struct RecoveryPlan {
    RecoveryMethod method = RecoveryMethod::Recompute;
    std::array<RecoveryCost, RecoveryMethodCount> costs; ///< By RecoveryMethod.
};

} // namespace cardamomlift::recovery
