#pragma once

#include "http/httptypes.h"
#include "streams/streamtypes.h"

#include <string>

namespace cardamomlift::gateway {

/// The JSON before and after the text in each chat.completion.chunk of one request. It is serialized once per request,
/// because building a tree of JSON values for each token costs more than the rest of the gateway's work on the token.
struct ChunkFrame {
    std::string prefix;
    std::string suffix;
};
ChunkFrame chunkFrame(const streams::StreamState &state);
/// A server-sent event with one chat.completion.chunk. Its id is the token's position, for Last-Event-ID.
std::string tokenEvent(const ChunkFrame &frame, std::uint64_t position, const std::string &text);
/// The last events of a complete stream: a chunk with finish reason and usage, then [DONE].
std::string finalEvents(const streams::StreamState &state);
/// An error event, for a stream whose response headers were already sent.
std::string errorEvent(const std::string &code, const std::string &message);
/// The response with a chat.completion object, for a request that is not streamed.
http::Response completionResponse(const streams::StreamState &state);

} // namespace cardamomlift::gateway
