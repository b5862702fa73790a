#include "gateway/chatformat.h"

#include "http/json.h"

#include <gtest/gtest.h>

#include <array>

namespace cardamomlift::gateway {
namespace {

/// The event built from a tree of JSON values, as a reference.
std::string expectedEvent(const streams::StreamState &state, std::uint64_t position, const std::string &text)
{
    Json::Value json;
    json["id"] = state.requestId;
    json["object"] = "chat.completion.chunk";
    json["model"] = state.model;
    json["choices"][0]["index"] = 0;
    json["choices"][0]["delta"]["content"] = text;
    json["choices"][0]["finish_reason"] = Json::Value();
    return "id: " + std::to_string(position) + "\ndata: " + http::writeJson(json) + "\n\n";
}

TEST(ChatFormat, TokenEventsEqualThoseBuiltFromAJsonTree)
{
    const std::array<std::string, 8> texts{
        "", " word", "line\n\r\t", "\"quoted\" \\ {} {0}", "grüezi नमस्ते 🛳", std::string("\0\x01\x1f", 3), "\xff\xc3", "</s>"};
    streams::StreamState state;
    for (const std::string &name : texts) {
        state.requestId = "r-" + name;
        state.model = name;
        const ChunkFrame frame = chunkFrame(state);
        for (std::size_t i = 0; i < texts.size(); ++i) {
            EXPECT_EQ(tokenEvent(frame, i, texts[i]), expectedEvent(state, i, texts[i]));
        }
    }
}

} // namespace
} // namespace cardamomlift::gateway
