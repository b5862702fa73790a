#include "recovery/recoveryestimates.h"

#include <algorithm>

namespace cardamomlift::recovery {

namespace {

constexpr double Weight = 0.2; ///< Of a new sample.
constexpr std::int64_t LeastPrefillSample = 32; ///< Fewer tokens measure the network, not the engine.
constexpr double LeastMs = 0.1;
constexpr double MicrosPerMilli = 1000;

double mix(double old, double sample)
{
    return old + Weight * (sample - old);
}

double toMs(Duration duration)
{
    return std::max(LeastMs, static_cast<double>(duration.count()) / MicrosPerMilli);
}

} // namespace

void learnPrefill(RecoveryEstimates &estimates, std::int64_t tokens, Duration took)
{
    if (tokens < LeastPrefillSample) {
        return;
    }
    estimates.prefillTokensPerMs = mix(estimates.prefillTokensPerMs, static_cast<double>(tokens) / toMs(took));
}

void learnCachedShare(RecoveryEstimates &estimates, std::int64_t promptTokens, std::int64_t cachedTokens)
{
    if (promptTokens > 0) {
        const double share = static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
        estimates.cachedShare = mix(estimates.cachedShare, std::clamp(share, 0.0, 1.0));
    }
}

void learnTransfer(RecoveryEstimates &estimates, std::int64_t tokens, std::int64_t bytes, std::int64_t bytesBeside, Duration took)
{
    const double perToken = static_cast<double>(bytes) / static_cast<double>(std::max<std::int64_t>(tokens, 1));
    const double perMs = static_cast<double>(bytes + bytesBeside) / toMs(took);
    estimates.kvBytesPerToken = estimates.isKvRateKnown ? mix(estimates.kvBytesPerToken, perToken) : perToken;
    estimates.kvBytesPerMs = estimates.isKvRateKnown ? mix(estimates.kvBytesPerMs, perMs) : perMs;
    estimates.isKvRateKnown = true;
}

std::int64_t expectedKvBytes(const RecoveryEstimates &estimates, std::int64_t tokens)
{
    return static_cast<std::int64_t>(static_cast<double>(tokens) * estimates.kvBytesPerToken);
}

} // namespace cardamomlift::recovery
