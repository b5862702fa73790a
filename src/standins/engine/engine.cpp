#include "standins/engine/engine.h"

#include "http/json.h"
#include "standins/engine/streamformat.h"

namespace cardamomlift::standins {

namespace {

constexpr std::string_view StreamsPath = "/v1/streams/";
constexpr std::string_view KvPath = "/v1/kv/";
constexpr Duration KeepFinished = std::chrono::seconds(30);

http::Response refusal(int status, const std::string &message)
{
    Json::Value body;
    body["error"]["message"] = message;
    return http::jsonResponse(status, body);
}

http::Response notRun(const std::string &message, bool leaving)
{
    http::Response response = refusal(503, message);
    response.headers["X-Not-Run"] = "true";
    if (leaving) {
        response.headers["X-Leaving"] = "true";
    }
    return response;
}

Json::Value bodyOf(const http::Request &request)
{
    return http::parseJson(request.body).value_or(Json::Value(Json::objectValue));
}

} // namespace

std::unique_ptr<Engine> Engine::create(EventLoop &loop, EngineOptions options)
{
    return std::unique_ptr<Engine>(new Engine(loop, std::move(options)));
}

Engine::Engine(EventLoop &loop, EngineOptions options)
    : loop_(&loop)
    , options_(std::move(options))
    , kv_(options_)
    , orders_(options_.checkFencing)
    , scheduler_(loop, options_, totals_, kv_, [this](const StreamPtr &stream) { send(stream); })
{
}

void Engine::handle(const http::Request &request, const ResponderPtr &responder)
{
    const std::string_view meant = http::headerValue(request.headers, "X-Instance");
    if (!meant.empty() && meant != options_.instance) {
        responder->respond(notRun("another instance", false));
        return;
    }
    const std::string_view path = request.path;
    if (path == "/v1/chat/completions") {
        start(request, responder);
    } else if (path.starts_with(StreamsPath)) {
        handleStream(request, std::string(path.substr(StreamsPath.size())), responder);
    } else if (path.starts_with(KvPath)) {
        handleKv(request, std::string(path.substr(KvPath.size())), responder);
    } else if (path == "/v1/orders") {
        responder->respond(orders_.take(bodyOf(request)));
    } else if (path == "/load") {
        totals_.loadPolls++;
        responder->respond(http::jsonResponse(200, loadJson()));
    } else if (path == "/cache-events") {
        const auto after = request.query.find("after");
        const std::uint64_t number = after == request.query.end() ? 0 : std::strtoull(after->second.c_str(), nullptr, 10);
        responder->respond(http::jsonResponse(200, scheduler_.cacheEvents(number)));
    } else if (path == "/control") {
        control(bodyOf(request));
        responder->respond({200, {}, "ok\n"});
    } else if (path == "/totals") {
        responder->respond(http::jsonResponse(200, totals()));
    } else {
        responder->respond(refusal(404, "unknown path"));
    }
}

void Engine::handleStream(const http::Request &request, const std::string &id, const ResponderPtr &responder)
{
    if (request.method == "DELETE") {
        cancel(id);
        responder->respond({200, {}, "ok\n"});
        return;
    }
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        responder->respond(refusal(404, "unknown stream"));
        return;
    }
    resume(request, found->second, responder);
}

void Engine::handleKv(const http::Request &request, const std::string &id, const ResponderPtr &responder)
{
    if (request.method == "PUT") {
        importKv(id, request.body, responder);
    } else {
        exportKv(id, responder);
    }
}

void Engine::start(const http::Request &request, const ResponderPtr &responder)
{
    const auto body = http::parseJson(request.body);
    if (!body || !body->isObject()) {
        responder->respond(refusal(400, "not JSON"));
        return;
    }
    if (!retryAfter_.empty()) {
        totals_.refusedBackoff++;
        http::Response response = notRun("overloaded", announcesLeaving_);
        response.headers["Retry-After"] = retryAfter_;
        responder->respond(std::move(response));
        return;
    }
    if (leaving_) {
        totals_.refusedLeaving++;
        responder->respond(notRun("leaving", true));
        return;
    }
    const StreamPtr stream = readStream(std::string(http::headerValue(request.headers, "X-Request-Id")), *body);
    if (!orders_.serves(stream->model)) {
        responder->respond(notRun("model not loaded", false));
        return;
    }
    totals_.started++;
    totals_.continuedTokens += stream->continued;
    totals_.promptTokens += static_cast<std::uint64_t>(stream->promptTokens);
    streams_[stream->id] = stream;
    setReader(stream, responder);
    scheduler_.add(stream);
}

void Engine::resume(const http::Request &request, const StreamPtr &stream, const ResponderPtr &responder)
{
    const auto after = request.query.find("starting_after");
    stream->sent = after == request.query.end() ? 0 : static_cast<std::uint64_t>(std::strtoll(after->second.c_str(), nullptr, 10) + 1);
    setReader(stream, responder);
    send(stream);
}

void Engine::setReader(const StreamPtr &stream, const ResponderPtr &responder)
{
    stream->reader = responder;
    http::Headers headers{{"Content-Type", "text/event-stream"}, {"X-Stream-Id", stream->id}};
    if (announcesLeaving_) {
        headers["X-Leaving"] = "true";
    }
    responder->startStream(200, std::move(headers));
    responder->onClosed([stream, raw = responder.get()] {
        // NOTE A reader that comes back may be here before the end of its old connection is seen.
        if (stream->reader.get() == raw) {
            stream->reader.reset();
        }
    });
}

void Engine::send(const StreamPtr &stream)
{
    if (stream->reader) {
        for (; stream->sent < stream->produced; stream->sent++) {
            stream->reader->write(tokenEvent(*stream, stream->sent, !stream->saidUsage));
            stream->saidUsage = true;
        }
    }
    if (!stream->finished) {
        return;
    }
    if (stream->reader) {
        stream->reader->write(endEvents(*stream));
        stream->reader->finish();
    }
    loop_->after(KeepFinished, [this, id = stream->id] { streams_.erase(id); });
}

void Engine::cancel(const std::string &id)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        return;
    }
    const StreamPtr stream = found->second;
    streams_.erase(found);
    if (!stream->finished) {
        totals_.cancelled++;
    }
    stream->cancelled = true;
    scheduler_.remove(stream);
    if (stream->reader) {
        stream->reader->abort();
    }
}

void Engine::exportKv(const std::string &id, const ResponderPtr &responder)
{
    const auto found = streams_.find(id);
    if (found == streams_.end()) {
        responder->respond(refusal(404, "unknown stream"));
        return;
    }
    std::string body = kv_.exportOf(*found->second);
    totals_.exportedBytes += body.size();
    const auto wait = std::chrono::duration_cast<Duration>(kv_.transferEnd(loop_->now(), body.size()) - loop_->now());
    loop_->after(wait, [responder, body = std::move(body)]() mutable {
        responder->respond({200, {{"Content-Type", "application/octet-stream"}}, std::move(body)});
    });
}

void Engine::importKv(const std::string &id, const std::string &body, const ResponderPtr &responder)
{
    const auto wait = std::chrono::duration_cast<Duration>(kv_.transferEnd(loop_->now(), body.size()) - loop_->now());
    loop_->after(wait, [this, id, body, responder] {
        if (leaving_ || !kv_.import(id, body)) {
            responder->respond(leaving_ ? notRun("leaving", true) : refusal(400, "no exported cache"));
            return;
        }
        totals_.importedBytes += body.size();
        responder->respond({200, {}, "ok\n"});
    });
}

void Engine::control(const Json::Value &json)
{
    if (json.get("leaving", false).asBool()) {
        leaving_ = true;
        scheduler_.setLeaving();
    }
    announcesLeaving_ = json.get("announcesLeaving", announcesLeaving_).asBool();
    retryAfter_ = json.get("retryAfter", retryAfter_).asString();
    options_.tokenMs = json.get("tokenMs", static_cast<Json::Int64>(options_.tokenMs)).asInt64();
}

Json::Value Engine::loadJson()
{
    const EngineLoad load = scheduler_.load();
    Json::Value json;
    json["running"] = static_cast<Json::UInt64>(load.running);
    json["waiting"] = static_cast<Json::UInt64>(load.waiting);
    json["kvUsed"] = load.kvUsed;
    json["leaving"] = load.leaving;
    return json;
}

Json::Value Engine::totals() const
{
    Json::Value json;
    json["started"] = static_cast<Json::UInt64>(totals_.started);
    json["cancelled"] = static_cast<Json::UInt64>(totals_.cancelled);
    json["tokens"] = static_cast<Json::UInt64>(totals_.tokens);
    json["promptTokens"] = static_cast<Json::UInt64>(totals_.promptTokens);
    json["prefilledTokens"] = static_cast<Json::UInt64>(totals_.prefilledTokens);
    json["continuedTokens"] = static_cast<Json::UInt64>(totals_.continuedTokens);
    json["recomputedTokens"] = static_cast<Json::UInt64>(totals_.recomputedTokens);
    json["exportedBytes"] = static_cast<Json::UInt64>(totals_.exportedBytes);
    json["importedBytes"] = static_cast<Json::UInt64>(totals_.importedBytes);
    json["refusedBackoff"] = static_cast<Json::UInt64>(totals_.refusedBackoff);
    json["loadPolls"] = static_cast<Json::UInt64>(totals_.loadPolls);
    json["refusedLeaving"] = static_cast<Json::UInt64>(totals_.refusedLeaving);
    json["open"] = static_cast<Json::UInt64>(streams_.size());
    json["orders"] = orders_.totals();
    return json;
}

} // namespace cardamomlift::standins
