#include "forwarding/tests/forwardertest.h"
#include "serverlimits/serverratelimiter.h"

namespace cardamomlift::forwarding {

namespace {

using std::chrono::seconds;

/// The two servers, of which some have named a limit that leaves this VM no room until time passes.
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

    void limit(const std::string &instance, double perSecond)
    {
        limits_->noteAnswer(instance, {AdvertisedLimit::Kind::Limited, perSecond}, loop_->now());
    }

    void useUpRoom(const std::string &instance)
    {
        while (limits_->hasRoom(instance)) {
            limits_->noteSent(instance);
        }
    }

    void pass(Duration time)
    {
        clock_.advance(time);
        manifests_->confirm(loop_->now());
    }

    static http1::ResponseHead headWithLimit(const std::string &perSecond)
    {
        http1::ResponseHead head = signedHead();
        head.fields.add("Server-Limit", perSecond);
        return head;
    }

    /// One request that is answered at once; its server names a limit, or none.
    void serveOne(const std::string &perSecond = {})
    {
        const auto client = call(request("/safe/1"));
        next()->answer(perSecond.empty() ? signedHead() : headWithLimit(perSecond), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    }

    std::shared_ptr<serverlimits::ServerRateLimiter> limits_;
};

TEST_F(ForwarderLimitsTest, AServerThatNamesALimitInAnAnswerGetsNoMore)
{
    serveOne("1");
    const std::string limitedOne = backends_["one"].arrivals > 0 ? "one" : "two";
    for (int i = 0; i < 20; i++) {
        serveOne();
    }
    EXPECT_EQ(backends_[limitedOne].arrivals, 1) << "no time has passed since it named its limit";
    EXPECT_NE(logLines_.find(R"("limited":1)"), std::string::npos) << "the line of a send says that a server was passed over";
}

TEST_F(ForwarderLimitsTest, WhereAllAreLimitedACallerIsToldWhenToComeBack)
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
        EXPECT_NEAR(wait - last, i == 0 ? 0.25 : 0.5, 0.01) << "two servers take two requests a second: one caller after the other";
        last = wait;
    }
    EXPECT_EQ(arrivals(), 0);
    EXPECT_NE(logLines_.find(R"("reason":"servers_limited")"), std::string::npos);
    EXPECT_EQ(gate_->taken, 0) << "the customer's allowance is given back";
}

TEST_F(ForwarderLimitsTest, ALimitedServerGetsWhatItTakes)
{
    limit("one", 1);
    limit("two", 1);
    pass(seconds(2));
    serveOne("1");
    serveOne("1");
    EXPECT_EQ(arrivals(), 2);
    EXPECT_NE(logLines_.find(R"("limit":"1")"), std::string::npos) << "the line of a send tells the limit of its server";
}

TEST_F(ForwarderLimitsTest, ARequestIsNotRepeatedWhereThereIsNoRoom)
{
    limit("one", 1);
    const auto client = call(request("/safe/1"));
    next()->answer(signedHead(500), "failed");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
    EXPECT_EQ(backends_["one"].arrivals, 0);
}

TEST_F(ForwarderLimitsTest, ARunIsNotMovedToAServerWithoutRoom)
{
    limit("two", 1);
    pass(seconds(4));
    ASSERT_TRUE(limits_->hasRoom("two"));
    useUpRoom("two");
    // Right after a turn the next one is a second away, wherever the clock began.
    while (!limits_->hasRoom("two")) {
        pass(milliseconds(1));
    }
    useUpRoom("two");
    const auto client = call(request("/stream/1"));
    const auto exchange = next();
    ASSERT_EQ(backends_["one"].arrivals, 1);
    exchange->begin(signedHead());
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    reclaim("one");
    pass(milliseconds(50));
    loop_->runDue();
    EXPECT_EQ(arrivals(), 1);
    EXPECT_EQ(logLines_.find("stream_moved"), std::string::npos);
}

TEST_F(ForwarderLimitsTest, AMovedRunCountsWhereItGoes)
{
    limit("two", 1);
    const auto client = call(request("/stream/1"));
    const auto exchange = next();
    exchange->begin(signedHead());
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    // One request may go to the server.
    while (!limits_->hasRoom("two")) {
        pass(milliseconds(100));
    }
    reclaim("one");
    ASSERT_TRUE(runUntil([&] { return logLines_.find("stream_moved") != std::string::npos; }));
    EXPECT_FALSE(limits_->hasRoom("two"));
}

TEST_F(ForwarderLimitsTest, TheLimitEndsWithAnAnswerThatNamesNone)
{
    limit("one", 1);
    limit("two", 1);
    pass(seconds(2));
    serveOne();
    EXPECT_EQ(limits_->limitedServers(), 1U);
}

} // namespace

} // namespace cardamomlift::forwarding
