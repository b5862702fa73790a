#pragma once

#include "membership/membershiptypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::engine {

/// A chat completion request to a model engine. It is always streamed and always has a seed.
struct EngineRequest {
    std::string model;
    std::string messagesJson; ///< The "messages" array as the caller sent it.
    std::int64_t maxTokens = 0;
    std::uint64_t seed = 0;
    int priority = 0; ///< 0 is the highest.
    std::string requestId; ///< Id of this attempt, also the id of its stream at the engine.
    std::vector<std::string> continueTokens; ///< Output so far, which the engine continues.
    std::string kvFrom; ///< The stream whose imported KV cache the engine continues from; empty: none.
};

/// The server to which a stream moves, and the request to start there.
struct NextAttempt {
    membership::Vm server;
    EngineRequest request;
};

/// One token of the output. Positions count from 0 over the whole output, also when another attempt continues it.
struct Token {
    std::uint64_t position = 0;
    std::string text;
};

/// How a stream from an engine ended.
enum class StreamEnd {
    Finished, ///< The engine sent the end marker: the output is complete.
    Refused, ///< The engine did not run the request: it is overloaded or leaving, or no connection could be made.
    Broken, ///< Any other end, such as a stream that ends without the end marker.
    Rejected, ///< The engine answered with a client error (4xx, except 429): the request itself is invalid.
    Cancelled,
};

/// The result of an engine stream.
struct EngineResult {
    StreamEnd end = StreamEnd::Broken;
    std::string server; ///< Instance; empty if onAttemptEnded already reported the end of the last attempt.
    std::string finishReason; ///< "stop" or "length".
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; ///< Prompt tokens found in the engine's prefix cache.
    bool wasConnected = false;
    bool timedOut = false; ///< A time limit ended it, such as the one for silence; the connection itself did not break.
    int status = 0;
    std::string error;
};

/// Callbacks of an engine stream. All run on the event loop's thread.
struct EngineHooks {
    std::function<void(Token token)> onToken;
    std::function<void(EngineResult result)> onEnd;
    /// Reports the engine's token counts as soon as it sends them. May be unset.
    std::function<void(std::int64_t promptTokens, std::int64_t cachedTokens)> onUsage;

    // The following are used by a client that moves streams between servers. If they are unset, the stream is not moved.
    /// Called when the stream is to move. Returns the next attempt, or none if no server can take the stream.
    std::function<std::optional<NextAttempt>()> nextAttempt;
    /// Returns the output so far.
    std::function<std::span<const std::string>()> outputTokens;
    /// Reports that the connection to a server broke during an attempt. The attempt may continue over a new connection.
    std::function<void(const std::string &instance)> onConnectionBroken;
    /// Reports the end of every attempt but the last, whose end is reported by onEnd.
    std::function<void(const std::string &instance, StreamEnd end)> onAttemptEnded;
};

} // namespace cardamomlift::engine
