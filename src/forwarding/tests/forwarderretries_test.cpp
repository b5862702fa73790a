#include "forwarding/tests/forwardertest.h"

namespace cardamomlift::forwarding {

namespace {

TEST_F(ForwarderTest, RetriesEndWhenTheBudgetIsUsedUp)
{
    const ForwardingSettings settings;
    constexpr int Requests = 40;
    const double maxRetries = settings.retrySlack / 2 + settings.retryRatio * Requests;
    const int retries = countRetriesOfBroken(Requests);
    EXPECT_LE(retries, maxRetries);
    EXPECT_GE(retries, maxRetries - 1);
}

TEST_F(ForwarderTest, ANewProcessThatDoesNotKnowTheVmCountRetriesLittle)
{
    vmCount_.reset();
    tools_.settings.retryRatio = 0;
    restartForwarder();
    clock_.advance(ForwardingSettings().retryWindow);
    EXPECT_EQ(countRetriesOfBroken(10), 1);
}

TEST_F(ForwarderTest, TheRetryBudgetOfANewProcessGrowsOverAWindow)
{
    const ForwardingSettings settings;
    tools_.settings.retryRatio = 0;
    restartForwarder();
    const int first = countRetriesOfBroken(10);
    EXPECT_LT(first, settings.retrySlack / 4);
    clock_.advance(settings.retryWindow);
    forwarder_->tick();
    const int second = countRetriesOfBroken(10);
    EXPECT_GT(second, first);
    EXPECT_LE(first + second, settings.retrySlack / 2);
    clock_.advance(settings.retryWindow);
    forwarder_->tick();
    EXPECT_EQ(countRetriesOfBroken(10), 0) << "the budget of a new process is granted only once";
}

// Guards against a VM that is granted new retries with each of its restarts.
TEST_F(ForwarderTest, RestartsWithinAWindowGrantNoMoreRetriesThanTheWindowDoes)
{
    const ForwardingSettings settings;
    constexpr int Restarts = 8;
    tools_.settings.retryRatio = 0;
    int retries = 0;
    for (int i = 0; i < Restarts; i++) {
        restartForwarder();
        clock_.advance(settings.retryWindow / Restarts);
        retries += countRetriesOfBroken(10);
    }
    EXPECT_LE(retries, settings.retrySlack / 2);
}

TEST_F(ForwarderTest, TheRetryBudgetFollowsTheNumberOfVms)
{
    tools_.settings.retryRatio = 0;
    restartForwarder();
    clock_.advance(ForwardingSettings().retryWindow);
    EXPECT_EQ(countRetriesOfBroken(1), 1);
    vmCount_ = 5;
    forwarder_->tick();
    EXPECT_EQ(countRetriesOfBroken(10), 1);
}

} // namespace

} // namespace cardamomlift::forwarding
