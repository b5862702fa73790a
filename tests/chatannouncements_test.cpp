// What entry VMs with contracts make of what engines and services say of themselves in answers: that they leave, and that they want
// no more requests for some time.

#include "support/fleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using test::Fleet;
using test::TestCallPtr;

namespace {

using std::chrono::milliseconds;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int Tokens = 5;
/// Long enough to outlast the test.
constexpr int ManyTokens = 400;
/// What a server may get from a VM in one backoff, beside the request that it turned away.
constexpr int ArrivalsInBackoff = 2;
constexpr char IdempotentPath[] = "/orders/tags";

Json::Value control(const char *name, const Json::Value &value)
{
    Json::Value json;
    json[name] = value;
    return json;
}

/// One entry VM with two engines and two services.
class ChatAnnouncements : public testing::Test
{
protected:
    ChatAnnouncements()
        : fleet_(1)
    {
        for (const char *number : {"1", "2"}) {
            fleet_.addEngine(fmt::format("engine-{}", number), fmt::format("zone-{}", number));
            fleet_.addService(fmt::format("orders-{}", number), fmt::format("zone-{}", number));
        }
        fleet_.waitReady();
    }

    void controlServer(const std::string &server, const char *name, const Json::Value &value)
    {
        fleet_.caller.post(fleet_.processes[server]->port(), "/control", control(name, value));
    }

    bool isBelievedLeaving(const std::string &server)
    {
        const Json::Value status = fleet_.status("entry-1");
        for (const Json::Value &shown : status["vms"]) {
            if (shown["instance"] == server) {
                return shown["leaving"].asBool();
            }
        }
        return false;
    }

    TestCallPtr chat(int number)
    {
        return fleet_.caller.call(fleet_.chat("entry-1", fmt::format("chat {}", number), Tokens));
    }

    TestCallPtr callService()
    {
        return fleet_.caller.call(fleet_.serviceCall("entry-1", IdempotentPath, "{}", {}));
    }

    std::int64_t serviceCount(const std::string &service, const char *name)
    {
        return fleet_.caller.get(fleet_.processes[service]->port(), "/runs")->json()[name].asInt64();
    }

    static double retryAfterOf(const TestCallPtr &call)
    {
        const std::string value(http::headerValue(call->headers, "Retry-After"));
        return value.empty() ? -1 : std::stod(value);
    }

    Fleet fleet_;
};

// Guards against new chats at an engine whose running stream has said from its head on that the engine leaves.
TEST_F(ChatAnnouncements, AnEngineThatSaysItLeavesInTheHeadOfAStreamGetsNoNewChats)
{
    controlServer("engine-1", "announcesLeaving", true);
    controlServer("engine-1", "tokenMs", 50);
    std::vector<TestCallPtr> streams;
    const auto isTold = [&] {
        streams.push_back(fleet_.caller.start(fleet_.chat("entry-1", fmt::format("long {}", streams.size()), ManyTokens)));
        fleet_.caller.waitUntil([&] { return !streams.back()->tokens().empty(); }, "a token");
        return fleet_.engineTotal("engine-1", "started") > 0;
    };
    ASSERT_TRUE(fleet_.caller.waitUntil(isTold, "a stream at the engine that leaves"));
    EXPECT_TRUE(isBelievedLeaving("engine-1"));
    EXPECT_FALSE(isBelievedLeaving("engine-2"));
    const std::int64_t before = fleet_.engineTotal("engine-1", "started");
    for (int i = 0; i < 10; i++) {
        EXPECT_TRUE(chat(i)->isWhole());
    }
    EXPECT_EQ(fleet_.engineTotal("engine-1", "started"), before);
    for (const TestCallPtr &stream : streams) {
        fleet_.caller.hangUp(stream);
    }
}

// Guards against new calls of a service that has said in an answer that it leaves.
TEST_F(ChatAnnouncements, AServiceThatSaysItLeavesGetsNoNewCalls)
{
    controlServer("orders-1", "announcesLeaving", true);
    const auto isTold = [&] {
        EXPECT_EQ(callService()->status, StatusOk);
        return serviceCount("orders-1", "runs") > 0;
    };
    ASSERT_TRUE(fleet_.caller.waitUntil(isTold, "a call at the service that leaves"));
    EXPECT_TRUE(isBelievedLeaving("orders-1"));
    const std::int64_t before = serviceCount("orders-1", "runs");
    for (int i = 0; i < 20; i++) {
        EXPECT_EQ(callService()->status, StatusOk);
    }
    EXPECT_EQ(serviceCount("orders-1", "runs"), before);
}

// Guards against chats that are sent to engines that have all asked for a backoff, and against callers who are told to come back
// before it ends.
TEST_F(ChatAnnouncements, EnginesThatAskForABackoffAreLeftAlone)
{
    constexpr double BackoffSeconds = 30;
    for (const char *engine : {"engine-1", "engine-2"}) {
        controlServer(engine, "retryAfter", "30");
    }
    for (int i = 0; i < 10; i++) {
        const TestCallPtr refused = chat(i);
        EXPECT_EQ(refused->status, StatusUnavailable) << refused->body;
        EXPECT_GT(retryAfterOf(refused), BackoffSeconds / 2) << refused->body;
    }
    for (const char *engine : {"engine-1", "engine-2"}) {
        EXPECT_GE(fleet_.engineTotal(engine, "refusedBackoff"), 1) << engine;
        EXPECT_LE(fleet_.engineTotal(engine, "refusedBackoff"), 1 + ArrivalsInBackoff) << engine;
    }
}

TEST_F(ChatAnnouncements, ServicesThatAskForABackoffAreLeftAloneAndUsedAgainAfterIt)
{
    for (const char *service : {"orders-1", "orders-2"}) {
        controlServer(service, "retryAfter", "3");
    }
    for (int i = 0; i < 10; i++) {
        const TestCallPtr refused = callService();
        EXPECT_EQ(refused->status, StatusUnavailable) << refused->body;
        EXPECT_GT(retryAfterOf(refused), 0) << refused->body;
    }
    for (const char *service : {"orders-1", "orders-2"}) {
        EXPECT_GE(serviceCount(service, "refusedBackoff"), 1) << service;
        EXPECT_LE(serviceCount(service, "refusedBackoff"), 1 + ArrivalsInBackoff) << service;
        controlServer(service, "retryAfter", "");
    }
    EXPECT_TRUE(fleet_.caller.waitUntil([&] { return callService()->status == StatusOk; }, "calls are run again"));
}

} // namespace
