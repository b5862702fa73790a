#include "forwarding/tests/forwardertest.h"

namespace cardamomlift::forwarding {

namespace {

class ForwarderAnnouncementsTest : public ForwarderTest
{
protected:
    static http1::ResponseHead leaving(http1::ResponseHead head)
    {
        head.fields.add("Server-Leaving", "1");
        return head;
    }

    bool isLeaving(const std::string &instance) const
    {
        return directory_->find(instance)->isLeaving;
    }

    std::size_t usableServers() const
    {
        return directory_->usable("service").size();
    }
};

struct AnnouncingAnswer {
    const char *name;
    const char *path;
    http1::ResponseHead head;
    const char *body;
};

class AnnouncingAnswerTest : public ForwarderAnnouncementsTest, public testing::WithParamInterface<int>
{
protected:
    static http1::ResponseHead unsignedHead(int status)
    {
        http1::ResponseHead head;
        head.status = status;
        return head;
    }
};

// Guards against a kind of answer whose announcement is not heard.
TEST_P(AnnouncingAnswerTest, MarksItsServer)
{
    const std::vector<AnnouncingAnswer> answers{{"success", "/once/1", signedHead(), "answer"},
        {"error of the server", "/once/1", signedHead(500), "failed"},
        {"time limit of the server", "/once/1", signedHead(504), "late"},
        {"refusal", "/once/1", notRunHead(), ""},
        {"client error", "/once/1", unsignedHead(400), ""},
        {"unsigned success", "/once/1", unsignedHead(200), "answer"},
        {"head of a stream", "/stream/1", signedHead(), "id: 1\ndata: a\n\n"},
        {"stream without an event", "/resumed/1", signedHead(), ""}};
    const AnnouncingAnswer &answer = answers[static_cast<std::size_t>(GetParam())];
    const auto client = call(request(answer.path));
    nextRequest()->answer(leaving(answer.head), answer.body);
    EXPECT_TRUE(runUntil([&] { return usableServers() == 1; })) << answer.name;
    EXPECT_NE(logLines_.find(R"("event":"server_leaving")"), std::string::npos) << answer.name;
    EXPECT_NE(logLines_.find(R"("reason":"answer")"), std::string::npos) << answer.name;
}

INSTANTIATE_TEST_SUITE_P(Kinds, AnnouncingAnswerTest, testing::Range(0, 8));

TEST_F(ForwarderAnnouncementsTest, AnAnswerToAnEarlierRequestMarksItsServer)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(leaving(signedHead(200, "another")), "answer");
    EXPECT_TRUE(runUntil([&] { return usableServers() == 1; }));
}

TEST_F(ForwarderAnnouncementsTest, AnotherProcessAtTheAddressMarksNobody)
{
    const auto client = call(request("/once/1"));
    http1::ResponseHead misdirected;
    misdirected.status = 421;
    nextRequest()->answer(leaving(misdirected), "");
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    EXPECT_EQ(usableServers(), 2U);
}

TEST_F(ForwarderAnnouncementsTest, AnswersOfALeavingServerArePassedOnAndItGetsNoNewRequests)
{
    const auto first = call(request("/once/1"));
    nextRequest()->answer(leaving(signedHead()), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*first, "200"); })) << first->received();
    const std::string left = backends_["one"].arrivals > 0 ? "one" : "two";
    for (int i = 0; i < 20; i++) {
        const auto client = call(request("/once/1"));
        nextRequest()->answer(signedHead(), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); })) << client->received();
    }
    EXPECT_EQ(backends_[left].arrivals, 1);
    EXPECT_EQ(logLines_.find("server_leaving"), logLines_.rfind("server_leaving")) << "logged once";
}

// Guards against a leaving server as the last resort of any rule.
TEST_F(ForwarderAnnouncementsTest, WhenAllServersLeaveRequestsAreRefusedAtOnceAndANewServerServes)
{
    directory_->markLeaving("one");
    directory_->markLeaving("two");
    const auto client = call(request("/safe/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
    EXPECT_NE(client->received().find("Retry-After"), std::string::npos);
    EXPECT_EQ(arrivals(), 0);
    addBackend("three");
    const auto second = call(request("/safe/1"));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*second, "200"); })) << second->received();
    EXPECT_EQ(backends_["three"].arrivals, 1);
}

TEST_F(ForwarderAnnouncementsTest, ARefusedRequestIsNotRetriedAtALeavingServer)
{
    directory_->markLeaving("two");
    const auto client = call(request("/safe/1"));
    nextRequest()->answer(notRunHead(), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); })) << client->received();
    EXPECT_EQ(backends_["two"].arrivals, 0);
}

TEST_F(ForwarderAnnouncementsTest, ABrokenStreamIsNotResumedAtALeavingServer)
{
    directory_->markLeaving("two");
    breakStartedStream();
    EXPECT_EQ(backends_["two"].arrivals, 0);
}

TEST_F(ForwarderAnnouncementsTest, ARunOfAReclaimableServerMovesWhenOnlyAnAnswerSaysThatItLeaves)
{
    for (const char *instance : {"one", "two"}) {
        directory::BackendServer server = directory_->find(instance)->server;
        server.isReclaimable = true;
        directory_->put(std::move(server));
    }
    const auto client = call(request("/stream/1"));
    const auto exchange = nextRequest();
    const std::string source = backends_["one"].arrivals > 0 ? "one" : "two";
    exchange->begin(leaving(signedHead()));
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    EXPECT_TRUE(isLeaving(source));
    EXPECT_TRUE(runUntil([&] { return logLines_.find("stream_moved") != std::string::npos; }));
}

TEST_F(ForwarderAnnouncementsTest, ARunStaysAtAServerThatIsNotReclaimedAndItsEndIsPassedOn)
{
    const auto client = call(request("/stream/1"));
    const auto exchange = nextRequest();
    exchange->begin(leaving(signedHead()));
    exchange->send("id: 1\ndata: a\n\n");
    ASSERT_TRUE(runUntil([&] { return usableServers() == 1; }));
    exchange->send("id: 2\ndata: b\n\n");
    exchange->end();
    ASSERT_TRUE(runUntil([&] { return logLines_.find("request_answered") != std::string::npos; }));
    EXPECT_EQ(eventsOf(*client), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    EXPECT_EQ(logLines_.find("stream_moved"), std::string::npos);
}

} // namespace

} // namespace cardamomlift::forwarding
