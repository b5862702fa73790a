#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomlift::recovery {

/// What this VM has measured of the engines, and the moves under way through it.
struct RecoveryEstimates {
    double prefillTokensPerMs = 10;
    double cachedShare = 0; ///< Of the prompts of continuations, found in the next server's prefix cache.
    bool isKvRateKnown = false;
    double kvBytesPerToken = 0;
    double kvBytesPerMs = 1;
    std::int64_t kvBytesInFlight = 0;
    std::size_t transfersInFlight = 0;
    std::int64_t prefillTokensInFlight = 0; ///< Of continuations that wait for their first token.
};

/// @p tokens were computed before the first token, which came after @p took.
void learnPrefill(RecoveryEstimates &estimates, std::int64_t tokens, Duration took);
void learnCachedShare(RecoveryEstimates &estimates, std::int64_t promptTokens, std::int64_t cachedTokens);
/// A cache of @p tokens tokens and @p bytes bytes was moved, together with @p bytesBeside of others.
void learnTransfer(RecoveryEstimates &estimates, std::int64_t tokens, std::int64_t bytes, std::int64_t bytesBeside, Duration took);
/// Bytes that the cache of so many tokens is expected to have.
std::int64_t expectedKvBytes(const RecoveryEstimates &estimates, std::int64_t tokens);

} // namespace cardamomlift::recovery
