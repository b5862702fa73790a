#pragma once

#include "http/httptypes.h"
#include "streams/streamtypes.h"

#include <string>

namespace cardamomlift::gateway {

/// The JSON before and after the text in each chat.completion.chunk of one request. Written once a request: a tree of JSON
/// values for each token costs more than all else that the gateway does with it.
struct ChunkFrame {
    std::string head;
    std::string tail;
};
ChunkFrame chunkFrame(const streams::StreamState &state);
/// One server-sent event with a chat.completion.chunk; its id is the token's position, for Last-Event-ID.
std::string tokenEvent(const ChunkFrame &frame, std::uint64_t position, const std::string &text);
/// The last events of a whole answer: finish reason, usage, [DONE].
std::string endEvents(const streams::StreamState &state);
/// An error inside a stream whose head was sent already.
std::string errorEvent(const std::string &code, const std::string &message);
/// The chat.completion object of an answer that is not streamed.
http::Response wholeAnswer(const streams::StreamState &state);

} // namespace cardamomlift::gateway
