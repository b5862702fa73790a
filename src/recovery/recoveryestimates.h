#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomlift::recovery {

/// Rates of the engines as measured by this VM, and the recoveries in progress through it.
struct RecoveryEstimates {
    double prefillTokensPerMs = 10;
    double cachedShare = 0; ///< Share of a continued prompt found in the next server's prefix cache.
    bool isKvRateKnown = false;
    double kvBytesPerToken = 0;
    double kvBytesPerMs = 1;
    std::int64_t kvBytesInFlight = 0;
    std::size_t transfersInFlight = 0;
    std::int64_t prefillTokensInFlight = 0; ///< Of continued streams that wait for their first token.
};

/// An engine prefilled @p tokens tokens; its first output token came after @p took.
void recordPrefill(RecoveryEstimates &estimates, std::int64_t tokens, Duration took);
void recordCachedShare(RecoveryEstimates &estimates, std::int64_t promptTokens, std::int64_t cachedTokens);
/// A KV cache of @p tokens tokens and @p bytes bytes was transferred in @p took, while @p concurrentBytes of other caches were
/// in transfer.
void recordTransfer(RecoveryEstimates &estimates, std::int64_t tokens, std::int64_t bytes, std::int64_t concurrentBytes, Duration took);
/// Expected size of the KV cache of @p tokens tokens, in bytes.
std::int64_t expectedKvBytes(const RecoveryEstimates &estimates, std::int64_t tokens);

} // namespace cardamomlift::recovery
