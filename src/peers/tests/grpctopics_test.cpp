#include "peers/grpctransport.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::peers {
namespace {

constexpr Duration Patience = std::chrono::seconds(20);

struct Traffic {
    int calls = 0;
    std::size_t bytes = 0;
};

GrpcOptions optionsOf(const std::string &instance, std::map<std::string, Traffic> &traffic)
{
    GrpcOptions options;
    options.instance = instance;
    options.token = "token";
    options.onCallEnded = [&traffic](std::string_view topic, std::size_t bytes) {
        Traffic &entry = traffic[std::string(topic)];
        entry.calls++;
        entry.bytes += bytes;
    };
    return options;
}

TEST(GrpcTopics, TellsTheCallerTheBytesOfEachTopic)
{
    const SystemClock clock;
    const auto loop = EventLoop::create(clock);
    ASSERT_TRUE(loop);
    std::map<std::string, Traffic> asked;
    std::map<std::string, Traffic> answered;
    const auto caller = GrpcTransport::create(*loop.value(), optionsOf("caller", asked));
    const auto callee = GrpcTransport::create(*loop.value(), optionsOf("callee", answered));
    ASSERT_TRUE(caller && callee);
    callee.value()->handle("echo", [](const std::string &, std::string payload, const Reply &reply) { reply(std::move(payload)); });
    const PeerAddress address{"callee", "127.0.0.1", callee.value()->port()};
    int left = 3;
    const auto countDown = [&](const Result<std::string> &) {
        if (--left == 0) {
            loop.value()->stop();
        }
    };
    caller.value()->send(address, "echo", "12345", Patience, countDown);
    caller.value()->send(address, "echo", "1234567", Patience, countDown);
    caller.value()->send(address, "unknown", "123", Patience, countDown);
    loop.value()->run();
    EXPECT_EQ(left, 0);
    EXPECT_EQ(asked["echo"].calls, 2);
    EXPECT_EQ(asked["echo"].bytes, 24U);
    EXPECT_EQ(asked["unknown"].calls, 1);
    EXPECT_EQ(asked["unknown"].bytes, 3U);
    EXPECT_TRUE(answered.empty());
}

} // namespace
} // namespace cardamomlift::peers
