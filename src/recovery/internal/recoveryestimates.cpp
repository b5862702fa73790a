#include "recovery/recoveryestimates.h"

#include <algorithm>

namespace cardamomlift::recovery {

namespace {

constexpr double SampleWeight = 0.2; ///< Weight of a new sample.
constexpr std::int64_t MinPrefillSample = 32; ///< With fewer tokens, the time is dominated by the network and not by the engine.
constexpr double MinMs = 0.1;
constexpr double MicrosPerMilli = 1000;

double exponentialAverage(double average, double sample)
{
    return average + SampleWeight * (sample - average);
}

double toMs(Duration duration)
{
    return std::max(MinMs, static_cast<double>(duration.count()) / MicrosPerMilli);
}

} // namespace

void recordPrefill(RecoveryEstimates &estimates, std::int64_t tokens, Duration took)
{
    if (tokens < MinPrefillSample) {
        return;
    }
    estimates.prefillTokensPerMs = exponentialAverage(estimates.prefillTokensPerMs, static_cast<double>(tokens) / toMs(took));
}

void recordCachedShare(RecoveryEstimates &estimates, std::int64_t promptTokens, std::int64_t cachedTokens)
{
    if (promptTokens > 0) {
        const double share = static_cast<double>(cachedTokens) / static_cast<double>(promptTokens);
        estimates.cachedShare = exponentialAverage(estimates.cachedShare, std::clamp(share, 0.0, 1.0));
    }
}

void recordTransfer(RecoveryEstimates &estimates, std::int64_t tokens, std::int64_t bytes, std::int64_t concurrentBytes, Duration took)
{
    const double perToken = static_cast<double>(bytes) / static_cast<double>(std::max<std::int64_t>(tokens, 1));
    const double perMs = static_cast<double>(bytes + concurrentBytes) / toMs(took);
    estimates.kvBytesPerToken = estimates.isKvRateKnown ? exponentialAverage(estimates.kvBytesPerToken, perToken) : perToken;
    estimates.kvBytesPerMs = estimates.isKvRateKnown ? exponentialAverage(estimates.kvBytesPerMs, perMs) : perMs;
    estimates.isKvRateKnown = true;
}

std::int64_t expectedKvBytes(const RecoveryEstimates &estimates, std::int64_t tokens)
{
    return static_cast<std::int64_t>(static_cast<double>(tokens) * estimates.kvBytesPerToken);
}

} // namespace cardamomlift::recovery
