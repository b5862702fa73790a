#include "forwarding/tests/fakeversiongate.h"
#include "forwarding/tests/forwardertest.h"

namespace cardamomlift::forwarding {

namespace {

/// Two servers of the usual version and one of a version on trial.
class ForwarderVersionsTest : public ForwarderTest
{
protected:
    ForwarderVersionsTest()
    {
        addBackend("new", "v2");
        versions_->versionOnTrial = "v2";
        tools_.versions = versions_;
        restartForwarder();
        clock_.advance(ForwardingSettings().retryWindow);
        manifests_->confirm(loop_->now());
    }

    std::shared_ptr<FakeVersionGate> versions_ = std::make_shared<FakeVersionGate>();
};

TEST_F(ForwarderVersionsTest, AVersionOnTrialGetsNoRegularRequests)
{
    for (int i = 0; i < 20; i++) {
        const auto client = call(request("/safe/1"));
        nextRequest()->answer(signedHead(), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    }
    EXPECT_EQ(backends_["new"].arrivals, 0);
    EXPECT_EQ(versions_->open, 0);
}

// A caller should not suffer from a trial twice.
TEST_F(ForwarderVersionsTest, ARequestThatFailsInTheTrialIsRetriedAtTheUsualVersion)
{
    versions_->nextPick = VersionPick::OnTrial;
    const auto client = call(request("/safe/1"));
    const auto first = nextRequest();
    EXPECT_EQ(backends_["new"].arrivals, 1);
    first->answer(signedHead(500), "failed");
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    EXPECT_EQ(backends_["new"].arrivals, 1);
    EXPECT_EQ(versions_->outcomes, (std::vector<std::string>{"v2 failed", " answered"}));
    EXPECT_EQ(versions_->open, 0);
}

TEST_F(ForwarderVersionsTest, ATrialWithoutAServerIsCancelled)
{
    directory_->remove("new", loop_->now());
    versions_->nextPick = VersionPick::OnTrial;
    const auto client = call(request("/safe/1"));
    nextRequest()->answer(signedHead(), "answer");
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "200"); }));
    EXPECT_EQ(versions_->cancelledTrials, 1);
}

TEST_F(ForwarderVersionsTest, ARequestThatMissesItsDeadlineCountsAsFailed)
{
    versions_->nextPick = VersionPick::OnTrial;
    const auto client = call(request("/short/1"));
    const auto unanswered = nextRequest();
    clock_.pause();
    clock_.advance(milliseconds(200));
    ASSERT_TRUE(runUntil([&] { return hasStatus(*client, "504"); }));
    EXPECT_EQ(versions_->outcomes, std::vector<std::string>{"v2 failed"});
}

} // namespace

} // namespace cardamomlift::forwarding
