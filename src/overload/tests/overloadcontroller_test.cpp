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
        tools.instance = "vm-1";
        tools.storeNow = [this] {
            return std::optional(clock_.now().time_since_epoch());
        };
        tools.vms = [] {
            return std::vector<std::string>{"vm-1", "vm-2", "vm-3", "vm-4"};
        };
        tools.isListed = [this](const std::string &instance) {
            return !unlisted_.contains(instance);
        };
        controller_ = OverloadController::create(std::move(tools));
        controller_->noteServed(one_, ServiceTime);
    }

    /// Requests that this VM may have open now.
    int room(const ServerKey &server)
    {
        int open = 0;
        while (open < 100 && controller_->hasRoom(server, open)) {
            open++;
        }
        return open;
    }

    /// The most and the sum of the room over some turns, at their begin.
    std::pair<int, int> roomOverTurns(const ServerKey &server)
    {
        const Duration length = turnLength(ServiceTime);
        int most = 0;
        int sum = 0;
        for (int i = 0; i < Turns; i++) {
            clock_.advance(turnAt(clock_.now().time_since_epoch(), length).left);
            most = std::max(most, room(server));
            sum += room(server);
        }
        return {most, sum};
    }

    static constexpr int Turns = 40;
    static constexpr Duration ServiceTime = milliseconds(100);
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

TEST_F(OverloadControllerTest, AServerThatAnnouncesNothingIsNotLimited)
{
    EXPECT_EQ(room(one_), 100);
    controller_->noteRefused(one_);
    EXPECT_TRUE(controller_->hasRoom(one_, 99));
    EXPECT_EQ(controller_->managedServers(), 0U);
}

TEST_F(OverloadControllerTest, AVmUsesItsShareOfTheSlots)
{
    controller_->noteAnswer(one_, 5);
    const auto [most, sum] = roomOverTurns(one_);
    EXPECT_LT(most, 12);
    // 12 of 16 slots, for four VMs.
    EXPECT_NEAR(sum, 3 * Turns, Turns);
}

// Guards against VMs that together use more slots than there are.
TEST_F(OverloadControllerTest, EachSlotBelongsToOneVm)
{
    const std::vector<std::uint64_t> vms{11, 22, 33};
    for (std::int64_t turn = 0; turn < 100; turn++) {
        int sum = 0;
        for (const std::uint64_t vm : vms) {
            sum += ownedSlots(vms, vm, 7, 16, turn);
        }
        EXPECT_EQ(sum, 16);
    }
}

TEST_F(OverloadControllerTest, NothingStartsThatWouldNotEndInItsTurn)
{
    controller_->noteAnswer(one_, 5);
    const Duration length = turnLength(ServiceTime);
    for (int i = 0; i < Turns; i++) {
        clock_.advance(turnAt(clock_.now().time_since_epoch(), length).left - ServiceTime / 2);
        EXPECT_EQ(room(one_), 0);
        clock_.advance(ServiceTime);
    }
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
    EXPECT_EQ(room(one_), 0);
    clock_.advance(milliseconds(2));
    EXPECT_GT(roomOverTurns(one_).first, 0);
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
    EXPECT_TRUE(controller_->isManaged(two_));
    EXPECT_LT(controller_->ownRequestsPerSecond(two_), controller_->ownRequestsPerSecond(one_));
    EXPECT_LE(room(two_), 3);
}

TEST_F(OverloadControllerTest, AnAnswerWithoutTheAnnouncementEndsIt)
{
    controller_->noteAnswer(one_, 5);
    controller_->noteAnswer(one_, std::nullopt);
    EXPECT_EQ(room(one_), 100);
    EXPECT_FALSE(controller_->isManaged(two_));
}

TEST_F(OverloadControllerTest, AServerThatIsGoneIsForgotten)
{
    controller_->noteAnswer(one_, 5);
    unlisted_.insert(nameOne_);
    controller_->tick();
    EXPECT_EQ(controller_->managedServers(), 0U);
    EXPECT_FALSE(controller_->isManaged(two_));
}

// Guards against requests that all VMs refuse near the end of a turn although the next one has room.
TEST_F(OverloadControllerTest, TellsWhenTheNextTurnHasRoomWhereOnlyTheEndOfThisOneLeavesNone)
{
    EXPECT_FALSE(controller_->untilNextTurn(one_)) << "it has announced nothing";
    controller_->noteAnswer(one_, 5);
    const Duration length = turnLength(ServiceTime);
    int told = 0;
    for (int i = 0; i < Turns; i++) {
        clock_.advance(turnAt(clock_.now().time_since_epoch(), length).left);
        EXPECT_FALSE(controller_->untilNextTurn(one_));
        clock_.advance(length - ServiceTime / 2);
        EXPECT_EQ(room(one_), 0);
        const auto wait = controller_->untilNextTurn(one_);
        if (!wait) {
            continue;
        }
        told++;
        EXPECT_EQ(*wait, ServiceTime / 2);
        clock_.advance(*wait);
        EXPECT_GT(room(one_), 0);
    }
    EXPECT_GT(told, Turns / 2);
}

} // namespace

} // namespace cardamomlift::overload
