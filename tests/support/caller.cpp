#include "support/caller.h"

#include "engine/sseparser.h"
#include "http/json.h"

#include <ev.h>
#include <gtest/gtest.h>

#include <algorithm>

namespace cardamomlift::test {

namespace {

constexpr Duration Hanging = std::chrono::seconds(60);
constexpr Duration Poll = std::chrono::milliseconds(5);

std::string urlOf(int port, const std::string &path)
{
    return "http://127.0.0.1:" + std::to_string(port) + path;
}

} // namespace

Json::Value TestCall::json() const
{
    return http::parseJson(body).value_or(Json::Value());
}

std::vector<std::pair<std::uint64_t, std::string>> TestCall::tokens() const
{
    std::vector<std::pair<std::uint64_t, std::string>> result;
    engine::SseParser parser;
    parser.feed(body, [&](const engine::SseEvent &event) {
        const auto chunk = http::parseJson(event.data);
        if (!chunk || !chunk->isObject()) {
            return;
        }
        const Json::Value &content = (*chunk)["choices"][0]["delta"]["content"];
        if (content.isString()) {
            result.emplace_back(std::strtoull(event.id.c_str(), nullptr, 10), content.asString());
        }
    });
    return result;
}

bool TestCall::isWhole() const
{
    return ended && result.transport == http::Transport::Completed && body.ends_with("data: [DONE]\n\n");
}

std::string TestCall::errorCode() const
{
    return json()["error"]["code"].asString();
}

Caller::Caller()
{
    loop_ = std::move(EventLoop::create(clock_).value());
    client_ = std::move(http::Client::create(*loop_).value());
}

TestCallPtr Caller::start(http::ClientRequest request)
{
    auto call = std::make_shared<TestCall>();
    http::ClientHooks hooks;
    hooks.onHeaders = [call](int status, const http::Headers &headers) {
        call->status = status;
        call->headers = headers;
    };
    hooks.onData = [call](std::string_view bytes) {
        call->body.append(bytes);
        return true;
    };
    hooks.onDone = [call](http::ClientResult result) {
        call->result = std::move(result);
        call->ended = true;
    };
    call->id = client_->start(std::move(request), std::move(hooks));
    return call;
}

bool Caller::waitUntil(const std::function<bool()> &condition, const std::string &what)
{
    const TimePoint end = clock_.now() + Hanging;
    while (!condition()) {
        if (clock_.now() > end) {
            ADD_FAILURE() << "Waited in vain: " << what;
            return false;
        }
        const TimerId timer = loop_->after(Poll, [this] { ev_break(loop_->raw(), EVBREAK_ALL); });
        loop_->run();
        loop_->cancel(timer);
    }
    return true;
}

TestCallPtr Caller::call(http::ClientRequest request)
{
    auto call = start(std::move(request));
    waitUntil([&] { return call->ended; }, "the end of a call");
    return call;
}

void Caller::waitEnded(const std::vector<TestCallPtr> &calls, const std::string &what)
{
    waitUntil([&] { return std::all_of(calls.begin(), calls.end(), [](const TestCallPtr &call) { return call->ended; }); }, what);
}

TestCallPtr Caller::get(int port, const std::string &path)
{
    http::ClientRequest request;
    request.url = urlOf(port, path);
    return call(std::move(request));
}

TestCallPtr Caller::post(int port, const std::string &path, const Json::Value &body)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = urlOf(port, path);
    request.body = http::writeJson(body);
    return call(std::move(request));
}

void Caller::hangUp(const TestCallPtr &call)
{
    client_->cancel(call->id);
}

EventLoop &Caller::loop()
{
    return *loop_;
}

} // namespace cardamomlift::test
