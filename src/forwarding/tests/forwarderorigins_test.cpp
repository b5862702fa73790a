// Streams stay at the software version that began them.

#include "forwarding/tests/forwardertest.h"

namespace cardamomlift::forwarding {

namespace {

/// A forwarder with a server of each of two versions.
class Origins : public ForwarderTest
{
protected:
    Origins()
    {
        setVersion("one", "v1");
        setVersion("two", "v2");
    }

    void setVersion(const std::string &instance, const std::string &version)
    {
        directory::BackendServer server = directory_->find(instance)->server;
        server.version = version;
        directory_->put(std::move(server));
    }

    std::string versionOf(const http1::ExchangePtr &exchange) const
    {
        return directory_->find(exchange->head().fields.get("X-Expect-Instance"))->server.version;
    }

    /// Adds one server of @p version and several of another.
    void addServers(const std::string &version)
    {
        addBackend("same", version);
        for (const char *instance : {"other-1", "other-2", "other-3", "other-4", "other-5"}) {
            addBackend(instance, "v3");
        }
    }

    /// Sends the first event of a stream and waits until the caller has it.
    void begin(http1::RawClient &client, const http1::ExchangePtr &exchange)
    {
        exchange->begin(signedHead());
        exchange->send("id: 1\ndata: a\n\n");
        EXPECT_TRUE(runUntil([&] { return client.received().find("data: a") != std::string::npos; }));
    }
};

// Guards against a stream that goes on at another version within one answer.
TEST_F(Origins, AStreamIsResumedAtItsVersionOnly)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    const std::string version = versionOf(first);
    addServers(version);
    begin(*client, first);
    first->abort();
    const auto second = nextRequest();
    ASSERT_TRUE(second);
    EXPECT_EQ(versionOf(second), version);
    second->begin(signedHead());
    second->send("id: 2\ndata: b\n\n");
    second->end();
    EXPECT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
}

TEST_F(Origins, AStreamWhoseVersionIsGoneEndsWithoutItsLastChunk)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    begin(*client, first);
    first->abort();
    EXPECT_TRUE(runUntil([&] { return client->hasEnded() || arrivals() > 1; }));
    EXPECT_TRUE(client->hasEnded());
    EXPECT_FALSE(client->received().ends_with("0\r\n\r\n"));
    EXPECT_EQ(arrivals(), 1);
}

// Guards against versions that bind requests of which no event has come.
TEST_F(Origins, AStreamWithoutAnEventBeginsAnewAtAnyVersion)
{
    const auto client = call(request("/resumed/1"));
    const auto first = nextRequest();
    first->begin(signedHead());
    first->abort();
    const auto second = nextRequest();
    EXPECT_NE(versionOf(second), versionOf(first));
}

// Guards against a run whose memory is moved to another version.
TEST_F(Origins, ARunIsMovedToItsVersionOnly)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    const std::string version = versionOf(first);
    addServers(version);
    begin(*client, first);
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    const auto moveCall = nextRequest();
    ASSERT_TRUE(moveCall);
    first->abort();
    http1::ResponseHead done;
    done.status = 200;
    moveCall->answer(std::move(done), R"({"handle":"h1","created":1})");
    const auto second = nextRequest();
    ASSERT_TRUE(second);
    EXPECT_EQ(versionOf(second), version);
}

TEST_F(Origins, ARunIsNotMovedWhereItsVersionIsGone)
{
    const auto client = call(request("/stream/1"));
    const auto first = nextRequest();
    begin(*client, first);
    reclaim(std::string(first->head().fields.get("X-Expect-Instance")));
    clock_.advance(milliseconds(400));
    first->send("id: 2\ndata: b\n\n");
    first->end();
    ASSERT_TRUE(runUntil([&] { return client->received().ends_with("0\r\n\r\n"); }));
    EXPECT_EQ(logLines_.find("\"event\":\"stream_moved\""), std::string::npos) << "there is no server to move it to";
}

} // namespace

} // namespace cardamomlift::forwarding
