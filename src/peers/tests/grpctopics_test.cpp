#include "peers/grpctransport.h"

#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::peers {
namespace {

constexpr Duration CallTimeout = std::chrono::seconds(20);

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

TEST(GrpcTopics, ReportsTheCallsAndBytesOfEachTopicToTheCaller)
{
    const SystemClock clock;
    const auto loop = EventLoop::create(clock);
    ASSERT_TRUE(loop);
    std::map<std::string, Traffic> sent;
    std::map<std::string, Traffic> received;
    const auto caller = GrpcTransport::create(*loop.value(), optionsOf("caller", sent));
    const auto callee = GrpcTransport::create(*loop.value(), optionsOf("callee", received));
    ASSERT_TRUE(caller && callee);
    callee.value()->handle("echo", [](const std::string &, std::string payload, const Reply &reply) { reply(std::move(payload)); });
    const PeerAddress address{"callee", "127.0.0.1", callee.value()->port()};
    int pendingCalls = 3;
    const auto countDown = [&](const Result<std::string> &) {
        if (--pendingCalls == 0) {
            loop.value()->stop();
        }
    };
    caller.value()->send(address, "echo", "12345", CallTimeout, countDown);
    caller.value()->send(address, "echo", "1234567", CallTimeout, countDown);
    caller.value()->send(address, "unknown", "123", CallTimeout, countDown);
    loop.value()->run();
    EXPECT_EQ(pendingCalls, 0);
    EXPECT_EQ(sent["echo"].calls, 2);
    EXPECT_EQ(sent["echo"].bytes, 24U);
    EXPECT_EQ(sent["unknown"].calls, 1);
    EXPECT_EQ(sent["unknown"].bytes, 3U);
    EXPECT_TRUE(received.empty());
}

} // namespace
} // namespace cardamomlift::peers
