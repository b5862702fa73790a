#include "lifecycle/lifecycle.h"

#include <ev.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::lifecycle;
using namespace std::chrono_literals;

namespace {

class LifecycleTest : public testing::Test
{
protected:
    LifecycleTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        lifecycle_ = Lifecycle::create(*loop_);
        lifecycle_->addOpenWorkCounter("work", [this] { return open_; });
        lifecycle_->onDrain([this] { heard_ += "drain "; });
        lifecycle_->onStopAccepting([this] { heard_ += "last-work "; });
        lifecycle_->onDrainDeadline([this] { heard_ += "bound "; });
        lifecycle_->setReady();
    }

    void pass(Duration time)
    {
        for (Duration gone(0); gone < time; gone += 50ms) {
            clock_.advance(50ms);
            loop_->runDue();
        }
    }

    /// Whether the loop was told to stop: then run() returns before a message of a later turn.
    bool isStopped()
    {
        bool ranOn = false;
        loop_->post([&] {
            loop_->post([&] {
                ranOn = true;
                ev_break(loop_->raw(), EVBREAK_ALL);
            });
        });
        loop_->run();
        return !ranOn;
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<Lifecycle> lifecycle_;
    std::size_t open_ = 0;
    std::string heard_;
};

} // namespace

TEST_F(LifecycleTest, TakesWorkForAMomentAfterTheDrainBegan)
{
    lifecycle_->drain(10min);
    EXPECT_EQ(lifecycle_->phase(), Phase::Draining);
    EXPECT_TRUE(lifecycle_->acceptsWork());
    pass(900ms);
    EXPECT_TRUE(lifecycle_->acceptsWork());
    EXPECT_EQ(heard_, "drain ");
    pass(200ms);
    EXPECT_FALSE(lifecycle_->acceptsWork());
    EXPECT_EQ(heard_, "drain last-work ");
}

TEST_F(LifecycleTest, AnIdleVmStaysUntilItTakesNoMoreWork)
{
    lifecycle_->drain(10min);
    pass(500ms);
    EXPECT_FALSE(isStopped());
    pass(600ms);
    EXPECT_TRUE(isStopped());
}

TEST_F(LifecycleTest, OpenWorkIsWaitedForUpToTheBoundAndThenHandedOver)
{
    open_ = 1;
    lifecycle_->drain(20s);
    pass(19s);
    EXPECT_EQ(heard_, "drain last-work ");
    pass(2s);
    EXPECT_EQ(heard_, "drain last-work bound ");
    EXPECT_FALSE(isStopped());
    open_ = 0;
    pass(100ms);
    EXPECT_TRUE(isStopped());
}

TEST_F(LifecycleTest, ASecondDrainShortensTheBoundOnly)
{
    open_ = 1;
    lifecycle_->drain(60s);
    lifecycle_->drain(10min);
    lifecycle_->drain(5s);
    pass(6s);
    EXPECT_EQ(heard_, "drain last-work bound ");
}

TEST_F(LifecycleTest, AVmThatWasNeverReadyTakesNoWork)
{
    const auto other = Lifecycle::create(*loop_);
    other->drain(1min);
    EXPECT_FALSE(other->acceptsWork());
}
