#pragma once

#include <cstdint>
#include <functional>
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
};

/// One piece of output. Positions count from 0 over the whole answer, also after a continuation.
struct Token {
    std::uint64_t position = 0;
    std::string text;
};

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
    std::string finishReason; ///< "stop" or "length".
    std::int64_t promptTokens = 0;
    std::int64_t cachedTokens = 0; ///< Prompt tokens found in the engine's prefix cache.
    bool wasConnected = false;
    int status = 0;
    std::string error;
};

/// What the reader of an engine stream hears. All run on the loop's thread.
struct EngineHooks {
    std::function<void(Token token)> onToken;
    std::function<void(EngineResult result)> onEnd;
};

} // namespace cardamomlift::engine
