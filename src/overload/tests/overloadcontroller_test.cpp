#include "overload/overloadcontroller.h"

#include "overload/overloadrules.h"

#include <gtest/gtest.h>

#include <set>

namespace cardamomlift::overload {

namespace {

using std::chrono::milliseconds;

class OverloadControllerTest : public testing::Test
{
protected:
    OverloadControllerTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        OverloadTools tools;
        tools.loop = loop_.get();
        tools.log = eventlog::EventLog::create(clock_, "vm", [](std::string_view) { return true; });
        tools.vmCount = [] {
            return std::optional<std::size_t>(4);
        };
        tools.isListed = [this](const std::string &instance) {
            return !unlisted_.contains(instance);
        };
        controller_ = OverloadController::create(std::move(tools));
        controller_->noteServed(one_, milliseconds(100));
    }

    /// Requests that this VM may send now.
    int room(const ServerKey &server)
    {
        int sent = 0;
        while (sent < 100 && controller_->hasRoom(server)) {
            controller_->noteSent(server);
            sent++;
        }
        return sent;
    }

    const std::string nameOne_ = "one";
    const std::string nameTwo_ = "two";
    const std::string service_ = "service";
    const ServerKey one_{nameOne_, service_, 16};
    const ServerKey two_{nameTwo_, service_, 16};
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::set<std::string> unlisted_;
    std::shared_ptr<OverloadController> controller_;
};

TEST_F(OverloadControllerTest, AServerThatAnnouncesNothingIsNotPaced)
{
    EXPECT_EQ(room(one_), 100);
    controller_->noteRefused(one_);
    EXPECT_TRUE(controller_->hasRoom(one_));
    EXPECT_EQ(controller_->pacedServers(), 0U);
}

TEST_F(OverloadControllerTest, AVmSendsItsShareOfWhatTheSlotsAllow)
{
    controller_->noteAnswer(one_, 5);
    room(one_);
    int sent = 0;
    for (int i = 0; i < 100; i++) {
        clock_.advance(milliseconds(10));
        sent += room(one_);
    }
    // 16 slots, 100 ms, 4 VMs: 40 a second for each if all slots are used.
    EXPECT_GT(sent, 20);
    EXPECT_LT(sent, 40);
}

TEST_F(OverloadControllerTest, ARefusalPausesTheServerForThisVm)
{
    controller_->noteAnswer(one_, 5);
    controller_->noteAnswer(two_, 5);
    const double before = controller_->ownRequestsPerSecond(one_);
    controller_->noteRefused(one_);
    EXPECT_LT(controller_->ownRequestsPerSecond(one_), before);
    EXPECT_EQ(controller_->ownRequestsPerSecond(two_), before);
    clock_.advance(pauseAfterRefusal({5, 4}) - milliseconds(1));
    EXPECT_FALSE(controller_->hasRoom(one_));
    EXPECT_TRUE(controller_->hasRoom(two_));
    clock_.advance(milliseconds(200));
    EXPECT_TRUE(controller_->hasRoom(one_));
}

TEST_F(OverloadControllerTest, TheRefusalsOfAllVmsStayWithinTheBound)
{
    for (const int perSecond : {1, 2, 5, 20}) {
        for (const std::size_t vms : {1U, 4U, 9U}) {
            const double pause = std::chrono::duration<double>(pauseAfterRefusal({perSecond, vms})).count();
            EXPECT_LE(static_cast<double>(vms) / pause, perSecond) << perSecond << " refusals, " << vms << " VMs";
        }
    }
}

// Guards against all VMs sending to a server that has just come back.
TEST_F(OverloadControllerTest, ANewInstanceOfTheServiceStartsSlowly)
{
    controller_->noteAnswer(one_, 5);
    EXPECT_TRUE(controller_->isPaced(two_));
    EXPECT_LE(room(two_), 1);
    EXPECT_LT(controller_->ownRequestsPerSecond(two_), controller_->ownRequestsPerSecond(one_) / 2);
}

TEST_F(OverloadControllerTest, AnAnswerWithoutTheAnnouncementEndsIt)
{
    controller_->noteAnswer(one_, 5);
    controller_->noteAnswer(one_, std::nullopt);
    EXPECT_EQ(room(one_), 100);
    EXPECT_FALSE(controller_->isPaced(two_));
}

TEST_F(OverloadControllerTest, AServerThatIsGoneIsForgotten)
{
    controller_->noteAnswer(one_, 5);
    unlisted_.insert(nameOne_);
    controller_->tick();
    EXPECT_EQ(controller_->pacedServers(), 0U);
    EXPECT_FALSE(controller_->isPaced(two_));
}

} // namespace

} // namespace cardamomlift::overload
