#include "forwarding/tests/forwardertest.h"
#include "prefixindex/prefixrules.h"

namespace cardamomlift::forwarding {

namespace {

TEST_F(ForwarderTest, ForwardsTheRequestAndReplacesOnlyItsOwnHeaders)
{
    const auto client = call(
        "POST /safe/a%2F?b=%20 HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id1\r\nX-Credential: key\r\nX-Tenant: forged\r\nX-Hold: h\r\nX-Pin-Ms: 5\r\n"
        "X-Request-Priority: 0\r\nX-Expect-Instance: other\r\nKv-From: 1.2.3.4:5/6\r\nX-Kv-Backup: 1.2.3.4:5\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Model: m\r\n"
        "X-Deadline-Ms: 9000\r\nContent-Length: 4\r\n\r\nbody");
    const auto forwarded = nextRequest();
    EXPECT_EQ(forwarded->head().target, "/safe/a%2F?b=%20");
    EXPECT_EQ(forwarded->body(), "body");
    const http1::Fields &fields = forwarded->head().fields;
    EXPECT_EQ(fields.get("X-Tenant"), "customer");
    EXPECT_EQ(fields.count("X-Tenant"), 1U);
    EXPECT_EQ(fields.get("X-Model"), "m");
    EXPECT_EQ(fields.get("X-Attempt-Id"), "id1");
    EXPECT_TRUE(fields.get("X-Expect-Instance") == "one" || fields.get("X-Expect-Instance") == "two");
    for (const char *name : {"X-Credential", "X-Hold", "X-Pin-Ms", "X-Request-Priority", "Kv-From", "X-Kv-Backup", "X-Hop", "Connection"}) {
        EXPECT_FALSE(fields.has(name)) << name;
    }
    EXPECT_LE(std::stoi(std::string(fields.get("X-Deadline-Ms"))), 9000);
    forwarded->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    EXPECT_TRUE(client->received().ends_with("answer"));
    EXPECT_NE(client->received().find("X-Response-Signature: sig"), std::string::npos);
}

TEST_F(ForwarderTest, ARequestSentAfterASuspensionIsGivenOnlyTheTimeThatIsLeftThen)
{
    const auto client = call(request("/safe/1", "X-Deadline-Ms: 9000\r\n"));
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_dispatched") != std::string::npos; }));
    ASSERT_EQ(arrivals(), 0) << "the connection is not known to be established yet";
    clock_.advance(milliseconds(3000));
    EXPECT_LE(std::stoi(std::string(nextRequest()->head().fields.get("X-Deadline-Ms"))), 6000);
}

TEST_F(ForwarderTest, ARequestRefusedByAllServersGetsA503AndItsAllowanceBack)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(notRunHead(), "");
    nextRequest()->answer(notRunHead(), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(client->received().find("Retry-After"), std::string::npos);
    EXPECT_EQ(allowances_->taken, 0) << "the allowance of a request that did not run is refunded";
}

TEST_F(ForwarderTest, ANonIdempotentRequestIsNotRetriedAfterItMayHaveRun)
{
    const auto client = call(request("/once/1"));
    nextRequest()->abort();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); }));
    EXPECT_EQ(arrivals(), 1);
}

TEST_F(ForwarderTest, AnIdempotentRequestIsRetriedUpToItsMaxAttempts)
{
    const auto client = call(request("/safe/1"));
    nextRequest()->abort();
    nextRequest()->abort();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); }));
    EXPECT_EQ(arrivals(), 2);
    EXPECT_EQ(backends_["one"].arrivals, 1) << "the retry goes to the other server";
}

TEST_F(ForwarderTest, AServerErrorIsForwardedUnchanged)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(signedHead(500), "broken");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "500"); }));
    EXPECT_TRUE(client->received().ends_with("broken"));
    EXPECT_EQ(arrivals(), 1);
}

TEST_F(ForwarderTest, AnUnsignedSuccessIsTreatedAsAFailure)
{
    const auto client = call(request("/once/1"));
    http1::ResponseHead head;
    head.status = 200;
    nextRequest()->answer(std::move(head), "forged");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); }));
}

TEST_F(ForwarderTest, ABrokenStreamIsNotTerminatedAsComplete)
{
    const auto client = call(request("/stream/1"));
    const auto forwarded = nextRequest();
    forwarded->begin(signedHead());
    forwarded->send("id: 1\ndata: a\n\nid: 2\nda");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    forwarded->abort();
    ASSERT_TRUE(runUntil([&] { return client->hasEnded(); }));
    EXPECT_EQ(client->received().find("id: 2"), std::string::npos);
    EXPECT_EQ(client->received().find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(arrivals(), 1) << "the route is not resumable";
}

TEST_F(ForwarderTest, AResumableStreamContinuesAtAnotherServerAfterItsLastWholeEvent)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->send("id: 1\ndata: a\n\nid: 2\nda");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    first->abort();
    const auto second = nextRequest();
    EXPECT_EQ(second->head().fields.get("Last-Event-Id"), "1");
    http1::ResponseHead other = signedHead();
    other.fields.set("X-Response-Signature", "other");
    second->begin(other);
    second->send("id: 2\ndata: b\n\n");
    second->end();
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
    EXPECT_NE(client->received().find("Signature: sig"), std::string::npos) << "the caller sees the first server's head";
    EXPECT_EQ(client->received().find("other"), std::string::npos);
    EXPECT_EQ(eventsOf(*client), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n") << "no bytes of the incomplete event";
    EXPECT_EQ(arrivals(), 2);
}

TEST_F(ForwarderTest, ARunIsMovedWithItsKvCacheWhenItsServerIsReclaimed)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    const std::string source(first->head().fields.get("X-Expect-Instance"));
    const std::string target = source == "one" ? "two" : "one";
    first->begin(signedHead());
    first->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    reclaim(source);
    const auto moveCall = nextRequest();
    EXPECT_EQ(moveCall->head().target, "/api/kv-move");
    EXPECT_NE(moveCall->body().find("\"id\":\"id1\""), std::string::npos);
    EXPECT_NE(moveCall->body().find(std::to_string(backends_[target].server->port())), std::string::npos);
    // The source stops the run: it sends the remaining events first and then answers the call.
    first->send("id: 2\ndata: b\n\n");
    first->abort();
    http1::ResponseHead done;
    done.status = 200;
    moveCall->answer(std::move(done), R"({"handle":"h7","created":2})");
    const auto second = nextRequest();
    EXPECT_EQ(second->head().fields.get("X-Expect-Instance"), target);
    EXPECT_EQ(second->head().fields.get("Kv-From"), "127.0.0.1:" + std::to_string(backends_[source].server->port()) + "/h7");
    EXPECT_EQ(second->head().fields.get("Last-Event-Id"), "2");
    second->begin(signedHead());
    second->send("id: 3\ndata: c\n\n");
    second->end();
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
    EXPECT_NE(client->received().find("data: b"), std::string::npos);
    EXPECT_NE(client->received().find("data: c"), std::string::npos);
}

// Guards against sending a new head on a stream that has started: its caller would wait for the rest of the stream until its
// own time limit.
TEST_F(ForwarderTest, AMovedStreamThatNoServerAcceptsIsNotTerminatedAsComplete)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    first->abort();
    http1::ResponseHead done;
    done.status = 200;
    moveCall->answer(std::move(done), R"({"handle":"h7","created":1})");
    nextRequest()->answer(notRunHead(), {});
    ASSERT_TRUE(runUntil([&] { return client->hasEnded(); }));
    EXPECT_FALSE(client->received().ends_with("0\r\n\r\n"));
    EXPECT_NE(logLines_.find(R"("event":"request_failed")"), std::string::npos) << logLines_;
}

TEST_F(ForwarderTest, AMovedRunThatTheTargetRefusesIsNotReportedAsNotRun)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    first->abort();
    http1::ResponseHead done;
    done.status = 200;
    moveCall->answer(std::move(done), R"({"handle":"h7","created":0})");
    nextRequest()->answer(notRunHead(), {});
    EXPECT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
}

TEST_F(ForwarderTest, ACachedPromptGoesToItsServerAndIsFetchedFromItWhileItDrains)
{
    const std::string prompt = "X-Token-Usage: 9000,80\r\nX-Prompt-Prefix: aa:8000,bb:1000\r\nKv-Fetch: 10.9.9.9:1\r\n";
    std::vector<std::unique_ptr<http1::RawClient>> clients;
    std::string holder;
    for (int i = 0; i < 4; i++) {
        clients.push_back(call(request("/stream/1", prompt)));
        const auto exchange = nextRequest();
        const std::string server(exchange->head().fields.get("X-Expect-Instance"));
        EXPECT_NE(exchange->head().fields.get("Kv-Fetch"), "10.9.9.9:1") << "a caller must not choose the source of a copy";
        holder = holder.empty() ? server : holder;
        EXPECT_EQ(server, holder);
        exchange->answer(signedHead(), "id: 1\ndata: a\n\n");
        ASSERT_TRUE(runUntil([&] { return !clients.back()->received().empty(); }));
    }
    reclaim(holder);
    clients.push_back(call(request("/stream/1", prompt)));
    const auto moved = nextRequest();
    EXPECT_NE(moved->head().fields.get("X-Expect-Instance"), holder);
    EXPECT_EQ(moved->head().fields.get("Kv-Fetch"), "127.0.0.1:" + std::to_string(backends_[holder].server->port()));
    EXPECT_NE(logLines_.find("\"to_read\":1000"), std::string::npos) << "all but the last part is fetched";
}

TEST_F(ForwarderTest, ARunThatCanNotBeMovedContinuesAtItsServer)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    http1::ResponseHead none;
    none.status = 404;
    moveCall->answer(std::move(none), "{}");
    loop_->runDue();
    first->send("id: 2\ndata: b\n\n");
    first->end();
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
    EXPECT_NE(client->received().find("data: b"), std::string::npos);
}

TEST_F(ForwarderTest, AFailedMoveOfAStoppedRunDoesNotTerminateTheStreamAsComplete)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return client->received().find("data: a") != std::string::npos; }));
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    first->abort();
    http1::ResponseHead full;
    full.status = 503;
    moveCall->answer(std::move(full), "{}");
    ASSERT_TRUE(runUntil([&] { return client->hasEnded(); }));
    EXPECT_EQ(client->received().find("0\r\n\r\n"), std::string::npos);
    EXPECT_EQ(arrivals(), 2) << "the request and the move";
}

TEST_F(ForwarderTest, AStreamThatFailsBeforeItsFirstEventIsRetriedIfResumable)
{
    const auto client = call(request("/resumed/1"));
    nextRequest()->answer(signedHead(500), "broken");
    const auto second = nextRequest();
    second->answer(signedHead(), "id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    const auto once = call(request("/stream/1"));
    nextRequest()->answer(signedHead(500), "broken");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*once, "500"); }));
    EXPECT_EQ(arrivals(), 3);
}

TEST_F(ForwarderTest, ADisconnectedCallerCancelsItsRequestAtOnce)
{
    // With the clock paused, the route's time limit can't end the request instead.
    clock_.pause();
    const auto client = call(request("/stream/1"));
    const auto forwarded = nextRequest();
    bool cancelled = false;
    forwarded->onDisconnected([&] { cancelled = true; });
    client->close();
    ASSERT_TRUE(runUntil([&] { return cancelled; }));
    EXPECT_EQ(forwarder_->openRequests(), 0U);
}

TEST_F(ForwarderTest, TheRoutesTimeLimitEndsARequestWithA504)
{
    const auto client = call(request("/short/1"));
    nextRequest();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "504"); }));
    EXPECT_EQ(arrivals(), 1);
}

TEST_F(ForwarderTest, WithoutServersTheCallerGetsA503WithRetryAfterAtOnce)
{
    directory_->remove("one", loop_->now());
    directory_->remove("two", loop_->now());
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(client->received().find("Retry-After"), std::string::npos);
}

TEST_F(ForwarderTest, AnUnreachableServerIsSkipped)
{
    backends_["one"].server.reset();
    const auto client = call(request("/once/1"));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    const auto second = call(request("/once/2"));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*second, "200"); }));
}

TEST_F(ForwarderTest, UnknownKeysAndRoutesAreDeniedWithAFreshManifest)
{
    const auto unknownKey = call("GET /safe/1 HTTP/1.1\r\nHost: a\r\nX-Credential: other\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*unknownKey, "401"); }));
    const auto unknownRoute = call("GET /none/1 HTTP/1.1\r\nHost: a\r\nX-Credential: key\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*unknownRoute, "404"); }));
    EXPECT_EQ(arrivals(), 0);
}

TEST_F(ForwarderTest, ARequestOverTheAllowanceGetsA429WithRetryAfter)
{
    allowances_->decision = {false, milliseconds(750)};
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "429"); }));
    EXPECT_NE(client->received().find("Retry-After: 0.750"), std::string::npos);
    EXPECT_EQ(arrivals(), 0);
}

TEST_F(ForwarderTest, ADrainingVmAcceptsRequestsAtFirst)
{
    forwarder_->beginDrain(loop_->now() + std::chrono::seconds(8));
    const auto taken = call(request("/stream/1"));
    nextRequest()->answer(signedHead(), "id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*taken, "200"); })) << "callers take a while to notice the drain";
}

TEST_F(ForwarderTest, RequestsMayOutliveTheForwarder)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("answer"); }));
    const auto open = call(request("/once/2"));
    nextRequest();
    // The order of destruction at the end of a daemon: services first, then the event loop with the requests it still holds.
    gateway_.reset();
    forwarder_.reset();
    pool_.reset();
    backends_.clear();
    loop_.reset();
}

TEST_F(ForwarderTest, EachDecisionIsLoggedWithItsInputsAndWithoutTheKey)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(signedHead(500), "broken");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "500"); }));
    EXPECT_NE(logLines_.find("\"request\":\"id1\""), std::string::npos);
    EXPECT_NE(logLines_.find("\"version\":1"), std::string::npos);
    EXPECT_EQ(logLines_.find("\"key\""), std::string::npos);
}

TEST(KeyFreshness, AManifestOlderThanMaxKeyAgeIsNotFresh)
{
    const auto manifests = manifest::ManifestCache::create();
    ManualClock clock;
    manifest::Manifest manifest;
    manifest.version = 1;
    manifests->update(std::move(manifest));
    manifests->confirm(clock.now());
    const ForwardingSettings settings;
    clock.advance(settings.maxKeyAge);
    EXPECT_TRUE(manifests->isFresh(clock.now(), settings.maxKeyAge));
    clock.advance(milliseconds(1));
    EXPECT_FALSE(manifests->isFresh(clock.now(), settings.maxKeyAge));
}

// Guards against an ended server that each request asks first, as it has the prompt in its cache and no load.
TEST_F(ForwarderTest, AServerThatRefusedAConnectionIsALastResortForASecond)
{
    addBackend("ended");
    backends_["ended"].server.reset();
    const auto countFailures = [this] {
        int count = 0;
        for (auto at = logLines_.find("not_connected"); at != std::string::npos; at = logLines_.find("not_connected", at + 1)) {
            count++;
        }
        return count;
    };
    const auto serveCachedAtEndedOnly = [&](const std::string &part) {
        tools_.prefixes->noteSent(prefixindex::prefixesOf(std::vector<PromptPart>{{part, 80000}, {"own", 250}}), "ended");
        const auto client = call(request("/once/1", "X-Prompt-Prefix: " + part + ":80000,own:250\r\nX-Token-Usage: 80250,10\r\n"));
        nextRequest()->answer(signedHead(), "answer");
        EXPECT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    };
    serveCachedAtEndedOnly("a1");
    EXPECT_EQ(countFailures(), 1);
    serveCachedAtEndedOnly("a2");
    EXPECT_EQ(countFailures(), 1);
    EXPECT_TRUE(pool_->hasFailedToConnect("ended"));
    clock_.advance(milliseconds(1100));
    EXPECT_FALSE(pool_->hasFailedToConnect("ended"));
}

} // namespace

} // namespace cardamomlift::forwarding
