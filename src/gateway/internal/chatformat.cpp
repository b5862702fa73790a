#include "gateway/chatformat.h"

#include "http/json.h"

#include <fmt/format.h>

namespace cardamomlift::gateway {

namespace {

constexpr char ChunkObject[] = "chat.completion.chunk";

Json::Value chunk(const streams::StreamState &state)
{
    Json::Value json;
    json["id"] = state.requestId;
    json["object"] = ChunkObject;
    json["model"] = state.model;
    json["choices"] = Json::Value(Json::arrayValue);
    return json;
}

Json::Value usage(const streams::StreamState &state)
{
    Json::Value json;
    json["prompt_tokens"] = static_cast<Json::Int64>(state.promptTokens);
    json["completion_tokens"] = static_cast<Json::Int64>(state.tokens.size());
    json["total_tokens"] = static_cast<Json::Int64>(state.promptTokens + static_cast<std::int64_t>(state.tokens.size()));
    json["prompt_tokens_details"]["cached_tokens"] = static_cast<Json::Int64>(state.cachedTokens);
    return json;
}

} // namespace

ChunkFrame chunkFrame(const streams::StreamState &state)
{
    const std::string id = http::writeJson(state.requestId);
    const std::string model = http::writeJson(state.model);
    ChunkFrame frame;
    frame.prefix = R"({"choices":[{"delta":{"content":)";
    frame.suffix = fmt::format(R"(}},"finish_reason":null,"index":0}}],"id":{},"model":{},"object":"{}"}})", id, model, ChunkObject);
    return frame;
}

std::string tokenEvent(const ChunkFrame &frame, std::uint64_t position, const std::string &text)
{
    return fmt::format("id: {}\ndata: {}{}{}\n\n", position, frame.prefix, http::writeJson(text), frame.suffix);
}

std::string finalEvents(const streams::StreamState &state)
{
    Json::Value json = chunk(state);
    json["choices"][0]["index"] = 0;
    json["choices"][0]["delta"] = Json::Value(Json::objectValue);
    json["choices"][0]["finish_reason"] = state.finishReason;
    json["usage"] = usage(state);
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", http::writeJson(json));
}

std::string errorEvent(const std::string &code, const std::string &message)
{
    Json::Value json;
    json["error"]["code"] = code;
    json["error"]["message"] = message;
    return fmt::format("data: {}\n\n", http::writeJson(json));
}

http::Response completionResponse(const streams::StreamState &state)
{
    std::string text;
    for (const std::string &token : state.tokens) {
        text += token;
    }
    Json::Value json;
    json["id"] = state.requestId;
    json["object"] = "chat.completion";
    json["model"] = state.model;
    json["choices"][0]["index"] = 0;
    json["choices"][0]["message"]["role"] = "assistant";
    json["choices"][0]["message"]["content"] = text;
    json["choices"][0]["finish_reason"] = state.finishReason;
    json["usage"] = usage(state);
    return http::jsonResponse(200, json);
}

} // namespace cardamomlift::gateway
