#include "forwarding/tests/vmfleettest.h"

namespace cardamomlift::forwarding {

namespace {

/// The first of five VMs can't keep up: its loop runs 400 ms late.
class BusyVm : public VmFleetTest
{
protected:
    BusyVm()
    {
        vmload::LoopMonitorTools tools;
        tools.loop = lateLoop_.get();
        tools.log = vms_[0]->log;
        tools.tightestGoal = [] {
            return Duration(milliseconds(400));
        };
        tools.otherLags = [this] {
            return std::vector<Duration>(Vms - 1, othersLag_);
        };
        vms_[0]->tools.vmLoad = vmload::LoopMonitor::start(std::move(tools));
        start(*vms_[0]);
        tick();
    }

    ~BusyVm() override
    {
        // The VM's tools outlive the late loop.
        vms_[0]->tools.vmLoad.reset();
        vms_[0]->forwarder.reset();
    }

    void runLate()
    {
        for (int i = 0; i < 60; i++) {
            lateClock_.advance(milliseconds(500));
            lateLoop_->runDue();
        }
        for (std::size_t i = 1; i < Vms; i++) {
            vms_[i]->loopLag = othersLag_;
        }
    }

    std::uint64_t handedOver(std::size_t vm) const
    {
        return vms_[vm]->tools.metrics->counter("requests_handed_over_busy_total");
    }

    Duration othersLag_ = milliseconds(5);
    ManualClock lateClock_;
    std::unique_ptr<EventLoop> lateLoop_ = std::move(EventLoop::create(lateClock_).value());
};

// One VM of five runs at a fifth of the speed of the others.
TEST_F(BusyVm, HandsAPartOfItsPlainRequestsOverAndAllAreServedOnce)
{
    load(milliseconds(500), "/once/");
    EXPECT_EQ(handedOver(0), 0U) << "not late yet";
    runLate();
    load(milliseconds(3000), "/once/");
    pass(milliseconds(500));
    EXPECT_TRUE(runUntil([&] {
        const Served all = countServed(0, Vms - 1);
        return all.served == all.sent;
    }));
    EXPECT_EQ(mostRuns(), 1);
    EXPECT_GT(handedOver(0), 10U);
    EXPECT_LT(handedOver(0), 50U) << "of 60";
    EXPECT_NE(vms_[0]->logLines.find(R"("event":"vm_busy")"), std::string::npos);
    EXPECT_NE(vms_[0]->logLines.find(R"("reason":"busy")"), std::string::npos);
}

// All VMs run late alike.
TEST_F(BusyVm, HandsNothingOverWhereTheOthersRunLateToo)
{
    othersLag_ = milliseconds(300);
    runLate();
    load(milliseconds(1000), "/once/");
    EXPECT_EQ(handedOver(0), 0U);
}

// The events of a stream would cost both VMs as much as one.
TEST_F(BusyVm, KeepsItsStreams)
{
    runLate();
    load(milliseconds(1000), "/stream/");
    EXPECT_EQ(handedOver(0), 0U);
}

} // namespace

} // namespace cardamomlift::forwarding
