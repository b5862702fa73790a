#include "forwarding/tests/fakeversiongate.h"
#include "forwarding/tests/forwardertest.h"

#include <algorithm>
#include <set>

namespace cardamomlift::forwarding {

namespace {

using std::chrono::seconds;

/// With the clock paused, a backoff ends only when the test advances it.
class ForwarderBackoffTest : public ForwarderTest
{
protected:
    ForwarderBackoffTest()
    {
        clock_.pause();
    }

    static http1::ResponseHead backoffHead(const std::string &retryAfter)
    {
        http1::ResponseHead head = notRunHead();
        head.fields.add("Retry-After", retryAfter);
        return head;
    }

    void advance(Duration time)
    {
        clock_.advance(time);
        manifests_->confirm(loop_->now());
        loop_->runDue();
    }

    void serve(const std::string &path = "/once/1")
    {
        const auto client = call(request(path));
        nextRequest()->answer(signedHead(), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    }

    /// The seconds of a refusal's Retry-After.
    double refusedFor(const std::string &path = "/once/1")
    {
        const auto client = call(request(path));
        EXPECT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
        const std::size_t place = client->received().find("Retry-After: ");
        return place == std::string::npos ? -1 : std::stod(client->received().substr(place + std::string("Retry-After: ").size()));
    }
};

TEST_F(ForwarderBackoffTest, ARequestThatIsTurnedAwayGoesElsewhereAndItsServerIsLeftAlone)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(backoffHead("3"), "");
    const std::string refusing = backends_["one"].arrivals > 0 ? "one" : "two";
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    for (int i = 0; i < 20; i++) {
        serve();
    }
    EXPECT_EQ(backends_[refusing].arrivals, 1);
    EXPECT_NE(logLines_.find(R"("event":"server_backoff")"), std::string::npos);
    EXPECT_NE(logLines_.find(R"("backing_off":1)"), std::string::npos) << "the log line of a send counts the skipped servers";
}

// Guards against a request that is written to a server that asked for a backoff while the connection was being established.
TEST_F(ForwarderBackoffTest, ARequestThatWaitsForItsConnectionIsNotWrittenToAServerThatBacksOff)
{
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_dispatched") != std::string::npos; }));
    const std::string chosen = logLines_.find(R"("server":"one")") != std::string::npos ? "one" : "two";
    backoffs_->begin(chosen, seconds(3));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    EXPECT_EQ(backends_[chosen].arrivals, 0);
    EXPECT_FALSE(tools_.outliers->isOutlier(directory_->find(chosen)->hash, "service"));
}

TEST_F(ForwarderBackoffTest, ARequestThatWaitsForItsConnectionIsNotWrittenToAServerThatLeaves)
{
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_dispatched") != std::string::npos; }));
    const std::string chosen = logLines_.find(R"("server":"one")") != std::string::npos ? "one" : "two";
    directory_->markLeaving(chosen);
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    EXPECT_EQ(backends_[chosen].arrivals, 0);
}

TEST_F(ForwarderBackoffTest, WhenAllServersBackOffARequestIsRefusedAtOnceUntilTheFirstEnd)
{
    backoffs_->begin("one", seconds(4));
    backoffs_->begin("two", seconds(2));
    advance(milliseconds(500));
    const double wait = refusedFor();
    EXPECT_GE(wait, 1.5);
    EXPECT_LE(wait, 1.5 + 1) << "callers return spread over at most a second";
    EXPECT_EQ(arrivals(), 0);
    EXPECT_NE(logLines_.find(R"("reason":"servers_backing_off")"), std::string::npos);
    EXPECT_EQ(allowances_->taken, 0) << "the customer's allowance is refunded";
}

// Guards against a retry that is spent, and a time that is too short, when the last server turns a request away.
TEST_F(ForwarderBackoffTest, TheLastServerToTurnARequestAwayTellsWhenToReturn)
{
    backoffs_->begin("two", seconds(4));
    const auto client = call(request("/once/1"));
    nextRequest()->answer(backoffHead("2.5"), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
    EXPECT_NE(logLines_.find(R"("reason":"servers_backing_off")"), std::string::npos);
    EXPECT_EQ(arrivals(), 1);
}

TEST_F(ForwarderBackoffTest, AServerThatIsOnlyFullMayBeAskedAgainSoon)
{
    backoffs_->begin("two", seconds(4));
    const auto client = call(request("/once/1"));
    nextRequest()->answer(notRunHead(), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
    EXPECT_NE(client->received().find("Retry-After: 0.500"), std::string::npos) << client->received();
}

TEST_F(ForwarderBackoffTest, CallersAreToldDifferentTimes)
{
    backoffs_->begin("one", seconds(2));
    backoffs_->begin("two", seconds(2));
    std::set<std::string> answers;
    for (int i = 0; i < 8; i++) {
        std::string bytes = request("/once/1");
        bytes.replace(bytes.find("id1"), 3, "id" + std::to_string(i));
        const auto client = call(bytes);
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
        answers.insert(client->received());
    }
    EXPECT_GT(answers.size(), 1U);
}

TEST_F(ForwarderBackoffTest, AfterABackoffAServerGetsOneRequestFirst)
{
    backoffs_->begin("one", seconds(1));
    advance(seconds(1));
    std::vector<std::unique_ptr<http1::RawClient>> clients;
    clients.reserve(6);
    for (int i = 0; i < 6; i++) {
        clients.push_back(call(request("/once/1")));
    }
    ASSERT_TRUE(runUntil([&] { return arrivals() == 6; }));
    EXPECT_EQ(backends_["one"].arrivals, 1);
    EXPECT_EQ(backends_["two"].arrivals, 5);
}

// Guards against callers that are refused although servers that recover would accept them.
TEST_F(ForwarderBackoffTest, ServersThatRecoverAreUsedWhenThereIsNoOther)
{
    backoffs_->begin("one", seconds(1));
    backoffs_->begin("two", seconds(1));
    advance(seconds(1));
    std::vector<std::unique_ptr<http1::RawClient>> clients;
    clients.reserve(6);
    for (int i = 0; i < 6; i++) {
        clients.push_back(call(request("/once/1")));
    }
    EXPECT_TRUE(runUntil([&] { return arrivals() == 6; }));
}

TEST_F(ForwarderBackoffTest, ARequestThatFailedIsNotRetriedAtAServerThatBacksOff)
{
    backoffs_->begin("two", seconds(3));
    const auto client = call(request("/safe/1"));
    nextRequest()->abort();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
    EXPECT_EQ(backends_["two"].arrivals, 0);
}

TEST_F(ForwarderBackoffTest, ABrokenStreamIsNotResumedAtAServerThatBacksOff)
{
    backoffs_->begin("two", seconds(3));
    breakStartedStream();
    EXPECT_EQ(backends_["two"].arrivals, 0);
}

TEST_F(ForwarderBackoffTest, ARunIsNotMovedToAServerThatBacksOff)
{
    backoffs_->begin("two", seconds(3));
    const auto client = call(request("/stream/1"));
    const auto exchange = nextRequest();
    exchange->begin(signedHead());
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    reclaim("one");
    advance(milliseconds(50));
    EXPECT_EQ(arrivals(), 1);
    EXPECT_EQ(logLines_.find("stream_moved"), std::string::npos);
}

// Guards against more requests to a server that backs off than its backoff leaves room for, from runs that were on their way there.
TEST_F(ForwarderBackoffTest, MovedRunsContinueAtTheirTargetOnlyWithinTheExceptionsOfABackoff)
{
    backoffs_->begin("two", milliseconds(1));
    std::vector<std::unique_ptr<http1::RawClient>> clients;
    std::vector<http1::ExchangePtr> runs;
    for (int i = 0; i <= backoff::ExceptionsPerBackoff; i++) {
        clients.push_back(call(request("/stream/1")));
        runs.push_back(nextRequest());
        ASSERT_EQ(runs.back()->head().fields.get("X-Expect-Instance"), "one");
        runs.back()->begin(signedHead());
        runs.back()->send("id: 1\ndata: a\n\n");
        ASSERT_TRUE(runUntil([&] { return clients.back()->received().find("data: a") != std::string::npos; }));
    }
    advance(milliseconds(1));
    reclaim("one");
    std::vector<http1::ExchangePtr> moveCalls;
    for (const http1::ExchangePtr &run : runs) {
        moveCalls.push_back(nextRequest());
        ASSERT_EQ(moveCalls.back()->head().target, "/api/kv-move");
        run->abort();
    }
    backoffs_->begin("two", seconds(60));
    for (const http1::ExchangePtr &moveCall : moveCalls) {
        moveCall->answer(http1::ResponseHead{200, {}, 11, {}}, R"({"handle":"h7","created":1})");
    }
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_failed") != std::string::npos; }));
    EXPECT_TRUE(runUntil([&] { return backends_["two"].arrivals == backoff::ExceptionsPerBackoff; }));
}

// Guards against a server that refuses at once, so looks the least loaded, and gets the next request each time.
TEST_F(ForwarderBackoffTest, AServerThatTurnsRequestsAwayInSuccessionGetsNoneWhileOthersHaveRoom)
{
    tools_.settings.retrySlack = 100;
    restartForwarder();
    advance(ForwardingSettings().retryWindow);
    std::vector<std::unique_ptr<http1::RawClient>> waiting;
    waiting.reserve(20);
    for (int i = 0; i < 20; i++) {
        waiting.push_back(call(request("/once/1")));
        const auto exchange = nextRequest();
        if (exchange->head().fields.get("X-Expect-Instance") == "one") {
            exchange->answer(notRunHead(), "");
            ASSERT_TRUE(nextRequest());
        }
    }
    EXPECT_EQ(backends_["two"].arrivals, 20) << "its requests stay open";
    EXPECT_EQ(backends_["one"].arrivals, backoff::RefusalsToOverload);
    EXPECT_NE(logLines_.find(R"("deferred":1)"), std::string::npos) << "the log line of a send counts the servers that are a last resort";
}

TEST_F(ForwarderBackoffTest, AnOverloadedServerIsStillAskedWhenThereIsNoOther)
{
    directory_->markLeaving("two");
    for (int i = 0; i < 4; i++) {
        const auto client = call(request("/once/1"));
        nextRequest()->answer(notRunHead(), "");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
    }
    EXPECT_EQ(backends_["one"].arrivals, 4);
}

// A version whose servers back off must not be taken for a bad one, and the other version serves meanwhile.
TEST_F(ForwarderBackoffTest, ABackoffIsNoFailureOfItsServer)
{
    const auto versions = std::make_shared<FakeVersionGate>();
    tools_.versions = versions;
    restartForwarder();
    advance(ForwardingSettings().retryWindow);
    for (int i = 0; i < 5; i++) {
        const auto client = call(request("/once/1"));
        nextRequest()->answer(backoffHead("0.1"), "");
        nextRequest()->answer(signedHead(), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
        advance(seconds(20));
    }
    for (const auto &[instance, backend] : backends_) {
        EXPECT_FALSE(tools_.outliers->isOutlier(directory_->find(instance)->hash, "service")) << instance;
    }
    EXPECT_EQ(std::count(versions->outcomes.begin(), versions->outcomes.end(), " failed"), 0);
    EXPECT_EQ(versions->open, 0);
}

TEST_F(ForwarderBackoffTest, ABackoffEndsWithTheInstance)
{
    backoffs_->begin("one", seconds(60));
    backoffs_->begin("two", seconds(60));
    directory::BackendServer successor = directory_->find("one")->server;
    successor.startedAt = 2;
    successor.instance = directory::instanceId("one", 2);
    directory_->put(successor);
    serve();
    EXPECT_EQ(backends_["one"].arrivals, 1);
}

TEST_F(ForwarderBackoffTest, InvalidTimesKeepNobodyAway)
{
    tools_.settings.retrySlack = 100;
    restartForwarder();
    advance(ForwardingSettings().retryWindow);
    for (const char *invalid : {"soon", "-3", "0", "nan", "inf", "1e300", "12345678901234567890", ""}) {
        const auto client = call(request("/once/1"));
        nextRequest()->answer(backoffHead(invalid), "");
        nextRequest()->answer(signedHead(), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
        EXPECT_EQ(backoffs_->count(), 0U) << invalid;
        advance(seconds(1));
    }
}

} // namespace

} // namespace cardamomlift::forwarding
