// Answers that a server breaks off, with all ways in which the end of a body is told.

#include "forwarding/eventsplitter.h"
#include "forwarding/tests/forwardertest.h"
#include "http1/tests/rawserver.h"

#include <array>
#include <list>

namespace cardamomlift::forwarding {

namespace {

using http1::Framing;

constexpr std::array Framings{Framing::Connection, Framing::Chunked, Framing::Length};
/// What a server sends of its second event before its answer ends: a part of a line, and a whole line without the empty line after it.
constexpr std::array Remainders{"id: 2\nda", "id: 2\ndata: b\n"};
constexpr char FirstEvent[] = "id: 1\ndata: a\n\n";
constexpr char SecondEvent[] = "id: 2\ndata: b\n\n";
constexpr char SignedHead[] = "HTTP/1.1 200 OK\r\nConnection: close\r\nX-Attempt-Id: id1\r\nX-Response-Signature: sig\r\n";

/// A forwarder whose two servers write their answers byte by byte.
class BrokenOff : public ForwarderTest
{
protected:
    BrokenOff()
    {
        for (const char *instance : {"one", "two"}) {
            directory::BackendServer server = directory_->find(instance)->server;
            server.endpoint.port = servers_[instance].port();
            directory_->put(std::move(server));
        }
        tools_.metrics = metrics::Metrics::create();
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        manifests_->confirm(loop_->now());
    }

    /// A send of the forwarder.
    struct Send {
        std::string server;
        http1::RawConnection *connection = nullptr;
    };

    /// Waits for the next send on a connection of its own.
    Send nextSend()
    {
        Send send;
        EXPECT_TRUE(runUntil([&] {
            for (auto &[instance, server] : servers_) {
                for (http1::RawConnection &connection : server.connections()) {
                    if (!answered_.contains(&connection) && connection.received().find("\r\n\r\n") != std::string::npos) {
                        send = {instance, &connection};
                        return true;
                    }
                }
            }
            return false;
        }));
        answered_.insert(send.connection);
        return send;
    }

    std::size_t sends()
    {
        std::size_t sum = 0;
        for (auto &[instance, server] : servers_) {
            sum += server.connections().size();
        }
        return sum;
    }

    /// Sends a whole answer whose body ends as @p framing says, and closes the connection in order.
    static void answer(const Send &send, Framing framing, const std::string &body, const std::string &more = {})
    {
        if (!send.connection) {
            return;
        }
        std::string bytes = SignedHead + more;
        switch (framing) {
        case Framing::Length:
            bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
            break;
        case Framing::Chunked:
            bytes += "Transfer-Encoding: chunked\r\n\r\n" + http1::encodeChunk(body) + std::string(http1::LastChunk);
            break;
        case Framing::Connection:
            bytes += "\r\n" + body;
            break;
        }
        send.connection->send(bytes);
        send.connection->close();
    }

    /// A caller's answer in chunks that ends with the last one.
    static bool isWhole(http1::RawClient &client)
    {
        return client.received().starts_with("HTTP/1.1 200") && client.received().ends_with("0\r\n\r\n");
    }

    std::map<std::string, http1::RawServer> servers_;
    std::set<http1::RawConnection *> answered_;
};

// Guards against a stream that ends inside an event and reaches its caller as a complete one.
TEST_F(BrokenOff, AStreamThatMayNotBeResumedEndsWithoutItsLastChunk)
{
    for (const Framing framing : Framings) {
        for (const char *remainder : Remainders) {
            const auto client = call(request("/stream/1"));
            const Send send = nextSend();
            answer(send, framing, std::string(FirstEvent) + remainder);
            ASSERT_TRUE(runUntil([&] { return client->hasEnded() || isWhole(*client); }));
            EXPECT_FALSE(isWhole(*client)) << http1::framingName(framing) << " " << remainder;
            EXPECT_NE(client->received().find("data: a"), std::string::npos);
            EXPECT_EQ(client->received().find("id: 2"), std::string::npos) << "no bytes of the incomplete event";
        }
    }
}

// Guards against a stream that could go on and ends inside an event.
TEST_F(BrokenOff, AResumableStreamGoesOnAtAnotherServer)
{
    for (const Framing framing : Framings) {
        for (const char *remainder : Remainders) {
            const auto client = call(request("/resumed/1"));
            const Send first = nextSend();
            answer(first, framing, std::string(FirstEvent) + remainder);
            const Send second = nextSend();
            ASSERT_NE(second.connection, nullptr) << http1::framingName(framing) << " " << remainder;
            EXPECT_NE(second.server, first.server);
            EXPECT_NE(second.connection->received().find("Last-Event-Id: 1\r\n"), std::string::npos);
            answer(second, framing, SecondEvent);
            ASSERT_TRUE(runUntil([&] { return isWhole(*client); }));
            EXPECT_EQ(eventsOf(*client), std::string(FirstEvent) + SecondEvent);
        }
    }
}

// Guards against a half event that is answered with a length of its own.
TEST_F(BrokenOff, AStreamBrokenOffBeforeItsFirstEventIsNoAnswer)
{
    for (const Framing framing : Framings) {
        for (const char *remainder : {"id: 1\nda", "id: 1\ndata: a\n"}) {
            const auto client = call(request("/stream/1"));
            answer(nextSend(), framing, remainder);
            ASSERT_TRUE(runUntil([&] { return client->received().find("\r\n\r\n") != std::string::npos; }));
            EXPECT_TRUE(hasStatus(*client, "502")) << client->received();

            const auto resumable = call(request("/resumed/1"));
            answer(nextSend(), framing, remainder);
            answer(nextSend(), framing, FirstEvent);
            ASSERT_TRUE(runUntil([&] { return isWhole(*resumable); }));
            EXPECT_EQ(eventsOf(*resumable), FirstEvent);
        }
    }
}

// Guards against an end of the connection that is taken for an answer without events.
TEST_F(BrokenOff, NothingBeforeTheEndOfTheConnectionIsNoStream)
{
    const auto client = call(request("/stream/1"));
    answer(nextSend(), Framing::Connection, {});
    ASSERT_TRUE(runUntil([&] { return client->received().find("\r\n\r\n") != std::string::npos; }));
    EXPECT_TRUE(hasStatus(*client, "502")) << client->received();
}

// Guards against bytes without end in a head, which would hold a request until its deadline; it may have run, so its caller is not told that it has not.
TEST_F(BrokenOff, BytesWithoutEndInAHeadEndTheAttempt)
{
    clock_.pause();
    for (const std::string &start : {std::string(), std::string(SignedHead)}) {
        const std::string piece = start.empty() ? std::string(4096, 'x') : "X-A: " + std::string(1024, 'b') + "\r\n";
        const auto once = call(request("/once/1"));
        const Send send = nextSend();
        send.connection->send(start);
        ASSERT_TRUE(runUntil([&] {
            send.connection->sendSome(piece);
            return once->received().find("\r\n\r\n") != std::string::npos;
        }));
        EXPECT_TRUE(hasStatus(*once, "502")) << once->received();

        const auto safe = call(request("/safe/1"));
        const Send first = nextSend();
        first.connection->send(start);
        const std::size_t before = sends();
        ASSERT_TRUE(runUntil([&] {
            first.connection->sendSome(piece);
            return sends() > before;
        }));
        answer(nextSend(), Framing::Length, "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*safe, "200"); }));
    }
}

// Guards against an event without end, which would be kept in memory, or passed on as a complete stream.
TEST_F(BrokenOff, AnEventWithoutEndEndsTheStreamWithoutItsLastChunk)
{
    for (const std::string &piece : {std::string(32768, 'x'), std::string("data: x\n"), std::string(": x\n")}) {
        std::string bytes;
        while (bytes.size() < 32768) {
            bytes += piece;
        }
        const auto client = call(request("/stream/1"));
        const Send send = nextSend();
        send.connection->send(std::string(SignedHead) + "\r\n" + FirstEvent);
        ASSERT_TRUE(runUntil([&] {
            send.connection->sendSome(bytes);
            return client->hasEnded();
        }));
        EXPECT_FALSE(isWhole(*client));
    }
}

// Guards against a resumed run whose end is not looked at.
TEST_F(BrokenOff, AResumedRunIsBrokenOffLikeAnyOther)
{
    for (const char *remainder : Remainders) {
        const auto client = call(request("/resumed/1"));
        answer(nextSend(), Framing::Connection, FirstEvent);
        ASSERT_TRUE(runUntil([&] { return isWhole(*client); })) << "it ended with an event";

        const auto broken = call(request("/resumed/1"));
        answer(nextSend(), Framing::Connection, std::string(FirstEvent) + remainder);
        answer(nextSend(), Framing::Connection, std::string(SecondEvent) + "id: 3\n");
        ASSERT_TRUE(runUntil([&] { return broken->hasEnded() || isWhole(*broken); }));
        EXPECT_FALSE(isWhole(*broken)) << "both servers have broken it off";
        EXPECT_NE(broken->received().find(SecondEvent), std::string::npos);
        EXPECT_EQ(broken->received().find("id: 3"), std::string::npos);
    }
}

// Guards against whole answers that are taken for broken-off ones.
TEST_F(BrokenOff, WholeAnswersAreForwarded)
{
    for (const Framing framing : Framings) {
        for (const char *path : {"/stream/1", "/resumed/1"}) {
            for (const char *end : {"", ": a comment\n", "\n"}) {
                const auto client = call(request(path));
                answer(nextSend(), framing, std::string(FirstEvent) + SecondEvent + end);
                ASSERT_TRUE(runUntil([&] { return isWhole(*client); })) << path;
                EXPECT_EQ(eventsOf(*client), std::string(FirstEvent) + SecondEvent + end);
            }
            const auto plain = call(request(path));
            answer(nextSend(), framing, "{}", "Content-Type: application/json\r\n");
            ASSERT_TRUE(runUntil([&] { return hasStatus(*plain, "200") && plain->received().ends_with("\r\n\r\n{}"); })) << path;
        }
        const auto client = call(request("/once/1"));
        answer(nextSend(), framing, "id: 1\nda");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200") && client->received().ends_with("id: 1\nda"); }));
    }
    const auto client = call("HEAD /stream/1 HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id1\r\nX-Credential: key\r\n\r\n");
    answer(nextSend(), Framing::Connection, {});
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
}

// Guards against a plain answer without a length that was reset on the way and counts as whole.
TEST_F(BrokenOff, APlainAnswerThatIsResetIsNotWhole)
{
    const auto client = call(request("/once/1"));
    const Send send = nextSend();
    send.connection->send(std::string(SignedHead) + "\r\nhalf of it");
    ASSERT_TRUE(runUntil([&] { return pool_->lastActivityAt(send.server).has_value(); }));
    send.connection->reset();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
}

/// A stream without a length, at a server that is reclaimed while the stream runs.
class BrokenOffMove : public BrokenOff
{
protected:
    BrokenOffMove()
    {
        client_ = call(request("/stream/1"));
        source_ = nextSend();
        source_.connection->send(std::string(SignedHead) + "\r\n" + FirstEvent);
        EXPECT_TRUE(runUntil([&] { return client_->received().find("data: a") != std::string::npos; }));
        reclaim(source_.server);
        move_ = nextSend();
        EXPECT_NE(move_.connection->received().find("/api/kv-move"), std::string::npos);
    }

    void answerMove(const std::string &statusLine, const std::string &body) const
    {
        move_.connection->send("HTTP/1.1 " + statusLine + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::unique_ptr<http1::RawClient> client_;
    Send source_;
    Send move_;
};

// Guards against the end of a stopped run's stream that is taken for the end of the answer.
TEST_F(BrokenOffMove, AStreamWithoutALengthGoesOnAtTheTarget)
{
    source_.connection->close();
    ASSERT_TRUE(runUntil([&] { return logLines_.find("\"outcome\":\"stopped_for_move\"") != std::string::npos || isWhole(*client_); }));
    ASSERT_FALSE(isWhole(*client_));
    answerMove("200 OK", R"({"handle":"h1","created":1})");
    const Send target = nextSend();
    EXPECT_NE(target.connection->received().find("Kv-From: "), std::string::npos);
    answer(target, Framing::Connection, SecondEvent);
    ASSERT_TRUE(runUntil([&] { return isWhole(*client_); }));
    EXPECT_EQ(eventsOf(*client_), std::string(FirstEvent) + SecondEvent);
}

// Guards against a moved run that its target breaks off.
TEST_F(BrokenOffMove, AMovedRunIsBrokenOffLikeAnyOther)
{
    source_.connection->close();
    answerMove("200 OK", R"({"handle":"h1","created":1})");
    answer(nextSend(), Framing::Connection, std::string(SecondEvent) + "id: 3\ndata: c\n");
    ASSERT_TRUE(runUntil([&] { return client_->hasEnded() || isWhole(*client_); }));
    EXPECT_FALSE(isWhole(*client_));
    EXPECT_EQ(client_->received().find("id: 3"), std::string::npos);
}

/// An answer to a move.
struct MoveAnswer {
    const char *name;
    const char *status;
    const char *body;
};

std::ostream &operator<<(std::ostream &stream, const MoveAnswer &answer)
{
    return stream << answer.status << " " << answer.body;
}

std::string nameOf(const testing::TestParamInfo<MoveAnswer> &info)
{
    return info.param.name;
}

constexpr MoveAnswer StoppedAnswers[] = {
    {"WithoutRoom", "503 Service Unavailable", R"({"handle":"h1","created":1})"},
    {"WithoutHandle", "503 Service Unavailable", "{}"},
    {"Spoilt", "200 OK", R"({"handle":7171717171717171717171,"created":1})"},
};
constexpr MoveAnswer RefusedAnswers[] = {{"NoSuchRun", "404 Not Found", "{}"}, {"CallInProgress", "409 Conflict", "{}"}};

/// The source answers the move before the end of its stream arrives.
class EarlyMoveAnswer : public BrokenOffMove, public testing::WithParamInterface<MoveAnswer>
{
protected:
    void answerMoveEarly()
    {
        answerMove(GetParam().status, GetParam().body);
        ASSERT_TRUE(runUntil([&] { return tools_.metrics->counter("stream_moves_failed_total") > 0; }));
        source_.connection->send(SecondEvent);
        source_.connection->close();
        ASSERT_TRUE(runUntil([&] { return client_->hasEnded() || isWhole(*client_); }));
        EXPECT_EQ(client_->received().find("503"), std::string::npos);
    }
};

using StoppedRun = EarlyMoveAnswer;
using RefusedMove = EarlyMoveAnswer;

// Guards against a run that was stopped for a move and reaches its caller as a complete stream, as the answer to the move comes first.
TEST_P(StoppedRun, IsNotWholeThoughTheMoveIsAnsweredFirst)
{
    answerMoveEarly();
    EXPECT_FALSE(isWhole(*client_));
}

INSTANTIATE_TEST_SUITE_P(Moves, StoppedRun, testing::ValuesIn(StoppedAnswers), nameOf);

TEST_P(RefusedMove, LeavesTheStreamWhole)
{
    answerMoveEarly();
    EXPECT_TRUE(isWhole(*client_));
    EXPECT_EQ(eventsOf(*client_), std::string(FirstEvent) + SecondEvent);
}

INSTANTIATE_TEST_SUITE_P(Moves, RefusedMove, testing::ValuesIn(RefusedAnswers), nameOf);

// Guards against a run that may have been stopped for a move whose answer is lost, and counts as complete.
TEST_F(BrokenOffMove, AStreamThatEndsAfterALostAnswerIsNotWhole)
{
    move_.connection->reset();
    ASSERT_TRUE(runUntil([&] { return tools_.metrics->counter("stream_moves_failed_total") > 0; }));
    source_.connection->close();
    ASSERT_TRUE(runUntil([&] { return client_->hasEnded() || isWhole(*client_); }));
    EXPECT_FALSE(isWhole(*client_));
}

/// A stream without a length at a slow server, which has been told to stop it after a first copy to a faster one.
class BrokenOffLateRun : public BrokenOff, public testing::WithParamInterface<MoveAnswer>
{
protected:
    static constexpr int Events = 6;
    /// A pause below the goal of all routes, but near it.
    static constexpr Duration LatePause = milliseconds(800);
    static constexpr Duration CheckPeriod = milliseconds(250);
    static constexpr int Checks = 3;

    BrokenOffLateRun()
    {
        tools_.paceOf = [this](std::uint64_t server, const std::string &) {
            return server == presence::nameHash(source_.server) ? 5.0 : 1.0;
        };
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        forwarder_->tick();
        manifests_->confirm(loop_->now());
        client_ = call(request("/stream/1"));
        source_ = nextSend();
        source_.connection->send(std::string(SignedHead) + "\r\n");
        for (int i = 1; i <= Events; i++) {
            const std::string data = "data: event-" + std::to_string(i);
            source_.connection->send("id: " + std::to_string(i) + "\n" + data + "\n\n");
            EXPECT_TRUE(runUntil([&] { return client_->received().find(data) != std::string::npos; }));
            clock_.advance(LatePause);
        }
        for (int i = 0; i < Checks; i++) {
            forwarder_->checkStragglers();
            loop_->runDue();
            clock_.advance(CheckPeriod);
        }
        move_ = nextSend();
        answerMove({"Copied", "200 OK", R"({"handle":"h1","created":5})"});
        EXPECT_TRUE(runUntil([&] { return move_.connection->received().find("\"last\":true") != std::string::npos; }));
    }

    void answerMove(const MoveAnswer &answer) const
    {
        const std::string body = answer.body;
        move_.connection->send("HTTP/1.1 " + std::string(answer.status) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    std::unique_ptr<http1::RawClient> client_;
    Send source_;
    Send move_;
};

// Guards against a late run that was stopped for its second copy and reaches its caller as a complete stream.
TEST_P(BrokenOffLateRun, IsNotWholeThoughTheMoveIsAnsweredFirst)
{
    answerMove(GetParam());
    ASSERT_TRUE(runUntil([&] { return tools_.metrics->counter("stream_moves_failed_total") > 0; }));
    const std::size_t before = sends();
    source_.connection->close();
    ASSERT_TRUE(runUntil([&] { return client_->hasEnded() || isWhole(*client_) || sends() > before; }));
    EXPECT_FALSE(isWhole(*client_));
}

INSTANTIATE_TEST_SUITE_P(Moves, BrokenOffLateRun, testing::ValuesIn(StoppedAnswers), nameOf);

// Guards against an event that is sent twice, in part and then whole, since its start had been passed on when the run broke.
TEST_F(BrokenOff, AStreamIsNotResumedInsideAnEvent)
{
    for (const Framing framing : Framings) {
        const auto client = call(request("/resumed/1"));
        const std::size_t before = sends();
        answer(nextSend(), framing, std::string(FirstEvent) + "id: 2\ndata: " + std::string(EventSplitter::MaxEventBytes, 'x'));
        ASSERT_TRUE(runUntil([&] { return client->hasEnded() || isWhole(*client) || sends() > before + 1; }));
        EXPECT_TRUE(client->hasEnded());
        EXPECT_FALSE(isWhole(*client));
        EXPECT_EQ(sends(), before + 1);
    }
}

// Guards against a broken-off stream that counts as an answer: for its server, the metrics, the log.
TEST_F(BrokenOff, CountsAsAFailedRun)
{
    const auto client = call(request("/stream/1"));
    const Send send = nextSend();
    answer(send, Framing::Connection, std::string(FirstEvent) + Remainders[0]);
    ASSERT_TRUE(runUntil([&] { return client->hasEnded() || isWhole(*client); }));
    const auto outcomes = tools_.outliers->outcomesToShare();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes.front().failedInARow, 1);
    EXPECT_EQ(logLines_.find("\"event\":\"request_answered\""), std::string::npos) << logLines_;
    EXPECT_NE(logLines_.find("\"framing\":\"connection\",\"unfinished\":8"), std::string::npos) << logLines_;
    EXPECT_NE(logLines_.find("\"event\":\"request_failed\""), std::string::npos) << logLines_;
}

} // namespace

} // namespace cardamomlift::forwarding
