#include "forwarding/tests/forwardertest.h"
#include "pace/pacetracker.h"

#include <gtest/gtest.h>

namespace cardamomlift::forwarding {

namespace {

class ForwarderPaceTest : public ForwarderTest
{
protected:
    ForwarderPaceTest()
    {
        tools_.pace = pace::PaceTracker::create(*loop_);
        restartForwarder();
    }

    void answer(const std::string &target, int status, const std::string &load = {})
    {
        const auto client = call(request(target));
        http1::ResponseHead head = signedHead(status);
        if (!load.empty()) {
            head.fields.set("X-Server-Load", load);
        }
        nextRequest()->answer(std::move(head), "answer");
        ASSERT_TRUE(runUntil([&] { return hasStatus(*client, std::to_string(status)); }));
    }

    double unitsObserved() const
    {
        double units = 0;
        for (const presence::ServerPace &pace : tools_.pace->pacesToShare()) {
            units += pace.work.units;
        }
        return units;
    }
};

TEST_F(ForwarderPaceTest, AnAnswerTellsThePaceOfItsServer)
{
    answer("/once/1", 200, "1,0,8,400");
    const auto shared = tools_.pace->pacesToShare();
    ASSERT_EQ(shared.size(), 1U);
    EXPECT_EQ(shared[0].announced, 4);
    EXPECT_NEAR(shared[0].work.units, 1, 0.01);
    answer("/once/1", 200, "1,0,8,x");
    EXPECT_NEAR(unitsObserved(), 2, 0.1);
}

TEST_F(ForwarderPaceTest, AServerThatFailsAtOnceDoesNotLookFast)
{
    answer("/once/1", 500);
    EXPECT_EQ(unitsObserved(), 0);
}

} // namespace

} // namespace cardamomlift::forwarding
