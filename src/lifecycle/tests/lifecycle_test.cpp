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
        lifecycle_->onDrain([this] { calledHandlers_ += "drain "; });
        lifecycle_->onStopAccepting([this] { calledHandlers_ += "stop-accepting "; });
        lifecycle_->onDrainDeadline([this] { calledHandlers_ += "deadline "; });
        lifecycle_->setReady();
    }

    void advance(Duration time)
    {
        for (Duration elapsed(0); elapsed < time; elapsed += 50ms) {
            clock_.advance(50ms);
            loop_->runDue();
        }
    }

    /// Whether the loop was told to stop. If so, run() returns before a message that is posted in a later iteration is handled.
    bool isStopped()
    {
        bool continued = false;
        loop_->post([&] {
            loop_->post([&] {
                continued = true;
                ev_break(loop_->raw(), EVBREAK_ALL);
            });
        });
        loop_->run();
        return !continued;
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<Lifecycle> lifecycle_;
    std::size_t open_ = 0;
    std::string calledHandlers_;
};

} // namespace

TEST_F(LifecycleTest, AcceptsWorkForAShortTimeAfterTheDrainBegan)
{
    lifecycle_->drain(10min);
    EXPECT_EQ(lifecycle_->phase(), Phase::Draining);
    EXPECT_TRUE(lifecycle_->acceptsWork());
    advance(900ms);
    EXPECT_TRUE(lifecycle_->acceptsWork());
    EXPECT_EQ(calledHandlers_, "drain ");
    advance(200ms);
    EXPECT_FALSE(lifecycle_->acceptsWork());
    EXPECT_EQ(calledHandlers_, "drain stop-accepting ");
}

TEST_F(LifecycleTest, AnIdleVmStopsOnlyAfterItHasStoppedAcceptingWork)
{
    lifecycle_->drain(10min);
    advance(500ms);
    EXPECT_FALSE(isStopped());
    advance(600ms);
    EXPECT_TRUE(isStopped());
}

TEST_F(LifecycleTest, OpenWorkIsAwaitedUntilTheDeadlineAndThenHandedOver)
{
    open_ = 1;
    lifecycle_->drain(20s);
    advance(19s);
    EXPECT_EQ(calledHandlers_, "drain stop-accepting ");
    advance(2s);
    EXPECT_EQ(calledHandlers_, "drain stop-accepting deadline ");
    EXPECT_FALSE(isStopped());
    open_ = 0;
    advance(100ms);
    EXPECT_TRUE(isStopped());
}

TEST_F(LifecycleTest, ARepeatedDrainCanOnlyBringTheDeadlineForward)
{
    open_ = 1;
    lifecycle_->drain(60s);
    lifecycle_->drain(10min);
    lifecycle_->drain(5s);
    advance(6s);
    EXPECT_EQ(calledHandlers_, "drain stop-accepting deadline ");
}

TEST_F(LifecycleTest, AVmThatWasNeverReadyAcceptsNoWork)
{
    const auto other = Lifecycle::create(*loop_);
    other->drain(1min);
    EXPECT_FALSE(other->acceptsWork());
}
