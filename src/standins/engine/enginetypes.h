#pragma once

#include "http/server.h"
#include "kernel/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace cardamomlift::standins {

inline constexpr std::int64_t BytesPerToken = 4; ///< Of the prompt's text.

struct EngineOptions {
    std::string instance = "engine-1";
    std::string crashOn; ///< The process ends when a prompt with this text is scheduled; empty: never.
    std::int64_t tokenMs = 5; ///< One step of a batch of none; see batchSlowdown.
    std::int64_t prefillPerMs = 100; ///< Prompt tokens computed in a millisecond, for all streams together.
    std::size_t maxBatch = 64; ///< Streams running at once.
    std::int64_t batchSlowdown = 64; ///< A step takes tokenMs * (1 + batch / batchSlowdown); 0: tokenMs.
    std::size_t cacheBlocks = 4096; ///< Of the prefix cache.
    std::int64_t kvTokens = 200000; ///< KV memory, in tokens; only kvUsed hangs on it.
    std::int64_t kvBytesPerToken = 64; ///< Size of an exported cache.
    std::int64_t kvBytesPerMs = 100000; ///< Rate of exports and imports, for all together.
    Duration loadLag{0};
    Duration eventLag{0};
    int eventLossPercent = 0;
    bool checkFencing = false;
};

struct EngineTotals {
    std::uint64_t started = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t tokens = 0;
    std::uint64_t promptTokens = 0; ///< Of all started requests, cached or not.
    std::uint64_t prefilledTokens = 0; ///< Computed before the first token of an attempt.
    std::uint64_t continuedTokens = 0; ///< Output tokens given back by continuations.
    std::uint64_t recomputedTokens = 0; ///< Prefilled by continuations: another attempt had computed them.
    std::uint64_t exportedBytes = 0;
    std::uint64_t importedBytes = 0;
    std::uint64_t refusedLeaving = 0;
    std::uint64_t refusedBackoff = 0;
    std::uint64_t loadPolls = 0;
};

/// One request: its tokens so far, and whoever reads them now.
struct EngineStream {
    std::string id;
    std::string model;
    std::string messagesJson;
    std::string kvFrom; ///< Id of an imported cache to go on from; empty: none.
    std::uint64_t prefix = 0; ///< Hash of the first message; names the shared prefix in cache events.
    std::uint64_t seed = 0;
    int priority = 0; ///< 0 first.
    std::int64_t maxTokens = 0;
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; ///< Of prompt and continuation, not computed again.
    std::uint64_t continued = 0; ///< Position of the first token of this attempt.
    std::uint64_t produced = 0; ///< Position after the last token made.
    std::uint64_t sent = 0; ///< Position after the last token sent to the reader.
    TimePoint readyAt{}; ///< End of the prefill.
    bool saidUsage = false;
    bool finished = false;
    bool cancelled = false;
    std::shared_ptr<http::Responder> reader;
};

using StreamPtr = std::shared_ptr<EngineStream>;

/// What an engine says of its load.
struct EngineLoad {
    std::size_t running = 0;
    std::size_t waiting = 0;
    double kvUsed = 0; ///< Share, 0 to 1.
    bool leaving = false;
};

} // namespace cardamomlift::standins
