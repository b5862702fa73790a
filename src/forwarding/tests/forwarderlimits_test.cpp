#include "forwarding/tests/forwardertest.h"
#include "serverlimits/serverratelimiter.h"

namespace cardamomlift::forwarding {

namespace {

using std::chrono::seconds;

/// With the clock paused, a server that advertises a limit has no room for requests of this VM until the test advances it.
class ForwarderLimitsTest : public ForwarderTest
{
protected:
    ForwarderLimitsTest()
    {
        clock_.pause();
        serverlimits::ServerRateLimiterTools tools;
        tools.loop = loop_.get();
        tools.directory = directory_;
        tools.log = log_;
        tools.instance = "vm";
        tools.storeNow = [this]() -> std::optional<Duration> {
            return loop_->now().time_since_epoch();
        };
        tools.vms = [] {
            return std::vector<std::string>{"vm"};
        };
        limits_ = serverlimits::ServerRateLimiter::create(std::move(tools));
        tools_.limits = limits_;
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        manifests_->confirm(loop_->now());
    }

    void limit(const std::string &instance, double requestsPerSecond)
    {
        limits_->noteAnswer(instance, {AdvertisedLimit::Kind::Limited, requestsPerSecond}, loop_->now());
    }

    void useUpRoom(const std::string &instance)
    {
        while (limits_->hasRoom(instance)) {
            limits_->noteSent(instance);
        }
    }

    void advance(Duration time)
    {
        clock_.advance(time);
        manifests_->confirm(loop_->now());
    }

    static http1::ResponseHead headWithLimit(const std::string &requestsPerSecond)
    {
        http1::ResponseHead head = signedHead();
        head.fields.add("Server-Limit", requestsPerSecond);
        return head;
    }

    /// Sends a request that is answered at once; its server advertises the limit @p requestsPerSecond, or none if it is empty.
    void serveRequest(const std::string &requestsPerSecond = {})
    {
        const auto client = call(request("/safe/1"));
        nextRequest()->answer(requestsPerSecond.empty() ? signedHead() : headWithLimit(requestsPerSecond), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    }

    std::shared_ptr<serverlimits::ServerRateLimiter> limits_;
};

TEST_F(ForwarderLimitsTest, AServerThatAdvertisesALimitIsSkippedWhileItHasNoRoom)
{
    serveRequest("1");
    const std::string limitedServer = backends_["one"].arrivals > 0 ? "one" : "two";
    for (int i = 0; i < 20; i++) {
        serveRequest();
    }
    EXPECT_EQ(backends_[limitedServer].arrivals, 1) << "no time has passed since it advertised its limit";
    EXPECT_NE(logLines_.find(R"("limited":1)"), std::string::npos) << "the log line of a send counts the skipped servers";
}

TEST_F(ForwarderLimitsTest, WhenAllServersAreLimitedRetryAfterTimesAreSpread)
{
    limit("one", 1);
    limit("two", 1);
    double last = 0;
    for (int i = 0; i < 3; i++) {
        const auto client = call(request("/once/1"));
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
        const std::size_t place = client->received().find("Retry-After: ");
        ASSERT_NE(place, std::string::npos) << client->received();
        const double wait = std::stod(client->received().substr(place + std::string("Retry-After: ").size()));
        EXPECT_NEAR(wait - last, i == 0 ? 0.25 : 0.5, 0.01) << "the two servers accept two requests per second, so callers return 0.5 s apart";
        last = wait;
    }
    EXPECT_EQ(arrivals(), 0);
    EXPECT_NE(logLines_.find(R"("reason":"servers_limited")"), std::string::npos);
    EXPECT_EQ(allowances_->taken, 0) << "the customer's allowance is refunded";
}

TEST_F(ForwarderLimitsTest, ALimitedServerGetsRequestsUpToItsLimit)
{
    limit("one", 1);
    limit("two", 1);
    advance(seconds(2));
    serveRequest("1");
    serveRequest("1");
    EXPECT_EQ(arrivals(), 2);
    EXPECT_NE(logLines_.find(R"("limit":"1")"), std::string::npos) << "the log line of a send gives the limit of its server";
}

TEST_F(ForwarderLimitsTest, ARequestIsNotRetriedAtAServerWithoutRoom)
{
    limit("one", 1);
    const auto client = call(request("/safe/1"));
    nextRequest()->answer(signedHead(500), "failed");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
    EXPECT_EQ(backends_["one"].arrivals, 0);
}

TEST_F(ForwarderLimitsTest, ARunIsNotMovedToAServerWithoutRoom)
{
    limit("two", 1);
    advance(seconds(4));
    ASSERT_TRUE(limits_->hasRoom("two"));
    useUpRoom("two");
    // Wait for the server's next permit: right after it, the one that follows is a second away, whatever the start of the clock.
    while (!limits_->hasRoom("two")) {
        advance(milliseconds(1));
    }
    useUpRoom("two");
    const auto client = call(request("/stream/1"));
    const auto exchange = nextRequest();
    ASSERT_EQ(backends_["one"].arrivals, 1);
    exchange->begin(signedHead());
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    reclaim("one");
    advance(milliseconds(50));
    loop_->runDue();
    EXPECT_EQ(arrivals(), 1);
    EXPECT_EQ(logLines_.find("stream_moved"), std::string::npos);
}

TEST_F(ForwarderLimitsTest, AMovedRunCountsAgainstTheLimitOfItsTarget)
{
    limit("two", 1);
    const auto client = call(request("/stream/1"));
    const auto exchange = nextRequest();
    exchange->begin(signedHead());
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    // Wait until the server has room for one request.
    while (!limits_->hasRoom("two")) {
        advance(milliseconds(100));
    }
    reclaim("one");
    ASSERT_TRUE(runUntil([&] { return logLines_.find("stream_moved") != std::string::npos; }));
    EXPECT_FALSE(limits_->hasRoom("two"));
}

TEST_F(ForwarderLimitsTest, AnAnswerWithoutALimitEndsTheLimit)
{
    limit("one", 1);
    limit("two", 1);
    advance(seconds(2));
    serveRequest();
    EXPECT_EQ(limits_->limitedServers(), 1U);
}

} // namespace

} // namespace cardamomlift::forwarding
