#include "standins/engine/engine.h"

#include "http/json.h"
#include "standinkit/outputtoken.h"

#include <fmt/format.h>

namespace cardamomlift::standins {

namespace {

constexpr std::string_view StreamsPath = "/v1/streams/";
constexpr std::int64_t BytesPerToken = 4;
constexpr Duration KeepFinished = std::chrono::seconds(30);

http::Response refusal(int status, const std::string &message)
{
    Json::Value body;
    body["error"]["message"] = message;
    return http::jsonResponse(status, body);
}

} // namespace

/// One request: its tokens so far, and whoever reads them now.
struct Engine::Stream {
    std::string id;
    std::string model;
    std::string messagesJson;
    std::uint64_t seed = 0;
    std::int64_t maxTokens = 0;
    std::int64_t promptTokens = 0;
    std::uint64_t produced = 0; ///< Position after the last token made.
    std::uint64_t sent = 0; ///< Position after the last token sent to the reader.
    bool finished = false;
    bool cancelled = false;
    ResponderPtr reader;
};

std::unique_ptr<Engine> Engine::create(EventLoop &loop, EngineOptions options)
{
    std::unique_ptr<Engine> engine(new Engine);
    engine->loop_ = &loop;
    engine->options_ = std::move(options);
    return engine;
}

void Engine::handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const std::string_view meant = http::headerValue(request.headers, "X-Instance");
    if (!meant.empty() && meant != options_.instance) {
        responder->respond(refusal(503, "another instance"));
        return;
    }
    const std::string_view path = request.path;
    if (path == "/v1/chat/completions") {
        start(request, responder);
    } else if (path.starts_with(StreamsPath) && request.method == "GET") {
        resume(request, responder);
    } else if (path.starts_with(StreamsPath) && request.method == "DELETE") {
        cancel(std::string(path.substr(StreamsPath.size())));
        responder->respond({200, {}, "ok\n"});
    } else if (path == "/control") {
        control(http::parseJson(request.body).value_or(Json::Value(Json::objectValue)));
        responder->respond({200, {}, "ok\n"});
    } else if (path == "/totals") {
        responder->respond(http::jsonResponse(200, totals()));
    } else {
        responder->respond(refusal(404, "unknown path"));
    }
}

void Engine::start(const http::Request &request, const ResponderPtr &responder)
{
    const auto body = http::parseJson(request.body);
    if (!body || !body->isObject()) {
        responder->respond(refusal(400, "not JSON"));
        return;
    }
    if (leaving_) {
        responder->respond(refusal(503, "leaving"));
        return;
    }
    auto stream = std::make_shared<Stream>();
    stream->id = std::string(http::headerValue(request.headers, "X-Request-Id"));
    stream->model = body->get("model", "").asString();
    stream->messagesJson = http::writeJson((*body)["messages"]);
    stream->seed = body->get("seed", 0).asUInt64();
    stream->maxTokens = body->get("max_tokens", 16).asInt64();
    stream->promptTokens = static_cast<std::int64_t>(stream->messagesJson.size()) / BytesPerToken + 1;
    const std::uint64_t continued = (*body)["continue_tokens"].size();
    stream->produced = continued;
    stream->sent = continued;
    stream->reader = responder;
    totals_.started++;
    totals_.continuedTokens += continued;
    totals_.promptTokens += static_cast<std::uint64_t>(stream->promptTokens);
    streams_[stream->id] = stream;
    responder->startStream(200, {{"Content-Type", "text/event-stream"}, {"X-Stream-Id", stream->id}});
    responder->onClosed([stream] { stream->reader.reset(); });
    const std::int64_t prefill = (stream->promptTokens + static_cast<std::int64_t>(continued)) / options_.prefillTokensPerMs;
    loop_->after(std::chrono::milliseconds(prefill + options_.tokenMs), [this, stream] { step(stream); });
}

void Engine::resume(const http::Request &request, const ResponderPtr &responder)
{
    const auto found = streams_.find(request.path.substr(StreamsPath.size()));
    if (found == streams_.end()) {
        responder->respond(refusal(404, "unknown stream"));
        return;
    }
    const StreamPtr stream = found->second;
    const auto after = request.query.find("starting_after");
    stream->sent = after == request.query.end() ? 0 : static_cast<std::uint64_t>(std::stoll(after->second) + 1);
    stream->reader = responder;
    responder->startStream(200, {{"Content-Type", "text/event-stream"}, {"X-Stream-Id", stream->id}});
    responder->onClosed([stream] { stream->reader.reset(); });
    send(stream);
}

void Engine::step(const StreamPtr &stream)
{
    if (stream->cancelled) {
        return;
    }
    if (static_cast<std::int64_t>(stream->produced) < stream->maxTokens) {
        stream->produced++;
        totals_.tokens++;
    }
    stream->finished = static_cast<std::int64_t>(stream->produced) >= stream->maxTokens;
    send(stream);
    if (stream->finished) {
        loop_->after(KeepFinished, [this, id = stream->id] { streams_.erase(id); });
        return;
    }
    loop_->after(std::chrono::milliseconds(options_.tokenMs), [this, stream] { step(stream); });
}

void Engine::send(const StreamPtr &stream)
{
    if (!stream->reader) {
        return;
    }
    for (; stream->sent < stream->produced; stream->sent++) {
        Json::Value json;
        json["id"] = stream->id;
        json["object"] = "chat.completion.chunk";
        json["choices"][0]["index"] = 0;
        json["choices"][0]["delta"]["content"] = standinkit::outputToken(stream->messagesJson, stream->seed, stream->sent);
        stream->reader->write(fmt::format("id: {}\ndata: {}\n\n", stream->sent, http::writeJson(json)));
    }
    if (!stream->finished) {
        return;
    }
    Json::Value json;
    json["id"] = stream->id;
    json["object"] = "chat.completion.chunk";
    json["choices"][0]["index"] = 0;
    json["choices"][0]["delta"] = Json::Value(Json::objectValue);
    json["choices"][0]["finish_reason"] = "length";
    json["usage"]["prompt_tokens"] = static_cast<Json::Int64>(stream->promptTokens);
    json["usage"]["completion_tokens"] = static_cast<Json::UInt64>(stream->produced);
    json["usage"]["prompt_tokens_details"]["cached_tokens"] = 0;
    stream->reader->write(fmt::format("data: {}\n\ndata: [DONE]\n\n", http::writeJson(json)));
    stream->reader->finish();
}

void Engine::cancel(const std::string &id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    if (!found->second->finished) {
        totals_.cancelled++;
    }
    found->second->cancelled = true;
    if (found->second->reader) {
        found->second->reader->abort();
    }
    streams_.erase(found);
}

void Engine::control(const Json::Value &json)
{
    leaving_ = json.get("leaving", leaving_).asBool();
    options_.tokenMs = json.get("tokenMs", static_cast<Json::Int64>(options_.tokenMs)).asInt64();
}

Json::Value Engine::totals() const
{
    Json::Value json;
    json["started"] = static_cast<Json::UInt64>(totals_.started);
    json["cancelled"] = static_cast<Json::UInt64>(totals_.cancelled);
    json["tokens"] = static_cast<Json::UInt64>(totals_.tokens);
    json["promptTokens"] = static_cast<Json::UInt64>(totals_.promptTokens);
    json["continuedTokens"] = static_cast<Json::UInt64>(totals_.continuedTokens);
    json["open"] = static_cast<Json::UInt64>(streams_.size());
    return json;
}

} // namespace cardamomlift::standins
