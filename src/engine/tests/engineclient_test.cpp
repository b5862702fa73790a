#include "engine/engineclient.h"
#include "http/tests/spoiltjson.h"
#include "http1/tests/endlessbytes.h"
#include "http1/tests/looptest.h"
#include "http1/tests/rawserver.h"

#include <ev.h>
#include <gtest/gtest.h>

#include <optional>

namespace cardamomlift::engine {

namespace {

struct EndlessStream {
    http1::EndlessBytes bytes;
    StreamEnd end; ///< How it is to end.
};

class EndlessEngineAnswers : public testing::TestWithParam<EndlessStream>
{
};

constexpr std::size_t MostBytesRead = 32u << 20;
constexpr char StreamHead[] = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";

/// Starts "request-1" at an engine on loopback.
void startRequest(EngineClient &client, std::uint16_t port, std::function<void(const EngineResult &result)> onEnd)
{
    membership::Vm engine;
    engine.instance = "engine";
    engine.address = "127.0.0.1";
    engine.port = port;
    EngineRequest request;
    request.requestId = "request-1";
    request.messagesJson = "[]";
    EngineHooks hooks;
    hooks.onToken = [](const Token &) {
    };
    hooks.onEnd = std::move(onEnd);
    client.start(engine, request, std::move(hooks));
}

} // namespace

// Guards against an engine in trouble whose bytes hold the request of a chat until its caller gives up.
TEST_P(EndlessEngineAnswers, EndTheStreamSoon)
{
    SystemClock clock;
    const auto loop = std::move(EventLoop::create(clock).value());
    const auto client = EngineClient::create(std::move(http::Client::create(*loop).value()), nullptr);
    http1::EndlessServer server(GetParam().bytes);
    const TimerId sending = loop->every(std::chrono::milliseconds(1), [&] {
        server.sendSome();
        if (server.sentBytes() > MostBytesRead) {
            ev_break(loop->raw(), EVBREAK_ALL);
        }
    });
    std::optional<EngineResult> result;
    startRequest(*client, server.port(), [&](const EngineResult &ended) {
        result = ended;
        ev_break(loop->raw(), EVBREAK_ALL);
    });
    loop->run();
    loop->cancel(sending);
    ASSERT_TRUE(result) << server.sentBytes() << " bytes were sent";
    EXPECT_EQ(result->end, GetParam().end);
}

INSTANTIATE_TEST_SUITE_P(Places,
    EndlessEngineAnswers,
    testing::Values(EndlessStream{{"head", "HTTP/1.1 200 OK\r\n", "X-A: b\r\n"}, StreamEnd::Broken},
        EndlessStream{{"comments", StreamHead, ": x\n\n"}, StreamEnd::Broken},
        EndlessStream{{"line", StreamHead, "x"}, StreamEnd::Broken},
        EndlessStream{{"eventsOfNoRequest", StreamHead, "data: x\n\n"}, StreamEnd::Broken},
        EndlessStream{{"afterTheEnd", std::string(StreamHead) + "data: [DONE]\n\n", ": x\n\n"}, StreamEnd::Finished},
        EndlessStream{{"failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", "x"}, StreamEnd::Broken}),
    [](const auto &info) { return std::string(info.param.bytes.name); });

class SpoiltEngineEvents : public http1::LoopTest
{
};

// Guards against a value of an unexpected type in an engine's event that ends the process.
TEST_F(SpoiltEngineEvents, AreSurvived)
{
    std::string events;
    http::forEachSpoiltText(R"({"id":"request-1","choices":[{"finish_reason":"stop","delta":{"content":"a"}}],)"
                            R"("usage":{"prompt_tokens":5,"prompt_tokens_details":{"cached_tokens":3}}})",
        [&events](const std::string &text) {
            // An event with another id ends the stream.
            if (text.find("request-1") != std::string::npos) {
                events += "id: 1\ndata: " + text + "\n\n";
            }
        });
    const auto client = EngineClient::create(std::move(http::Client::create(*loop_).value()), nullptr);
    http1::RawServer server;
    std::optional<EngineResult> result;
    startRequest(*client, server.port(), [&result](const EngineResult &ended) { result = ended; });
    ASSERT_TRUE(runUntil([&server] { return !server.connections().empty() && !server.connections().front().received().empty(); }));
    server.connections().front().send(StreamHead + events + "data: [DONE]\n\n");
    server.connections().front().close();
    ASSERT_TRUE(runUntil([&result] { return result.has_value(); }));
    EXPECT_EQ(result->end, StreamEnd::Finished);
}

} // namespace cardamomlift::engine
