#include "engine/engineclient.h"

#include "engine/sseparser.h"
#include "http/json.h"

#include <fmt/format.h>

namespace cardamomlift::engine {

namespace {

constexpr char DoneMarker[] = "[DONE]";
constexpr Duration StallTimeout = std::chrono::seconds(10);
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
constexpr Duration CancelTimeout = std::chrono::seconds(2);

/// The reading side of one engine stream.
struct StreamReader {
    SseParser parser;
    EngineHooks hooks;
    EngineResult result;
    bool whole = false;
    int status = 0;

    void onEvent(const SseEvent &event)
    {
        if (event.data == DoneMarker) {
            whole = true;
            return;
        }
        const auto json = http::parseJson(event.data);
        if (!json || !json->isObject()) {
            return;
        }
        readUsage((*json)["usage"]);
        const Json::Value &choice = (*json)["choices"][0];
        if (choice["finish_reason"].isString()) {
            result.finishReason = choice["finish_reason"].asString();
        }
        const Json::Value &content = choice["delta"]["content"];
        if (content.isString() && !event.id.empty()) {
            hooks.onToken(Token{std::strtoull(event.id.c_str(), nullptr, 10), content.asString()});
        }
    }

    void readUsage(const Json::Value &usage)
    {
        if (!usage.isObject()) {
            return;
        }
        result.promptTokens = usage.get("prompt_tokens", 0).asInt64();
        result.cachedTokens = usage["prompt_tokens_details"].get("cached_tokens", 0).asInt64();
    }
};

StreamEnd endOf(const http::ClientResult &result, bool whole)
{
    if (result.transport == http::Transport::Cancelled) {
        return StreamEnd::Cancelled;
    }
    if (whole) {
        return StreamEnd::Finished;
    }
    if (result.transport == http::Transport::NotSent || result.status == 503 || result.status == 429) {
        return StreamEnd::Refused;
    }
    if (result.status >= 400 && result.status < 500) {
        return StreamEnd::Rejected;
    }
    return StreamEnd::Broken;
}

std::string baseUrl(const membership::Vm &server)
{
    return fmt::format("http://{}:{}", server.address, server.port);
}

std::string bodyOf(const EngineRequest &request)
{
    Json::Value body;
    body["model"] = request.model;
    body["messages"] = http::parseJson(request.messagesJson).value_or(Json::Value(Json::arrayValue));
    body["stream"] = true;
    body["stream_options"]["include_usage"] = true;
    body["max_tokens"] = static_cast<Json::Int64>(request.maxTokens);
    body["seed"] = static_cast<Json::UInt64>(request.seed);
    body["priority"] = request.priority;
    if (!request.continueTokens.empty()) {
        body["continue_tokens"] = Json::Value(Json::arrayValue);
        for (const std::string &token : request.continueTokens) {
            body["continue_tokens"].append(token);
        }
    }
    return http::writeJson(body);
}

} // namespace

std::shared_ptr<EngineClient> EngineClient::create(std::shared_ptr<http::Client> client)
{
    std::shared_ptr<EngineClient> engine(new EngineClient);
    engine->client_ = std::move(client);
    return engine;
}

http::CallId EngineClient::open(http::ClientRequest request, EngineHooks hooks)
{
    request.connectTimeout = ConnectTimeout;
    request.timeout = Duration(0);
    request.stallTimeout = StallTimeout;
    auto reader = std::make_shared<StreamReader>();
    reader->hooks = std::move(hooks);
    http::ClientHooks clientHooks;
    clientHooks.onHeaders = [reader](int status, const http::Headers &) {
        reader->status = status;
    };
    clientHooks.onData = [reader](std::string_view bytes) {
        if (reader->status != 200) {
            return true;
        }
        return reader->parser.feed(bytes, [&](const SseEvent &event) { reader->onEvent(event); });
    };
    clientHooks.onDone = [reader](http::ClientResult result) {
        reader->result.end = endOf(result, reader->whole);
        reader->result.wasConnected = result.transport != http::Transport::NotSent;
        reader->result.status = result.status;
        reader->result.error = result.error;
        reader->hooks.onEnd(reader->result);
    };
    return client_->start(std::move(request), std::move(clientHooks));
}

http::CallId EngineClient::start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks)
{
    http::ClientRequest http;
    http.method = "POST";
    http.url = baseUrl(server) + "/v1/chat/completions";
    http.headers["Content-Type"] = "application/json";
    http.headers["X-Request-Id"] = request.requestId;
    // NOTE The engine answers refused if it is not this instance: an address may belong to a new VM by now.
    http.headers["X-Instance"] = server.instance;
    http.body = bodyOf(request);
    return open(std::move(http), std::move(hooks));
}

http::CallId EngineClient::resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks)
{
    http::ClientRequest http;
    http.url = fmt::format("{}/v1/streams/{}?starting_after={}", baseUrl(server), requestId, static_cast<std::int64_t>(position) - 1);
    http.headers["X-Instance"] = server.instance;
    return open(std::move(http), std::move(hooks));
}

void EngineClient::cancel(const membership::Vm &server, const std::string &requestId, http::CallId call)
{
    client_->cancel(call);
    http::ClientRequest http;
    http.method = "DELETE";
    http.url = baseUrl(server) + "/v1/streams/" + requestId;
    http.headers["X-Instance"] = server.instance;
    http.timeout = CancelTimeout;
    client_->start(std::move(http), {});
}

void EngineClient::leave(http::CallId call)
{
    client_->cancel(call);
}

} // namespace cardamomlift::engine
