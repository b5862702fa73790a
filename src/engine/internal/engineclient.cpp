#include "engine/engineclient.h"

#include "engine/sseparser.h"
#include "http/json.h"

#include <fmt/format.h>

namespace cardamomlift::engine {

namespace {

constexpr char DoneMarker[] = "[DONE]";
constexpr char StreamIdHeader[] = "X-Stream-Id";
constexpr Duration StallTimeout = std::chrono::seconds(10);
constexpr Duration ConnectTimeout = std::chrono::seconds(1);
constexpr Duration CancelTimeout = std::chrono::seconds(2);
/// Bytes that may come without an event of the request: comments, the body of a failure, or what follows the end of the stream.
constexpr std::size_t MaxBytesBetweenEvents = SseParser::MaxEventBytes;

/// Parses the response of one engine stream.
struct StreamReader {
    SseParser parser;
    EngineHooks hooks;
    EngineResult result;
    std::string requestId; ///< Id of the attempt, which the engine repeats in each chunk.
    bool isComplete = false;
    bool isForOtherRequest = false; ///< The response belongs to another request.
    bool hasReportedUsage = false;
    int status = 0;
    std::size_t bytesSinceEvent = 0;

    /// Returns false if the exchange is to be ended.
    bool onData(std::string_view bytes)
    {
        bytesSinceEvent += bytes.size();
        if (status == 200 && !parser.feed(bytes, [this](const SseEvent &event) { onEvent(event); })) {
            return false;
        }
        return !isForOtherRequest && bytesSinceEvent <= MaxBytesBetweenEvents;
    }

    void onEvent(const SseEvent &event)
    {
        if (isForOtherRequest || isComplete) {
            return;
        }
        if (event.data == DoneMarker) {
            isComplete = true;
            return;
        }
        const auto json = http::parseJson(event.data);
        if (!json || !json->isObject()) {
            return;
        }
        if ((*json)["id"].isString() && (*json)["id"].asString() != requestId) {
            isForOtherRequest = true;
            return;
        }
        bytesSinceEvent = 0;
        readUsage((*json)["usage"]);
        const Json::Value &choices = (*json)["choices"];
        const Json::Value &choice = choices.isArray() && !choices.empty() ? choices[0] : Json::Value::nullSingleton();
        result.finishReason = http::jsonText(choice, "finish_reason", result.finishReason);
        const Json::Value &content = http::jsonMember(http::jsonMember(choice, "delta"), "content");
        if (content.isString() && !event.id.empty()) {
            hooks.onToken(Token{std::strtoull(event.id.c_str(), nullptr, 10), content.asString()});
        }
    }

    void readUsage(const Json::Value &usage)
    {
        if (!usage.isObject()) {
            return;
        }
        result.promptTokens = http::jsonInteger(usage, "prompt_tokens");
        result.cachedTokens = http::jsonInteger(http::jsonMember(usage, "prompt_tokens_details"), "cached_tokens");
        if (hooks.onUsage && !hasReportedUsage) {
            hasReportedUsage = true;
            hooks.onUsage(result.promptTokens, result.cachedTokens);
        }
    }
};

StreamEnd streamEndOf(const http::ClientResult &result, bool isComplete)
{
    if (result.transport == http::Transport::Cancelled) {
        return StreamEnd::Cancelled;
    }
    if (isComplete) {
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
    if (!request.kvFrom.empty()) {
        body["kv_from"] = request.kvFrom;
    }
    return http::writeJson(body);
}

std::string kvUrl(const membership::Vm &server, const std::string &requestId)
{
    return baseUrl(server) + "/v1/kv/" + requestId;
}

class HttpEngineClient : public EngineClient
{
public:
    HttpEngineClient(std::shared_ptr<http::Client> client, std::shared_ptr<membership::ServerAnnouncements> announcements)
        : client_(std::move(client))
        , announcements_(std::move(announcements))
    {
    }

    http::CallId start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks) override;
    http::CallId resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks) override;
    void cancel(const membership::Vm &server, const std::string &requestId, http::CallId call) override;
    void disconnect(http::CallId call) override;
    void exportKv(const membership::Vm &server,
        const std::string &requestId,
        std::size_t maxBytes,
        Duration timeout,
        std::function<void(std::optional<std::string>)> done) override;
    void importKv(
        const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done) override;

private:
    http::CallId open(const membership::Vm &server, http::ClientRequest request, const std::string &requestId, EngineHooks hooks);
    /// The onHeaders of calls of @p server.
    std::function<void(int status, const http::Headers &headers)> announcementsOf(const membership::Vm &server) const;
    std::shared_ptr<http::Client> client_;
    std::shared_ptr<membership::ServerAnnouncements> announcements_;
};

std::function<void(int status, const http::Headers &headers)> HttpEngineClient::announcementsOf(const membership::Vm &server) const
{
    return [announcements = announcements_, instance = server.instance](int status, const http::Headers &headers) {
        if (announcements) {
            announcements->note(instance, status, headers);
        }
    };
}

http::CallId HttpEngineClient::open(const membership::Vm &server, http::ClientRequest request, const std::string &requestId, EngineHooks hooks)
{
    request.connectTimeout = ConnectTimeout;
    request.timeout = Duration(0);
    request.stallTimeout = StallTimeout;
    auto reader = std::make_shared<StreamReader>();
    reader->hooks = std::move(hooks);
    reader->requestId = requestId;
    reader->result.server = server.instance;
    http::ClientHooks clientHooks;
    clientHooks.onHeaders = [reader, note = announcementsOf(server)](int status, const http::Headers &headers) {
        note(status, headers);
        const std::string_view streamId = http::headerValue(headers, StreamIdHeader);
        reader->isForOtherRequest = !streamId.empty() && streamId != reader->requestId;
        reader->status = status;
    };
    clientHooks.onData = [reader](std::string_view bytes) {
        // NOTE Output of another request is never passed on: the stream ends as Broken.
        return reader->onData(bytes);
    };
    clientHooks.onDone = [reader](http::ClientResult result) {
        reader->result.end = streamEndOf(result, reader->isComplete);
        reader->result.wasConnected = result.transport != http::Transport::NotSent;
        reader->result.timedOut = result.timedOut;
        reader->result.status = result.status;
        reader->result.error = result.error;
        reader->hooks.onEnd(reader->result);
    };
    return client_->start(std::move(request), std::move(clientHooks));
}

http::CallId HttpEngineClient::start(const membership::Vm &server, const EngineRequest &request, EngineHooks hooks)
{
    http::ClientRequest http;
    http.method = "POST";
    http.url = baseUrl(server) + "/v1/chat/completions";
    http.headers["Content-Type"] = "application/json";
    http.headers["X-Request-Id"] = request.requestId;
    // The engine may have closed a pooled connection in the meantime, which is no failure: the request is sent again.
    http.mayResend = true;
    // NOTE The address may belong to a new VM by now: an engine that is not this instance refuses the request.
    http.headers["X-Instance"] = server.instance;
    http.body = bodyOf(request);
    return open(server, std::move(http), request.requestId, std::move(hooks));
}

http::CallId HttpEngineClient::resume(const membership::Vm &server, const std::string &requestId, std::uint64_t position, EngineHooks hooks)
{
    http::ClientRequest http;
    http.url = fmt::format("{}/v1/streams/{}?starting_after={}", baseUrl(server), requestId, static_cast<std::int64_t>(position) - 1);
    http.headers["X-Instance"] = server.instance;
    // NOTE The pooled connections to this server may have the same fault as the one that broke.
    http.freshConnection = true;
    return open(server, std::move(http), requestId, std::move(hooks));
}

void HttpEngineClient::cancel(const membership::Vm &server, const std::string &requestId, http::CallId call)
{
    client_->cancel(call);
    http::ClientRequest http;
    http.method = "DELETE";
    http.url = baseUrl(server) + "/v1/streams/" + requestId;
    http.headers["X-Instance"] = server.instance;
    http.timeout = CancelTimeout;
    http::ClientHooks hooks;
    hooks.onHeaders = announcementsOf(server);
    client_->start(std::move(http), std::move(hooks));
}

void HttpEngineClient::disconnect(http::CallId call)
{
    client_->cancel(call);
}

void HttpEngineClient::exportKv(
    const membership::Vm &server, const std::string &requestId, std::size_t maxBytes, Duration timeout, std::function<void(std::optional<std::string>)> done)
{
    http::ClientRequest http;
    http.url = kvUrl(server, requestId);
    http.headers["X-Instance"] = server.instance;
    http.connectTimeout = ConnectTimeout;
    http.timeout = timeout;
    auto cache = std::make_shared<std::string>();
    http::ClientHooks hooks;
    hooks.onHeaders = announcementsOf(server);
    hooks.onData = [cache, maxBytes](std::string_view bytes) {
        cache->append(bytes);
        return cache->size() <= maxBytes;
    };
    hooks.onDone = [cache, done = std::move(done)](const http::ClientResult &result) {
        const bool isComplete = result.transport == http::Transport::Completed && result.status == 200;
        done(isComplete ? std::optional<std::string>(std::move(*cache)) : std::nullopt);
    };
    client_->start(std::move(http), std::move(hooks));
}

void HttpEngineClient::importKv(
    const membership::Vm &server, const std::string &requestId, std::string cache, Duration timeout, std::function<void(bool accepted)> done)
{
    http::ClientRequest http;
    http.method = "PUT";
    http.url = kvUrl(server, requestId);
    http.headers["X-Instance"] = server.instance;
    http.headers["Content-Type"] = "application/octet-stream";
    http.connectTimeout = ConnectTimeout;
    http.timeout = timeout;
    http.body = std::move(cache);
    http::ClientHooks hooks;
    hooks.onHeaders = announcementsOf(server);
    hooks.onDone = [done = std::move(done)](const http::ClientResult &result) {
        done(result.transport == http::Transport::Completed && result.status == 200);
    };
    client_->start(std::move(http), std::move(hooks));
}

} // namespace

std::shared_ptr<EngineClient> EngineClient::create(std::shared_ptr<http::Client> client, std::shared_ptr<membership::ServerAnnouncements> announcements)
{
    return std::make_shared<HttpEngineClient>(std::move(client), std::move(announcements));
}

} // namespace cardamomlift::engine
