#include "serverlimits/serverratelimiter.h"

#include <gtest/gtest.h>

namespace cardamomlift::serverlimits {

namespace {

using forwarding::AdvertisedLimit;
using std::chrono::milliseconds;
using std::chrono::seconds;

const AdvertisedLimit Unlimited{AdvertisedLimit::Kind::Unlimited, 0};
const AdvertisedLimit Unknown{};

AdvertisedLimit limited(double perSecond)
{
    return {AdvertisedLimit::Kind::Limited, perSecond};
}

/// Two VMs that send to the same server, on a paused clock.
class ServerRateLimiterTest : public testing::Test
{
protected:
    ServerRateLimiterTest()
    {
        loop_ = EventLoop::create(clock_).value();
        log_ = eventlog::EventLog::create(clock_, "test", [this](std::string_view line) {
            lines_ += line;
            return true;
        });
        list("server");
        one_ = create("one");
        two_ = create("two");
    }

    void list(const std::string &name)
    {
        directory::BackendServer server;
        server.name = name;
        server.instance = name;
        server.service = "service";
        directory_->put(std::move(server));
    }

    std::shared_ptr<ServerRateLimiter> create(const std::string &vm)
    {
        ServerRateLimiterTools tools;
        tools.loop = loop_.get();
        tools.directory = directory_;
        tools.log = log_;
        tools.instance = vm;
        tools.storeNow = [this]() -> std::optional<Duration> {
            return isClockKnown_ ? std::optional(loop_->now().time_since_epoch()) : std::nullopt;
        };
        tools.vms = [this] {
            return vms_;
        };
        return ServerRateLimiter::create(std::move(tools));
    }

    void pass(Duration time)
    {
        clock_.advance(time);
        one_->tick();
        two_->tick();
    }

    TimePoint now() const
    {
        return loop_->now();
    }

    /// Returns the number of requests that a VM can send in @p time.
    int sendAllowed(ServerRateLimiter &limiter, Duration time)
    {
        int count = 0;
        for (Duration passed(0); passed < time; passed += milliseconds(10)) {
            pass(milliseconds(10));
            if (limiter.hasRoom("server")) {
                limiter.noteSent("server");
                count++;
            }
        }
        return count;
    }

    void shareLimits(const ServerRateLimiter &from, ServerRateLimiter &to)
    {
        to.applyPeerLimits("peer", from.limitsToShare());
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::string lines_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<directory::Directory> directory_ = directory::Directory::create();
    bool isClockKnown_ = true;
    std::vector<std::string> vms_{"one", "two"};
    std::shared_ptr<ServerRateLimiter> one_;
    std::shared_ptr<ServerRateLimiter> two_;
};

TEST_F(ServerRateLimiterTest, AServerWithoutALimitAlwaysHasRoom)
{
    one_->noteAnswer("server", Unlimited, now());
    EXPECT_TRUE(one_->hasRoom("server"));
    EXPECT_FALSE(one_->requestsPerSecond("server"));
    EXPECT_TRUE(one_->limitsToShare().empty());
}

TEST_F(ServerRateLimiterTest, AVmGetsItsShareOfTheLimit)
{
    one_->noteAnswer("server", limited(1), now());
    EXPECT_EQ(one_->requestsPerSecond("server"), 1);
    EXPECT_EQ(one_->ownRequestsPerSecond("server"), 0.5);
    EXPECT_NEAR(sendAllowed(*one_, seconds(200)), 100, 25);
}

TEST_F(ServerRateLimiterTest, AVmLearnsOfALimitFromAnother)
{
    one_->noteAnswer("server", limited(1), now());
    shareLimits(*one_, *two_);
    EXPECT_EQ(two_->requestsPerSecond("server"), 1);
    EXPECT_TRUE(two_->limitsToShare().empty()) << "only the VM that received the answer shares it";
}

TEST_F(ServerRateLimiterTest, TheLatestAnswerWins)
{
    one_->noteAnswer("server", limited(1), now());
    const auto old = one_->limitsToShare();
    pass(milliseconds(100));
    two_->noteAnswer("server", limited(2), now());
    two_->applyPeerLimits("one", one_->limitsToShare());
    EXPECT_EQ(two_->requestsPerSecond("server"), 2);
    shareLimits(*two_, *one_);
    EXPECT_EQ(one_->requestsPerSecond("server"), 2);
    EXPECT_TRUE(one_->limitsToShare().empty()) << "its own answer is no longer the latest";
}

TEST_F(ServerRateLimiterTest, OnlyAnAnswerToALaterRequestEndsALimit)
{
    const TimePoint before = now();
    pass(milliseconds(100));
    one_->noteAnswer("server", limited(1), now());
    one_->noteAnswer("server", Unlimited, before);
    EXPECT_TRUE(one_->requestsPerSecond("server")) << "that answer may have been sent before the limit was advertised";
    one_->noteAnswer("server", Unknown, now());
    EXPECT_TRUE(one_->requestsPerSecond("server"));
    pass(milliseconds(100));
    one_->noteAnswer("server", Unlimited, now());
    EXPECT_FALSE(one_->requestsPerSecond("server"));
    EXPECT_TRUE(one_->hasRoom("server"));
}

TEST_F(ServerRateLimiterTest, AnOlderReportDoesNotRestoreALimit)
{
    one_->noteAnswer("server", limited(1), now());
    shareLimits(*one_, *two_);
    pass(seconds(1));
    two_->noteAnswer("server", Unlimited, now());
    EXPECT_FALSE(two_->requestsPerSecond("server"));
    shareLimits(*one_, *two_);
    EXPECT_FALSE(two_->requestsPerSecond("server"));
    shareLimits(*two_, *one_);
    EXPECT_FALSE(one_->requestsPerSecond("server")) << "the end is shared too";
}

TEST_F(ServerRateLimiterTest, ADelayedEndDoesNotEndALimitThatWasAdvertisedAgain)
{
    one_->noteAnswer("server", limited(1), now());
    shareLimits(*one_, *two_);
    pass(seconds(1));
    one_->noteAnswer("server", Unlimited, now());
    const auto end = one_->limitsToShare();
    pass(milliseconds(50));
    two_->noteAnswer("server", limited(1), now());
    pass(milliseconds(100));
    two_->applyPeerLimits("one", end);
    EXPECT_TRUE(two_->requestsPerSecond("server"));
}

TEST_F(ServerRateLimiterTest, AnEndIsAcceptedAfterFurtherAnswers)
{
    one_->noteAnswer("server", limited(1), now());
    pass(milliseconds(100));
    two_->noteAnswer("server", limited(1), now());
    pass(milliseconds(50));
    one_->noteAnswer("server", Unlimited, now());
    shareLimits(*one_, *two_);
    EXPECT_TRUE(two_->requestsPerSecond("server")) << "it may be older than the limit";
    pass(milliseconds(500));
    one_->noteAnswer("server", Unlimited, now());
    shareLimits(*one_, *two_);
    EXPECT_FALSE(two_->requestsPerSecond("server"));
}

TEST_F(ServerRateLimiterTest, AnEndIsSharedForALimitedTime)
{
    one_->noteAnswer("server", limited(1), now());
    pass(milliseconds(100));
    one_->noteAnswer("server", Unlimited, now());
    EXPECT_EQ(one_->limitsToShare().size(), 1U);
    for (int i = 0; i < 20; i++) {
        pass(seconds(1));
        one_->noteAnswer("server", Unlimited, now());
    }
    EXPECT_TRUE(one_->limitsToShare().empty());
}

TEST_F(ServerRateLimiterTest, ARestartedServerHasNoLimit)
{
    one_->noteAnswer("server", limited(1), now());
    list("server-2");
    EXPECT_TRUE(one_->hasRoom("server-2"));
    directory_->removeInvalid("server");
    pass(seconds(60));
    EXPECT_EQ(one_->limitedServers(), 0U);
}

TEST_F(ServerRateLimiterTest, WithoutAClockOrTheListOfVmsALimitedServerGetsNothing)
{
    isClockKnown_ = false;
    one_->noteAnswer("server", limited(1), now());
    EXPECT_EQ(sendAllowed(*one_, seconds(20)), 0);
    isClockKnown_ = true;
    vms_.clear();
    EXPECT_EQ(sendAllowed(*one_, seconds(20)), 0);
    vms_ = {"one"};
    EXPECT_GT(sendAllowed(*one_, seconds(20)), 10);
}

TEST_F(ServerRateLimiterTest, ALimitAboveAnyPossibleRateIsIgnored)
{
    one_->noteAnswer("server", limited(1e300), now());
    EXPECT_TRUE(one_->hasRoom("server"));
}

TEST_F(ServerRateLimiterTest, EachChangeIsLoggedOnce)
{
    for (int i = 0; i < 3; i++) {
        one_->noteAnswer("server", limited(1.5), now());
    }
    EXPECT_NE(lines_.find(R"("event":"server_limited")"), std::string::npos) << lines_;
    EXPECT_NE(lines_.find(R"("outcome":"named","limit":"1.5")"), std::string::npos) << lines_;
    EXPECT_EQ(lines_.find("server_limited"), lines_.rfind("server_limited"));
    one_->noteAnswer("server", limited(2), now());
    EXPECT_NE(lines_.find(R"("outcome":"changed","limit":"2")"), std::string::npos) << lines_;
}

} // namespace

} // namespace cardamomlift::serverlimits
