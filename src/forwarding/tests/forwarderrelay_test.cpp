// What callers of an entry VM get that is cut off from all backend servers while other VMs reach them.

#include "forwarding/tests/vmfleettest.h"

#include <gtest/gtest.h>

#include <tuple>

namespace cardamomlift::forwarding {

namespace {

constexpr std::size_t LastCutVm = 2;
constexpr std::size_t LastVm = 4;

using Cut = VmFleetTest::Cut;

/// The parameters are the kind of cut and the path, one of each kind of route.
class CutOffVms : public VmFleetTest, public testing::WithParamInterface<std::tuple<VmFleetTest::Cut, std::string>>
{
protected:
    void cutThree()
    {
        for (std::size_t i = 0; i <= LastCutVm; i++) {
            cut(*vms_[i], std::get<Cut>(GetParam()));
        }
        cutAt_ = loop_->now();
    }

    void healAll()
    {
        for (const auto &vm : vms_) {
            heal(*vm);
        }
    }

    const std::string &path() const
    {
        return std::get<std::string>(GetParam());
    }

    bool mayRunAgain() const
    {
        return path() == "/safe/" || path() == "/resumed/";
    }

    TimePoint cutAt_;
};

// Guards against VMs that refuse what they can't send to a server themselves, while other VMs reach the servers.
TEST_P(CutOffVms, TheirCallersAreServedThroughOtherVms)
{
    load(milliseconds(1000), path());
    cutThree();
    load(milliseconds(6000), path());
    const TimePoint end = loop_->now();
    pass(milliseconds(1500));
    const Served known = countServed(0, LastCutVm, cutAt_ + CutKnownAfter, end);
    const Served others = countServed(LastCutVm + 1, LastVm, cutAt_, end);
    EXPECT_EQ(known.served, known.sent);
    EXPECT_EQ(others.served, others.sent) << "at VMs that reach all servers";
    if (!mayRunAgain()) {
        EXPECT_EQ(mostRuns(), 1);
    }
}

// Guards against a bound that holds for one share of cut VMs only: first two of five, then four.
TEST_P(CutOffVms, CallersAreServedWithTwoAndWithMostVmsCutOff)
{
    load(milliseconds(500), path());
    for (const std::size_t lastCut : {1, 3}) {
        for (std::size_t i = 0; i <= lastCut; i++) {
            cut(*vms_[i], std::get<Cut>(GetParam()));
        }
        const TimePoint cutAt = loop_->now();
        load(milliseconds(4500), path());
        const TimePoint end = loop_->now();
        pass(milliseconds(1500));
        const Served known = countServed(0, lastCut, cutAt + CutKnownAfter, end);
        EXPECT_EQ(known.served, known.sent) << lastCut + 1 << " of five";
        healAll();
        pass(milliseconds(4000));
    }
    if (!mayRunAgain()) {
        EXPECT_EQ(mostRuns(), 1);
    }
}

// Guards against VMs whose open connections to servers live on, but are too few for their callers.
TEST_P(CutOffVms, MoreCallersThanOpenConnectionsAreServed)
{
    for (const auto &[instance, backend] : backends_) {
        backend->delay = milliseconds(400);
        backend->eventGap = milliseconds(150);
    }
    load(milliseconds(200), path());
    pass(milliseconds(800));
    cutThree();
    pass(milliseconds(5000), [&] {
        for (std::size_t vm = 0; vm < Vms; vm++) {
            send(vm, path());
            send(vm, path());
        }
    });
    const TimePoint end = loop_->now();
    pass(milliseconds(1500));
    const Served known = countServed(0, LastCutVm, cutAt_ + CutKnownAfter, end);
    EXPECT_EQ(known.served, known.sent);
    if (!mayRunAgain()) {
        EXPECT_EQ(mostRuns(), 1);
    }
}

// Guards against sound servers that are shunned, here or at other VMs, because a VM that is cut off has failed to reach them.
TEST_P(CutOffVms, TheirFailuresAreNotHeldAgainstServers)
{
    load(milliseconds(1000), path());
    cutThree();
    load(milliseconds(2500), path());
    for (std::size_t vm = LastCutVm + 1; vm <= LastVm; vm++) {
        EXPECT_EQ(vms_[vm]->logLines.find("server_avoided"), std::string::npos) << vms_[vm]->name;
    }
    healAll();
    pass(milliseconds(750));
    for (const auto &[instance, backend] : backends_) {
        EXPECT_FALSE(vms_[0]->tools.outliers->isOutlier(presence::nameHash(instance), "service")) << instance;
    }
}

// Guards against VMs that go on without the servers that they reach again.
TEST_P(CutOffVms, AfterTheCutTheySendToServersThemselves)
{
    load(milliseconds(500), path());
    cutThree();
    load(milliseconds(3000), path());
    healAll();
    pass(milliseconds(4000));
    const TimePoint healed = loop_->now();
    load(milliseconds(1000), path());
    const TimePoint end = loop_->now();
    pass(milliseconds(500));
    const Served after = countServed(0, LastVm, healed, end);
    EXPECT_EQ(after.served, after.sent);
}

INSTANTIATE_TEST_SUITE_P(Routes,
    CutOffVms,
    testing::Combine(testing::Values(Cut::Hang, Cut::Reset, Cut::RefuseNew), testing::Values("/safe/", "/once/", "/resumed/", "/stream/")),
    [](const auto &param) {
        const Cut how = std::get<Cut>(param.param);
        const std::string name = how == Cut::Hang ? "Hang" : how == Cut::Reset ? "Reset" : "RefuseNew";
        const std::string &path = std::get<std::string>(param.param);
        return name + "_" + path.substr(1, path.size() - 2);
    });

} // namespace

} // namespace cardamomlift::forwarding
