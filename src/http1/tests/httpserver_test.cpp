#include "http1/httpserver.h"
#include "http1/tests/looptest.h"

namespace cardamomlift::http1 {

namespace {

/// A server that collects its requests, which the test then answers.
class HttpServerTest : public LoopTest
{
protected:
    HttpServerTest()
    {
        ServerHandlers handlers;
        handlers.onRequest = [this](ExchangePtr exchange) {
            exchanges_.push_back(std::move(exchange));
        };
        handlers.onRejected = [this](int status) {
            rejected_.push_back(status);
        };
        server_ = HttpServer::listen(*loop_, {"127.0.0.1", 0}, limits_, std::move(handlers)).value();
    }

    bool hasRequests(std::size_t count)
    {
        return exchanges_.size() >= count;
    }

    static ResponseHead ok()
    {
        ResponseHead head;
        head.status = 200;
        return head;
    }

    ServerLimits limits_;
    std::shared_ptr<HttpServer> server_;
    std::vector<ExchangePtr> exchanges_;
    std::vector<int> rejected_;
};

TEST_F(HttpServerTest, AnswersRequestsOfOneConnectionInTheirOrder)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    EXPECT_EQ(exchanges_[0]->head().target, "/1");
    loop_->runDue();
    EXPECT_EQ(exchanges_.size(), 1U) << "the second request waits until the first is answered";
    exchanges_[0]->answer(ok(), "one");
    ASSERT_TRUE(runUntil([&] { return hasRequests(2); }));
    EXPECT_EQ(exchanges_[1]->head().target, "/2");
    exchanges_[1]->answer(ok(), "two");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("two"); }));
    EXPECT_NE(client.received().find("one"), std::string::npos);
}

// Guards against chunks that are sent to a client that does not know them, and against a body without a length whose end can't be told from its
// being cut off.
TEST_F(HttpServerTest, ABodyForAnHttp10ClientEndsWithItsConnectionOrAReset)
{
    for (const bool isWhole : {true, false}) {
        exchanges_.clear();
        RawClient client(server_->port());
        client.send("GET /1 HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
        ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
        exchanges_[0]->begin(ok());
        exchanges_[0]->send("one");
        exchanges_[0]->send("two");
        ASSERT_TRUE(runUntil([&] { return client.received().find("two") != std::string::npos; }));
        EXPECT_TRUE(client.received().ends_with("\r\n\r\nonetwo")) << client.received();
        if (isWhole) {
            exchanges_[0]->end();
        } else {
            exchanges_[0]->abort();
        }
        ASSERT_TRUE(runUntil([&] { return client.hasEnded(); }));
        EXPECT_EQ(client.wasReset(), !isWhole);
    }
}

// Guards against a body without a length that looks whole when its server's connections go.
TEST_F(HttpServerTest, ABodyThatEndsWithItsConnectionIsResetWithTheServer)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.0\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    exchanges_[0]->begin(ok());
    exchanges_[0]->send("one");
    ASSERT_TRUE(runUntil([&] { return client.received().find("one") != std::string::npos; }));
    exchanges_.clear();
    server_.reset();
    ASSERT_TRUE(runUntil([&] { return client.hasEnded(); }));
    EXPECT_TRUE(client.wasReset());
}

TEST_F(HttpServerTest, ABodyThatLooksLikeARequestIsABody)
{
    const std::string hidden = "GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n";
    RawClient client(server_->port());
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(hidden.size()) + "\r\n\r\n" + hidden);
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    EXPECT_EQ(exchanges_[0]->body(), hidden);
    exchanges_[0]->answer(ok(), "");
    ASSERT_TRUE(runUntil([&] { return client.received().ends_with("\r\n\r\n"); }));
    EXPECT_EQ(exchanges_.size(), 1U);
}

TEST_F(HttpServerTest, ARequestWithAmbiguousLengthClosesTheConnection)
{
    RawClient client(server_->port());
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.hasEnded(); }));
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_EQ(rejected_, std::vector<int>{400});
    EXPECT_TRUE(client.received().starts_with("HTTP/1.1 400"));
}

TEST_F(HttpServerTest, NoticesAClientThatDisconnectsWhileItWaits)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    bool disconnected = false;
    exchanges_[0]->onDisconnected([&] { disconnected = true; });
    client.close();
    ASSERT_TRUE(runUntil([&] { return disconnected; }));
    exchanges_[0]->answer(ok(), "late");
    EXPECT_EQ(server_->openExchanges(), 0U);
}

TEST_F(HttpServerTest, AnAbortedResponseHasNoLastChunk)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    exchanges_[0]->begin(ok());
    exchanges_[0]->send("part");
    ASSERT_TRUE(runUntil([&] { return client.received().find("part") != std::string::npos; }));
    exchanges_[0]->abort();
    ASSERT_TRUE(runUntil([&] { return client.hasEnded(); }));
    EXPECT_EQ(client.received().find("0\r\n\r\n"), std::string::npos);
}

TEST_F(HttpServerTest, DisabledKeepAliveClosesConnectionsAfterTheirResponse)
{
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    server_->disableKeepAlive();
    exchanges_[0]->answer(ok(), "one");
    ASSERT_TRUE(runUntil([&] { return client.hasEnded(); }));
    EXPECT_NE(client.received().find("Connection: close"), std::string::npos);
    EXPECT_TRUE(client.received().ends_with("one"));
    RawClient second(server_->port());
    second.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(2); })) << "new connections are still accepted";
}

// Guards against a process that ends while clients still read its last answers.
TEST_F(HttpServerTest, TellsOfAnswersThatAreStillBeingRead)
{
    constexpr std::size_t LargeBytes = 32u << 20;
    RawClient client(server_->port());
    client.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    server_->disableKeepAlive();
    exchanges_[0]->answer(ok(), std::string(LargeBytes, 'b'));
    EXPECT_EQ(server_->openExchanges(), 0U);
    EXPECT_TRUE(server_->hasUnsentResponses());
    ASSERT_TRUE(runUntil([&] { return client.received().size() > LargeBytes; }));
    EXPECT_FALSE(server_->hasUnsentResponses());
}

TEST_F(HttpServerTest, NothingIsReadAfterStopReading)
{
    RawClient kept(server_->port());
    ASSERT_TRUE(runUntil([&] { return server_->openConnections() == 1; }));
    kept.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
    server_->stopReading();
    RawClient late(server_->port());
    late.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
    constexpr int Rounds = 50;
    for (int i = 0; i < Rounds; i++) {
        loop_->runDue();
    }
    EXPECT_TRUE(exchanges_.empty());
    EXPECT_EQ(server_->openConnections(), 1U);
}

// Guards against bytes that arrive between an answer and the read of those that came before them, which must stay behind these.
TEST_F(HttpServerTest, ReadsPipelinedRequestsInOrderAlsoWhileMoreArrive)
{
    constexpr int Requests = 200;
    RawClient client(server_->port());
    client.send("POST /0 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nbPOST /1 HTTP/1.1\r\nHost: a\r\nCont");
    for (int i = 0; i < Requests; i++) {
        ASSERT_TRUE(runUntil([&] { return exchanges_.size() == static_cast<std::size_t>(i) + 1; })) << "request " << i;
        ASSERT_EQ(exchanges_[i]->head().target, "/" + std::to_string(i));
        client.send("ent-Length: 1\r\n\r\nbPOST /" + std::to_string(i + 2) + " HTTP/1.1\r\nHost: a\r\nCont");
        // From the loop, so that the bytes may be read in the same round as the answer.
        loop_->post([exchange = exchanges_[i]] { exchange->answer(ok(), ""); });
    }
}

TEST_F(HttpServerTest, SendsContinueIfExpected)
{
    RawClient client(server_->port());
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    ASSERT_TRUE(runUntil([&] { return client.received().starts_with("HTTP/1.1 100"); }));
    client.send("ab");
    ASSERT_TRUE(runUntil([&] { return hasRequests(1); }));
    EXPECT_EQ(exchanges_[0]->body(), "ab");
}

} // namespace

} // namespace cardamomlift::http1
