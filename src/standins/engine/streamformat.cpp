#include "standins/engine/streamformat.h"

#include "http/json.h"
#include "standinkit/outputtoken.h"
#include "text/digest.h"

#include <fmt/format.h>

namespace cardamomlift::standins {

namespace {

Json::Value chunkOf(const EngineStream &stream)
{
    Json::Value json;
    json["id"] = stream.id;
    json["object"] = "chat.completion.chunk";
    json["choices"][0]["index"] = 0;
    json["choices"][0]["delta"] = Json::Value(Json::objectValue);
    return json;
}

Json::Value usageOf(const EngineStream &stream)
{
    Json::Value usage;
    usage["prompt_tokens"] = static_cast<Json::Int64>(stream.promptTokens);
    usage["completion_tokens"] = static_cast<Json::UInt64>(stream.produced);
    usage["prompt_tokens_details"]["cached_tokens"] = static_cast<Json::Int64>(stream.cachedTokens);
    return usage;
}

} // namespace

StreamPtr readStream(const std::string &id, const Json::Value &json)
{
    auto stream = std::make_shared<EngineStream>();
    stream->id = id;
    stream->model = json.get("model", "").asString();
    stream->messagesJson = http::writeJson(json["messages"]);
    if (json["messages"].isArray() && !json["messages"].empty()) {
        stream->prefix = text::stableHash(http::writeJson(json["messages"][0]));
    }
    stream->kvFrom = json.get("kv_from", "").asString();
    stream->seed = json.get("seed", 0).asUInt64();
    stream->priority = json.get("priority", 0).asInt();
    stream->maxTokens = json.get("max_tokens", 16).asInt64();
    stream->promptTokens = static_cast<std::int64_t>(stream->messagesJson.size()) / BytesPerToken + 1;
    stream->continued = json["continue_tokens"].size();
    stream->produced = stream->continued;
    stream->sent = stream->continued;
    return stream;
}

std::string tokenEvent(const EngineStream &stream, std::uint64_t position, bool withUsage)
{
    Json::Value json = chunkOf(stream);
    json["choices"][0]["delta"]["content"] = standinkit::outputToken(stream.messagesJson, stream.seed, position);
    if (withUsage) {
        json["usage"] = usageOf(stream);
    }
    return fmt::format("id: {}\ndata: {}\n\n", position, http::writeJson(json));
}

std::string endEvents(const EngineStream &stream)
{
    Json::Value json = chunkOf(stream);
    json["choices"][0]["finish_reason"] = "length";
    json["usage"] = usageOf(stream);
    return fmt::format("data: {}\n\ndata: [DONE]\n\n", http::writeJson(json));
}

} // namespace cardamomlift::standins
