#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::engine {

/// A chat completion as our daemon sends it to a model engine: always streamed, always with a seed.
struct EngineRequest {
    std::string model;
    std::string messagesJson; ///< The "messages" array as the caller sent it.
    std::int64_t maxTokens = 0;
    std::uint64_t seed = 0;
    int priority = 0; ///< 0 first.
    std::string requestId; ///< Ours, with the attempt; the engine's stream has this id.
    std::vector<std::string> continueTokens; ///< Output so far; the engine goes on after it.
    std::string kvFrom; ///< The stream whose imported KV cache the engine goes on from; empty: none.
};

/// What a stream that moves needs to go on: the next server, and the request for it.
struct NextAttempt {
    membership::Vm server;
    EngineRequest request;
};

/// One piece of output. Positions count from 0 over the whole answer, also after a continuation.
struct Token {
    std::uint64_t position = 0;
    std::string text;
};

/// How a stream from an engine ended.
enum class StreamEnd {
    Finished, ///< The engine said that the answer is whole.
    Refused, ///< The engine ran nothing: overloaded, leaving, or the connection was never made.
    Broken, ///< The stream ended without its proper end.
    Rejected, ///< The engine says the request itself is wrong.
    Cancelled,
};

/// How an engine stream ended.
struct EngineResult {
    StreamEnd end = StreamEnd::Broken;
    std::string server; ///< Instance; empty if the end of the last attempt was told by onLeft.
    std::string finishReason; ///< "stop" or "length".
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; ///< Prompt tokens found in the engine's prefix cache.
    bool wasConnected = false;
    bool isLeaving = false; ///< The engine refused because its VM is leaving.
    bool timedOut = false; ///< Silent for too long; the connection itself did not break.
    int status = 0;
    std::string error;
};

/// What the reader of an engine stream hears. All run on the loop's thread.
struct EngineHooks {
    std::function<void(Token token)> onToken;
    std::function<void(EngineResult result)> onEnd;
    /// The engine's token counts, as soon as it says them. May be unset.
    std::function<void(std::int64_t promptTokens, std::int64_t cachedTokens)> onUsage;

    // The following are for a client that moves streams between servers. Unset: the stream is not moved.
    /// Asked when the stream should move: the next attempt, or none if no server can take it.
    std::function<std::optional<NextAttempt>()> nextAttempt;
    /// The output so far.
    std::function<std::span<const std::string>()> outputTokens;
    /// The connection to a server broke while an attempt ran there. May come before the end of the attempt, which may go on.
    std::function<void(const std::string &instance)> onConnectionBroken;
    /// An attempt ended that is not the last one; the last one's end is onEnd.
    std::function<void(const std::string &instance, StreamEnd end)> onAttemptEnded;
};

} // namespace cardamomlift::engine
