#include "forwarding/tests/forwardertest.h"

namespace cardamomlift::forwarding {

namespace {

/// A pause below the goal of all routes, but near it.
constexpr Duration LatePause = milliseconds(800);
constexpr Duration CheckPeriod = milliseconds(250);

/// A stream at one of two servers, the slow one; the other is five times as fast.
class LateRuns : public ForwarderTest
{
protected:
    LateRuns()
    {
        tools_.paceOf = [this](std::uint64_t server, const std::string &) {
            return server == presence::nameHash(source_) ? paceAtSource_ : paceAtTarget_;
        };
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        forwarder_->tick();
        manifests_->confirm(loop_->now());
    }

    void startStream(const std::string &path)
    {
        client_ = call(request(path));
        run_ = nextRequest();
        source_ = run_->head().fields.get("X-Expect-Instance");
        target_ = source_ == "one" ? "two" : "one";
        run_->onDisconnected([this] { isRunClosed_ = true; });
        run_->begin(signedHead());
        for (int i = 1; i <= Events; i++) {
            sendEvent(run_, i);
            clock_.advance(LatePause);
        }
    }

    void sendEvent(const http1::ExchangePtr &exchange, int number)
    {
        const std::string data = "data: event-" + std::to_string(number) + "-";
        exchange->send("id: " + std::to_string(number) + "\n" + data + "\n\n");
        EXPECT_TRUE(runUntil([&] { return client_->received().find(data) != std::string::npos; }));
    }

    void check(int times = 3)
    {
        for (int i = 0; i < times; i++) {
            forwarder_->checkStragglers();
            loop_->runDue();
            clock_.advance(CheckPeriod);
        }
    }

    /// Servers that know nothing of the run.
    void addOthers()
    {
        for (const char *name : {"three", "four", "five", "six"}) {
            addBackend(name);
        }
    }

    static http1::ResponseHead headOf(int status)
    {
        http1::ResponseHead head;
        head.status = status;
        return head;
    }

    /// Runs the loop for long enough to deliver what has been sent.
    void settle()
    {
        int rounds = 0;
        EXPECT_TRUE(runUntil([&] { return ++rounds > 30; }));
    }

    /// The call for the first copy, while which the run goes on, has been answered; the second one is returned.
    http1::ExchangePtr copyOnce()
    {
        const auto first = nextRequest();
        EXPECT_EQ(first->head().target, "/api/kv-move");
        EXPECT_NE(first->body().find("\"last\":false"), std::string::npos) << first->body();
        EXPECT_NE(first->body().find(std::to_string(backends_[target_].server->port())), std::string::npos);
        first->answer(headOf(200), R"({"handle":"h7","created":5})");
        const auto second = nextRequest();
        EXPECT_NE(second->body().find("\"last\":true"), std::string::npos) << second->body();
        return second;
    }

    /// The source has stopped the run, and the second copy is complete.
    http1::ExchangePtr moveToTarget()
    {
        const auto second = copyOnce();
        run_->abort();
        second->answer(headOf(200), R"({"handle":"h7","created":5})");
        return nextRequest();
    }

    std::string kvSource() const
    {
        return "127.0.0.1:" + std::to_string(backends_.at(source_).server->port()) + "/h7";
    }

    /// The run goes on in @p exchange after the last event, to its end.
    void finishAt(const http1::ExchangePtr &exchange)
    {
        EXPECT_EQ(exchange->head().fields.get("Last-Event-Id"), std::to_string(Events));
        exchange->begin(signedHead());
        sendEvent(exchange, Events + 1);
        exchange->end();
        EXPECT_TRUE(runUntil([&] { return isWhole(); }));
        std::string expected;
        for (int i = 1; i <= Events + 1; i++) {
            expected += "id: " + std::to_string(i) + "\ndata: event-" + std::to_string(i) + "-\n\n";
        }
        EXPECT_EQ(eventsOf(*client_), expected) << "nothing lost, nothing twice";
    }

    bool isWhole() const
    {
        return client_->received().ends_with("0\r\n\r\n");
    }

    std::int64_t outcomes(const std::string &outcome) const
    {
        return static_cast<std::int64_t>(tools_.metrics->counter("runs_behind_total{outcome=\"" + outcome + "\"}"));
    }

    static constexpr int Events = 6;
    double paceAtSource_ = 5;
    double paceAtTarget_ = 1;
    std::string source_;
    std::string target_;
    std::unique_ptr<http1::RawClient> client_;
    http1::ExchangePtr run_;
    bool isRunClosed_ = false;
};

// A server is slowed five times under a running stream.
TEST_F(LateRuns, ALateRunGoesOnAtAFasterServerAfterItsLastEvent)
{
    startStream("/stream/1");
    check();
    const auto second = moveToTarget();
    EXPECT_EQ(second->head().fields.get("X-Expect-Instance"), target_);
    EXPECT_EQ(second->head().fields.get("Kv-From"), kvSource());
    finishAt(second);
    EXPECT_EQ(outcomes("move"), 1);
    EXPECT_NE(logLines_.find(R"("event":"run_behind")"), std::string::npos);
    EXPECT_NE(logLines_.find(R"("pace_percent":500)"), std::string::npos);
}

// All servers of the service are slow.
TEST_F(LateRuns, ARunStaysWhereNoServerIsFaster)
{
    paceAtTarget_ = 5;
    startStream("/stream/1");
    check(8);
    settle();
    EXPECT_EQ(arrivals(), 1);
    EXPECT_GT(outcomes("no_better_server"), 0);
    sendEvent(run_, Events + 1);
    run_->end();
    EXPECT_TRUE(runUntil([&] { return isWhole(); }));
}

// This VM itself has been suspended: events wait unread.
TEST_F(LateRuns, ARunIsNotLateBecauseItsVmWas)
{
    startStream("/stream/1");
    for (int i = 0; i < 4; i++) {
        forwarder_->checkStragglers();
        clock_.advance(milliseconds(500));
    }
    settle();
    EXPECT_EQ(arrivals(), 1);
}

// The target has no room: the first copy fails, while which the run goes on.
TEST_F(LateRuns, ARunThatCanNotBeCopiedGoesOnAndIsNotTriedAgain)
{
    startStream("/stream/1");
    check();
    nextRequest()->answer(headOf(503), "{}");
    settle();
    check(8);
    settle();
    EXPECT_EQ(arrivals(), 2) << "the request and the call";
    EXPECT_FALSE(isRunClosed_);
    sendEvent(run_, Events + 1);
    run_->end();
    EXPECT_TRUE(runUntil([&] { return isWhole(); }));
}

// The source is reclaimed during the first copy, which then fails.
TEST_F(LateRuns, ALateRunLeavesItsReclaimedServerThoughTheFirstCopyFailed)
{
    startStream("/stream/1");
    check();
    const auto copy = nextRequest();
    reclaim(source_);
    settle();
    EXPECT_EQ(arrivals(), 2);
    copy->answer(headOf(503), "{}");
    const auto move = nextRequest();
    EXPECT_NE(move->body().find("\"last\":true"), std::string::npos) << move->body();
    run_->abort();
    move->answer(headOf(200), R"({"handle":"h7","created":5})");
    finishAt(nextRequest());
}

TEST_F(LateRuns, ARunThatEndsDuringTheFirstCopyIsWhole)
{
    startStream("/stream/1");
    check();
    const auto copy = nextRequest();
    sendEvent(run_, Events + 1);
    run_->end();
    EXPECT_TRUE(runUntil([&] { return isWhole(); }));
    copy->answer(headOf(200), R"({"handle":"h7","created":7})");
    settle();
    EXPECT_EQ(arrivals(), 2);
}

TEST_F(LateRuns, ARunThatEndsBeforeItIsStoppedIsWhole)
{
    startStream("/stream/1");
    check();
    const auto second = copyOnce();
    sendEvent(run_, Events + 1);
    second->answer(headOf(404), "{}");
    settle();
    run_->end();
    EXPECT_TRUE(runUntil([&] { return isWhole(); }));
    EXPECT_EQ(nextRequest()->head().method, "DELETE");
    EXPECT_EQ(arrivals(), 4);
}

// The source is killed during the first copy: nothing may be sent to a target that has no copy.
TEST_F(LateRuns, ARunWhoseSourceEndsDuringTheFirstCopyFails)
{
    startStream("/stream/1");
    check();
    const auto copy = nextRequest();
    run_->abort();
    copy->abort();
    ASSERT_TRUE(runUntil([&] { return client_->hasEnded(); }));
    EXPECT_FALSE(isWhole());
    settle();
    EXPECT_EQ(arrivals(), 2);
}

// The source is killed between the two copies.
TEST_F(LateRuns, ARunWhoseSourceEndsAfterTheFirstCopyGoesOnFromIt)
{
    startStream("/stream/1");
    check();
    const auto second = copyOnce();
    run_->abort();
    second->abort();
    const auto atTarget = nextRequest();
    EXPECT_EQ(atTarget->head().fields.get("X-Expect-Instance"), target_);
    EXPECT_EQ(atTarget->head().fields.get("Kv-From"), kvSource());
    finishAt(atTarget);
}

// The source answers 503 once it has stopped the run: the target is out of its reach.
TEST_F(LateRuns, ARunThatIsStoppedButNotCopiedGoesOnAtItsSource)
{
    startStream("/stream/1");
    check();
    const auto second = copyOnce();
    run_->abort();
    second->answer(headOf(503), R"({"handle":"h7"})");
    const auto back = nextRequest();
    EXPECT_EQ(back->head().fields.get("X-Expect-Instance"), source_);
    EXPECT_EQ(back->head().fields.get("Kv-From"), kvSource());
    finishAt(back);
}

TEST_F(LateRuns, ARunThatItsTargetRefusesGoesOnAtItsSource)
{
    startStream("/stream/1");
    check();
    addOthers();
    moveToTarget()->answer(notRunHead(), {});
    const auto back = nextRequest();
    EXPECT_EQ(back->head().fields.get("X-Expect-Instance"), source_);
    EXPECT_EQ(back->head().fields.get("Kv-From"), kvSource());
    finishAt(back);
}

// The target is killed while the run is on its way to it.
TEST_F(LateRuns, ARunWhoseTargetEndsGoesOnAtItsSource)
{
    startStream("/stream/1");
    check();
    addOthers();
    const auto second = copyOnce();
    backends_[target_].server.reset();
    run_->abort();
    second->answer(headOf(200), R"({"handle":"h7","created":5})");
    const auto back = nextRequest();
    EXPECT_EQ(back->head().fields.get("X-Expect-Instance"), source_);
    finishAt(back);
}

// The target is killed while it runs it: the run may not be repeated.
TEST_F(LateRuns, AMovedRunThatItsTargetBreaksOffFails)
{
    startStream("/stream/1");
    check();
    const auto second = moveToTarget();
    second->begin(signedHead());
    sendEvent(second, Events + 1);
    second->abort();
    ASSERT_TRUE(runUntil([&] { return client_->hasEnded(); }));
    EXPECT_FALSE(isWhole());
    settle();
    EXPECT_EQ(arrivals(), 4) << "the request, two calls, the moved run";
}

TEST_F(LateRuns, NothingIsSentForACallerThatHasLeft)
{
    startStream("/stream/1");
    check();
    const auto second = copyOnce();
    client_.reset();
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_gone") != std::string::npos; }));
    const auto release = nextRequest();
    EXPECT_EQ(release->head().method, "DELETE") << "the copy takes a slot at the target";
    EXPECT_EQ(release->head().target, "/api/kv-handle/h7");
    run_->abort();
    second->answer(headOf(200), R"({"handle":"h7","created":5})");
    settle();
    EXPECT_EQ(arrivals(), 4);
    EXPECT_EQ(forwarder_->openRequests(), 0U);
}

// Servers are slowed in turns.
TEST_F(LateRuns, ARunIsMovedOnceAndNeverBack)
{
    startStream("/stream/1");
    check();
    const auto second = moveToTarget();
    std::swap(paceAtSource_, paceAtTarget_);
    second->begin(signedHead());
    for (int i = 1; i <= Events; i++) {
        sendEvent(second, Events + i);
        clock_.advance(LatePause);
    }
    check(8);
    settle();
    EXPECT_EQ(arrivals(), 4);
}

// A server is slowed five times under a stream that may be resumed.
TEST_F(LateRuns, ALateStreamIsResumedAtAFasterServer)
{
    startStream("/resumed/1");
    check();
    const auto second = nextRequest();
    EXPECT_EQ(second->head().fields.get("X-Expect-Instance"), target_);
    EXPECT_EQ(second->head().fields.get("Kv-From"), "");
    EXPECT_TRUE(runUntil([&] { return isRunClosed_; })) << "it must not go on at both";
    finishAt(second);
    EXPECT_EQ(outcomes("resume"), 1);
}

TEST_F(LateRuns, ALateStreamIsResumedWhereItWasIfTheTargetIsGone)
{
    startStream("/resumed/1");
    backends_[target_].server.reset();
    check();
    const auto second = nextRequest();
    EXPECT_EQ(second->head().fields.get("X-Expect-Instance"), source_);
    finishAt(second);
}

TEST_F(LateRuns, ALateStreamIsNotResumedOnItsLastAttempt)
{
    startStream("/resumed/1");
    check();
    const auto second = nextRequest();
    std::swap(paceAtSource_, paceAtTarget_);
    second->begin(signedHead());
    for (int i = 1; i <= Events; i++) {
        sendEvent(second, Events + i);
        clock_.advance(LatePause);
    }
    check(8);
    settle();
    EXPECT_EQ(arrivals(), 2);
}

} // namespace

} // namespace cardamomlift::forwarding
