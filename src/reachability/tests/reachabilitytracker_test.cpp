#include "http1/httpserver.h"
#include "http1/tests/testlink.h"
#include "reachability/probetargets.h"
#include "reachability/reachabilityrules.h"
#include "reachability/reachabilitytracker.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <map>

namespace cardamomlift::reachability {

namespace {

using http1::TestLink;
using std::chrono::milliseconds;

constexpr Duration ConnectTimeout = milliseconds(401);
constexpr int Domains = 3;

/// A VM and six servers of two services, each behind a link of its own.
class ReachabilityTrackerTest : public http1::LoopTest
{
protected:
    ReachabilityTrackerTest()
    {
        log_ = eventlog::EventLog::create(clock_, "vm", [this](std::string_view line) {
            logLines_ += line;
            return true;
        });
        http1::ServerHandlers handlers;
        handlers.onRequest = [](const http1::ExchangePtr &) {
        };
        handlers.onRejected = [](int) {
        };
        target_ = http1::HttpServer::listen(*loop_, {"127.0.0.1", 0}, {}, std::move(handlers)).value();
        for (int i = 0; i < 6; i++) {
            addServer(fmt::format("server-{}", i), i < 4 ? "models" : "desk", fmt::format("domain-{}", i % Domains));
        }
        tracker_ = ReachabilityTracker::create({loop_.get(),
            [directory = directory_] { return reachability::probeTargets(*directory); },
            log_,
            metrics::Metrics::create(),
            [](Duration) {
                return std::size_t(4);
            }});
        tracker_->onChange([this](bool isCutOff) { changes_.push_back(isCutOff); });
    }

    void addServer(const std::string &instance, const std::string &service, const std::string &zone)
    {
        links_[instance] = std::make_unique<TestLink>(*loop_, target_->port());
        directory::BackendServer server;
        server.name = instance;
        server.instance = instance;
        server.service = service;
        server.zone = zone;
        server.endpoint = links_[instance]->endpoint();
        directory_->put(std::move(server));
    }

    /// Lets @p by pass as the event loop would: timers and ticks in their order.
    void pass(Duration by)
    {
        clock_.pause();
        const TimePoint end = loop_->now() + by;
        while (loop_->now() < end) {
            clock_.advance(milliseconds(50));
            for (int i = 0; i < 5; i++) {
                loop_->runDue();
                std::this_thread::sleep_for(milliseconds(1));
            }
            if (loop_->now() - tickedAt_ >= ReachabilityTracker::TickPeriod) {
                tickedAt_ = loop_->now();
                tracker_->tick();
            }
        }
    }

    void refuseAll()
    {
        for (const auto &[instance, link] : links_) {
            link->reset();
        }
    }

    void hangAll()
    {
        for (const auto &[instance, link] : links_) {
            link->hang();
        }
    }

    std::shared_ptr<directory::Directory> directory_ = directory::Directory::create();
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<http1::HttpServer> target_;
    std::map<std::string, std::unique_ptr<TestLink>> links_;
    std::shared_ptr<ReachabilityTracker> tracker_;
    std::vector<bool> changes_;
    TimePoint tickedAt_;
    std::string logLines_;
};

TEST_F(ReachabilityTrackerTest, KnowsThatNoServerCanBeReachedAfterTheFirstFailureAndItsProbes)
{
    clock_.pause();
    refuseAll();
    tracker_->noteConnectFailed("server-0");
    EXPECT_TRUE(runUntil([&] { return tracker_->state() == State::Unreachable; }));
    EXPECT_EQ(changes_, std::vector<bool>{true});
    EXPECT_FALSE(tracker_->isDirect(0));
    EXPECT_NE(logLines_.find("\"event\":\"servers_unreachable\""), std::string::npos);
    EXPECT_NE(logLines_.find("\"count\":4"), std::string::npos);
}

TEST_F(ReachabilityTrackerTest, KnowsItWithinOneConnectTimeoutWhenNothingComesBack)
{
    hangAll();
    clock_.pause();
    tracker_->noteSilent();
    pass(ConnectTimeout);
    EXPECT_EQ(tracker_->state(), State::Unreachable);
}

TEST_F(ReachabilityTrackerTest, AServerThatIsDownAloneIsNoReasonForProbesWhileOthersSend)
{
    links_["server-0"]->reset();
    tracker_->noteActivity();
    tracker_->noteConnectFailed("server-0");
    pass(milliseconds(200));
    for (const auto &[instance, link] : links_) {
        EXPECT_EQ(link->accepted(), 0) << instance;
    }
    EXPECT_NE(tracker_->state(), State::Unreachable);
}

TEST_F(ReachabilityTrackerTest, AServiceThatIsDownIsNoCut)
{
    for (const char *instance : {"server-0", "server-1", "server-2", "server-3"}) {
        links_[instance]->reset();
    }
    for (const char *instance : {"server-0", "server-1", "server-2", "server-3"}) {
        tracker_->noteConnectFailed(instance);
    }
    pass(milliseconds(1000));
    EXPECT_TRUE(changes_.empty());
    EXPECT_TRUE(tracker_->isDirect(UINT64_MAX));
}

TEST_F(ReachabilityTrackerTest, AFailureDomainThatIsDownIsNoCut)
{
    for (const char *instance : {"server-0", "server-3"}) {
        links_[instance]->hang();
        tracker_->noteConnectFailed(instance);
    }
    tracker_->noteSilent();
    pass(milliseconds(1000));
    EXPECT_TRUE(changes_.empty());
}

// Guards against a VM that keeps connections to servers, but can open no new ones, and does not find out.
TEST_F(ReachabilityTrackerTest, ConnectionsThatAreStillOpenDoNotRefuteThatNewOnesFail)
{
    refuseAll();
    tracker_->noteActivity();
    tracker_->noteConnectFailed("server-0");
    tracker_->noteConnectFailed("server-1");
    tracker_->noteActivity();
    pass(milliseconds(100));
    EXPECT_EQ(tracker_->state(), State::Unreachable);
}

TEST_F(ReachabilityTrackerTest, AServerThatIsSilentForASecondIsNoCut)
{
    pass(milliseconds(500));
    tracker_->noteSilent();
    tracker_->noteSilent();
    pass(milliseconds(1000));
    EXPECT_TRUE(changes_.empty());
    EXPECT_EQ(tracker_->state(), State::Reachable);
}

// Guards against a VM that takes itself for cut off as the servers that suit its requests have ended one after the other, while others live.
TEST_F(ReachabilityTrackerTest, ServersThatEndSoonAfterADoubtWasRefutedAreNoCut)
{
    tracker_->noteSilent();
    pass(milliseconds(200));
    ASSERT_EQ(tracker_->state(), State::Reachable);
    for (const char *instance : {"server-0", "server-1", "server-2", "server-3"}) {
        links_[instance]->reset();
        tracker_->noteConnectFailed(instance);
    }
    pass(milliseconds(1000));
    EXPECT_TRUE(changes_.empty());
}

// Guards against a cut that is found out only when the pause between probes is over.
TEST_F(ReachabilityTrackerTest, ACutSoonAfterADoubtWasRefutedIsKnownAtOnce)
{
    tracker_->noteSilent();
    pass(milliseconds(200));
    ASSERT_EQ(tracker_->state(), State::Reachable);
    refuseAll();
    for (const char *instance : {"server-0", "server-1", "server-2"}) {
        tracker_->noteConnectFailed(instance);
    }
    pass(milliseconds(100));
    EXPECT_EQ(tracker_->state(), State::Unreachable);
}

TEST_F(ReachabilityTrackerTest, AProbeFindsTheEndOfTheCutAndRequestsReturnByDegrees)
{
    clock_.pause();
    refuseAll();
    tracker_->noteConnectFailed("server-0");
    ASSERT_TRUE(runUntil([&] { return tracker_->state() == State::Unreachable; }));
    pass(milliseconds(2000));
    EXPECT_EQ(tracker_->state(), State::Unreachable);
    for (const auto &[instance, link] : links_) {
        link->open();
    }
    pass(milliseconds(500));
    EXPECT_EQ(tracker_->state(), State::Recovering);
    EXPECT_EQ(changes_, (std::vector<bool>{true, false}));
    EXPECT_TRUE(tracker_->isDirect(0));
    EXPECT_FALSE(tracker_->isDirect(UINT64_MAX));
    pass(RecoveryTime);
    EXPECT_EQ(tracker_->state(), State::Reachable);
    EXPECT_TRUE(tracker_->isDirect(UINT64_MAX));
    EXPECT_NE(logLines_.find("\"event\":\"servers_reachable\""), std::string::npos);
}

// Guards against requests that return to all servers as soon as one of them is reached.
TEST_F(ReachabilityTrackerTest, OneServerThatIsReachedAloneDoesNotEndTheCut)
{
    clock_.pause();
    refuseAll();
    tracker_->noteConnectFailed("server-0");
    ASSERT_TRUE(runUntil([&] { return tracker_->state() == State::Unreachable; }));
    links_["server-1"]->open();
    pass(milliseconds(3000));
    EXPECT_GT(links_["server-1"]->accepted(), 0);
    EXPECT_EQ(tracker_->state(), State::Unreachable);
}

TEST_F(ReachabilityTrackerTest, ACutThatComesBackSoonIsKnownSooner)
{
    clock_.pause();
    refuseAll();
    tracker_->noteConnectFailed("server-0");
    ASSERT_TRUE(runUntil([&] { return tracker_->state() == State::Unreachable; }));
    for (const auto &[instance, link] : links_) {
        link->open();
    }
    pass(milliseconds(500));
    ASSERT_EQ(tracker_->state(), State::Recovering);
    refuseAll();
    tracker_->noteConnectFailed("server-0");
    tracker_->noteConnectFailed("server-1");
    EXPECT_TRUE(runUntil([&] { return tracker_->state() == State::Unreachable; }));
}

} // namespace

} // namespace cardamomlift::reachability
