// The statuses 408, 421, 429 and 503 promise that a request has not run and never will: each path that answers with one.

#include "forwarding/tests/forwardertest.h"

#include <set>

namespace cardamomlift::forwarding {

namespace {

/// Decides as the test says.
class FakeAdmissionGate : public AdmissionGate
{
public:
    enum class Answer { Admit, Refuse, Wait };

    std::uint64_t ask(const AdmissionQuestion &question, Handler handler) override
    {
        question_ = question;
        if (answer == Answer::Refuse) {
            handler({false, milliseconds(1250)});
            return 0;
        }
        tickets.insert(++last);
        if (answer == Answer::Admit) {
            handler({});
        } else {
            waiting = std::move(handler);
        }
        return last;
    }
    void release(std::uint64_t ticket) override
    {
        tickets.erase(ticket);
    }
    void noteServerFull(std::uint64_t) override
    {
        full++;
    }
    Duration retryAfter(const std::string &, int) override
    {
        return milliseconds(2500);
    }

    Answer answer = Answer::Admit;
    AdmissionQuestion question_;
    Handler waiting;
    std::set<std::uint64_t> tickets;
    std::uint64_t last = 0;
    int full = 0;
};

class Refused : public ForwarderTest
{
protected:
    Refused()
    {
        tools_.admission = gate_;
        restartForwarder();
        // By then the retry budget has been granted.
        clock_.advance(ForwardingSettings().retryWindow);
        manifests_->confirm(loop_->now());
    }

    std::shared_ptr<FakeAdmissionGate> gate_ = std::make_shared<FakeAdmissionGate>();
};

TEST_F(Refused, WithoutAdmissionNothingIsSent)
{
    gate_->answer = FakeAdmissionGate::Answer::Refuse;
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(client->received().find("Retry-After: 1.250"), std::string::npos);
    EXPECT_NE(logLines_.find("no_room"), std::string::npos);
    EXPECT_EQ(arrivals(), 0);
    EXPECT_EQ(allowances_->taken, 0);
    EXPECT_EQ(gate_->question_.service, "service");
}

TEST_F(Refused, AWaitThatIsAdmittedIsSentOnceAndReleased)
{
    gate_->answer = FakeAdmissionGate::Answer::Wait;
    const auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return gate_->waiting != nullptr; }));
    EXPECT_EQ(arrivals(), 0);
    gate_->waiting({});
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    EXPECT_EQ(arrivals(), 1);
    EXPECT_TRUE(gate_->tickets.empty());
}

TEST_F(Refused, AWaitThatEndsWithTheTimeLimitWasNeverSent)
{
    gate_->answer = FakeAdmissionGate::Answer::Wait;
    const auto client = call(request("/short/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_EQ(arrivals(), 0);
    EXPECT_TRUE(gate_->tickets.empty());
    // An admission that comes too late sends nothing.
    gate_->waiting({});
    for (int i = 0; i < 50; i++) {
        loop_->runDue();
    }
    EXPECT_EQ(arrivals(), 0);
}

TEST_F(Refused, ACallerWhoLeavesGivesUpItsWait)
{
    gate_->answer = FakeAdmissionGate::Answer::Wait;
    auto client = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return gate_->waiting != nullptr; }));
    client.reset();
    ASSERT_TRUE(runUntil([&] { return gate_->tickets.empty(); }));
    EXPECT_EQ(arrivals(), 0);
}

TEST_F(Refused, ServersThatHaveNotRunItGiveTheGatesTime)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(notRunHead(), "");
    nextRequest()->answer(notRunHead(), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "503"); }));
    EXPECT_NE(client->received().find("Retry-After: 2.500"), std::string::npos);
    EXPECT_EQ(gate_->full, 2);
    EXPECT_TRUE(gate_->tickets.empty());
}

TEST_F(Refused, WhatMayHaveRunIsNotRefusedAfterwards)
{
    const auto client = call(request("/safe/1"));
    nextRequest()->abort();
    nextRequest()->answer(notRunHead(), "");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
}

TEST_F(Refused, WhatMayHaveRunIsNotRefusedByTheTimeLimit)
{
    const auto client = call(request("/short/1"));
    nextRequest();
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "504"); }));
}

TEST_F(Refused, BeforeAnythingElseAVmRefusesWithoutSending)
{
    allowances_->decision = {false, milliseconds(750)};
    const auto over = call(request("/once/1"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*over, "429"); }));
    allowances_->decision = {};
    clock_.advance(std::chrono::minutes(1));
    const auto stale = call(request("/once/2"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*stale, "503"); }));
    manifests_->confirm(loop_->now());
    forwarder_->beginDrain(loop_->now() + milliseconds(1));
    clock_.advance(std::chrono::seconds(30));
    manifests_->confirm(loop_->now());
    const auto draining = call(request("/once/3"));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*draining, "503"); }));
    EXPECT_NE(logLines_.find("draining"), std::string::npos);
    EXPECT_EQ(arrivals(), 0);
}

/// The status that a server answers without saying that it has not run the request.
class RefusedByServer : public Refused, public testing::WithParamInterface<int>
{
};

TEST_P(RefusedByServer, WithoutAMarkIsNoRefusalOfWhatMayRunOnce)
{
    const auto client = call(request("/once/1"));
    nextRequest()->answer(signedHead(GetParam()), "body");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
    EXPECT_EQ(arrivals(), 1);
}

TEST_P(RefusedByServer, WithoutAMarkAndSignatureIsNoRefusalEither)
{
    const auto client = call(request("/once/1"));
    http1::ResponseHead head;
    head.status = GetParam();
    nextRequest()->answer(std::move(head), "body");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "502"); })) << client->received();
    EXPECT_EQ(arrivals(), 1);
}

// 421 is not among them: it comes from another process, which runs nothing.
INSTANTIATE_TEST_SUITE_P(Statuses, RefusedByServer, testing::Values(408, 429, 503));

} // namespace

} // namespace cardamomlift::forwarding
