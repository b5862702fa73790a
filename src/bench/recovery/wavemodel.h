#pragma once

#include "kernel/clock.h"
#include "recovery/recoverytypes.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace cardamomlift::bench {

/// Who decides what becomes of a stream whose server is reclaimed.
enum class Policy {
    Decision, ///< recovery::planRecovery.
    AlwaysRecompute, ///< Continue elsewhere at the notice.
    NeverMove, ///< Read until the server dies, then continue elsewhere.
};

/// One reclaim wave over engines, and the streams that run on them.
struct Wave {
    std::string_view name;
    Duration notice{0}; ///< Until the servers are gone; 0: they crash.
    int servers = 8; ///< Reclaimed at once.
    int survivors = 24;
    int streamsPerServer = 24;
    int entryVms = 8;
    std::int64_t longestPrompt = 8000;
    double cachedShare = 0.3; ///< Of the prompts, at the surviving servers.
    std::int64_t kvBytesPerToken = 8192;
    double kvBytesPerMs = 300000; ///< Through one entry VM, export and import together.
    double prefillTokensPerMs = 10;
    Duration betweenTokens = std::chrono::milliseconds(30);
};

/// What a reclaim wave cost.
struct WaveResult {
    std::int64_t recomputedTokens = 0;
    std::vector<double> gapsMs; ///< Added to each stream, sorted.
    int stayed = 0;
    int movedKv = 0;
    int recomputed = 0;
    int broken = 0; ///< Streams whose server died under them.
};

/// Runs @p wave in steps of a ManualClock. The same arguments give the same result.
WaveResult runWave(const Wave &wave, Policy policy, unsigned seed);

} // namespace cardamomlift::bench
