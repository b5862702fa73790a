// Requests that a VM hands over, when something goes wrong on the way, or at the VM that takes them over.

#include "forwarding/tests/fakeallowancegate.h"
#include "forwarding/tests/vmfleettest.h"

#include <gtest/gtest.h>

namespace cardamomlift::forwarding {

namespace {

class FakeUsageMeter : public UsageMeter
{
public:
    void noteStarted(const std::string &) override
    {
        started++;
    }

    int started = 0;
};

class RelayFaults : public VmFleetTest
{
protected:
    RelayFaults()
    {
        for (const auto &vm : vms_) {
            allowances_.push_back(std::make_shared<FakeAllowanceGate>());
            usage_.push_back(std::make_shared<FakeUsageMeter>());
            vm->tools.allowances = allowances_.back();
            vm->tools.usage = usage_.back();
            start(*vm);
        }
        // By then each VM has been granted the retries that it may save up.
        clock_.advance(ForwardingSettings().retryWindow);
        tick();
    }

    /// Lets the loop run until the request has ended, with a clock that stands still.
    void waitEnded(TestRequest &request)
    {
        EXPECT_TRUE(runUntil([&] { return request.hasEnded(); }));
    }

    std::size_t runsAtBackends() const
    {
        std::size_t sum = 0;
        for (const auto &[instance, backend] : backends_) {
            sum += backend->heads.size();
        }
        return sum;
    }

    int cancelled() const
    {
        int sum = 0;
        for (const auto &[instance, backend] : backends_) {
            sum += backend->cancelled;
        }
        return sum;
    }

    void setDelay(Duration delay)
    {
        for (const auto &[instance, backend] : backends_) {
            backend->delay = delay;
            backend->eventGap = delay;
        }
    }

    /// The VM that serves the request that was handed over last.
    std::size_t helperOf(const TestRequest &request) const
    {
        for (std::size_t i = 0; i < vms_.size(); i++) {
            if (vms_[i]->logLines.find("\"event\":\"request_taken_over\",\"vm\":\"" + vms_[i]->name) != std::string::npos
                && vms_[i]->logLines.rfind(request.id) != std::string::npos && vms_[i]->logLines.find("request_dispatched") != std::string::npos) {
                return i;
            }
        }
        ADD_FAILURE() << "no VM has taken the request over";
        return 0;
    }

    std::int64_t allowanceTaken() const
    {
        std::int64_t sum = 0;
        for (const auto &gate : allowances_) {
            sum += gate->taken;
        }
        return sum;
    }

    int usageStarted() const
    {
        int sum = 0;
        for (const auto &meter : usage_) {
            sum += meter->started;
        }
        return sum;
    }

    static int statusOf(TestRequest &request)
    {
        const std::string &received = request.client->received();
        return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3));
    }

    std::vector<std::shared_ptr<FakeAllowanceGate>> allowances_;
    std::vector<std::shared_ptr<FakeUsageMeter>> usage_;
};

TEST_F(RelayFaults, ARequestIsCountedOnceWhoeverServesIt)
{
    clock_.pause();
    cutOff(0, 0);
    for (const char *path : {"/safe/", "/once/", "/resumed/", "/stream/"}) {
        TestRequest &request = send(0, path);
        waitEnded(request);
        EXPECT_TRUE(request.isServed()) << path;
    }
    EXPECT_EQ(allowanceTaken(), 4);
    EXPECT_EQ(usageStarted(), 4);
    EXPECT_EQ(allowances_[0]->taken, 0);
}

// Guards against a request that is counted at both VMs, as it is handed over after a server could not be reached.
TEST_F(RelayFaults, ARequestThatWasCountedBeforeItIsHandedOverIsNotCountedAgain)
{
    clock_.pause();
    cut(*vms_[0], Cut::Reset);
    TestRequest &request = send(0, "/once/");
    waitEnded(request);
    EXPECT_TRUE(request.isServed());
    EXPECT_EQ(allowanceTaken(), 1);
    EXPECT_EQ(usageStarted(), 1);
    EXPECT_EQ(runsOf(request.id), 1);
}

// Guards against an allowance that is taken for a request that no VM serves.
TEST_F(RelayFaults, ARequestThatNobodyServesIsNotCounted)
{
    clock_.pause();
    for (const auto &[instance, backend] : backends_) {
        backend->refusals = 1000;
    }
    cut(*vms_[0], Cut::Reset);
    TestRequest &request = send(0, "/once/");
    waitEnded(request);
    EXPECT_EQ(statusOf(request), 503);
    EXPECT_NE(request.client->received().find("Retry-After"), std::string::npos);
    EXPECT_EQ(request.client->received().find("Cardamomlift"), std::string::npos) << "the mark is for entry VMs only";
    EXPECT_EQ(allowanceTaken(), 0);
}

// Guards against a stream that a server has broken off and that is taken for complete by the VM that has handed the request over, or by the one that
// serves it.
TEST_F(RelayFaults, AStreamThatIsBrokenOffBehindAHandOverIsNotComplete)
{
    clock_.pause();
    cutOff(0, 0);
    for (const auto &[instance, backend] : backends_) {
        backend->breaksInOrder = true;
        backend->breakAfter = 2;
    }
    TestRequest &single = send(0, "/stream/");
    waitEnded(single);
    EXPECT_FALSE(single.isServed());
    EXPECT_NE(single.client->received().find("data: 2\n\n"), std::string::npos);
    EXPECT_EQ(single.client->received().find("data: 3"), std::string::npos);
    TestRequest &resumed = send(0, "/resumed/");
    waitEnded(resumed);
    EXPECT_EQ(runsOf(resumed.id), 2);
    EXPECT_FALSE(resumed.isServed()) << "both runs broke off inside the third event";
    EXPECT_EQ(resumed.client->received().find("data: 3"), std::string::npos);
}

// Guards against requests that go in circles between VMs that think well of each other.
TEST_F(RelayFaults, VmsThatAreAllCutOffAskEachOtherOnceAndRefuse)
{
    clock_.pause();
    cutOff(0, 4);
    for (const auto &vm : vms_) {
        vm->status.reachesNoServer = false;
        vm->status.sinceServerContact = Duration(0);
    }
    TestRequest &request = send(0, "/once/");
    waitEnded(request);
    EXPECT_EQ(statusOf(request), 503);
    EXPECT_NE(request.client->received().find("Retry-After"), std::string::npos);
    int takenOver = 0;
    for (const auto &vm : vms_) {
        for (std::size_t at = vm->logLines.find("request_taken_over"); at != std::string::npos; at = vm->logLines.find("request_taken_over", at + 1)) {
            takenOver++;
        }
    }
    EXPECT_EQ(takenOver, 4) << "each of the others once";
    EXPECT_EQ(runsAtBackends(), 0U);
}

TEST_F(RelayFaults, TheOnlyVmThatReachesServersServesAll)
{
    cutOff(0, 3);
    load(milliseconds(2000), "/once/");
    pass(milliseconds(500));
    const Served all = countServed(0, 4);
    EXPECT_EQ(all.served, all.sent);
    EXPECT_EQ(mostRuns(), 1);
}

// Guards against the word of a caller being taken for that of an entry VM, and against it reaching a server.
TEST_F(RelayFaults, ACallerCantSetWhatVmsSayToEachOther)
{
    clock_.pause();
    const std::string field = "Cardamomlift-Relay: 0;1;1;caller\r\n";
    TestRequest &direct = send(1, "/once/", field);
    waitEnded(direct);
    EXPECT_TRUE(direct.isServed());
    cutOff(0, 0);
    TestRequest &relayed = send(0, "/once/", field);
    waitEnded(relayed);
    EXPECT_TRUE(relayed.isServed());
    EXPECT_EQ(allowanceTaken(), 2) << "both are counted, whatever the caller says";
    for (const auto &[instance, backend] : backends_) {
        for (const http1::RequestHead &head : backend->heads) {
            EXPECT_FALSE(head.fields.has("Cardamomlift-Relay"));
        }
    }
}

// Guards against a second run of a request whose first outcome is not known.
TEST_F(RelayFaults, ARequestThatMayRunOnceIsNotRepeatedWhenTheOtherVmEnds)
{
    setDelay(milliseconds(500));
    cutOff(0, 0);
    TestRequest &request = send(0, "/once/");
    pass(milliseconds(200));
    vms_[helperOf(request)]->peerLink->reset();
    pass(milliseconds(1500));
    EXPECT_EQ(statusOf(request), 502);
    EXPECT_EQ(runsOf(request.id), 1);
}

TEST_F(RelayFaults, ARequestThatMayRunAgainGoesToAThirdVmWhenTheOtherVmEnds)
{
    setDelay(milliseconds(500));
    cutOff(0, 0);
    TestRequest &request = send(0, "/safe/");
    pass(milliseconds(200));
    vms_[helperOf(request)]->peerLink->reset();
    pass(milliseconds(1500));
    EXPECT_TRUE(request.isServed());
}

// Guards against lost and repeated events of a stream that goes on through another VM.
TEST_F(RelayFaults, AStreamThatMayBeResumedGoesOnThroughAThirdVm)
{
    for (const auto &[instance, backend] : backends_) {
        backend->events = 8;
        backend->eventGap = milliseconds(100);
    }
    cutOff(0, 0);
    TestRequest &request = send(0, "/resumed/");
    pass(milliseconds(450));
    vms_[helperOf(request)]->peerLink->reset();
    pass(milliseconds(3000));
    ASSERT_TRUE(request.isServed());
    const std::string &received = request.client->received();
    std::size_t at = 0;
    for (int i = 1; i <= 8; i++) {
        at = received.find(fmt::format("data: {}\n", i), at);
        ASSERT_NE(at, std::string::npos) << "event " << i;
    }
    EXPECT_EQ(received.find("data: 3\n", received.find("data: 3\n") + 1), std::string::npos) << "an event came twice";
    EXPECT_EQ(usageStarted(), 1);
}

TEST_F(RelayFaults, AStreamThatMayNotBeResumedEndsWithItsVmAndDoesNotLookComplete)
{
    setDelay(milliseconds(200));
    cutOff(0, 0);
    TestRequest &request = send(0, "/stream/");
    pass(milliseconds(300));
    vms_[helperOf(request)]->peerLink->reset();
    pass(milliseconds(1500));
    EXPECT_TRUE(request.hasEnded());
    EXPECT_FALSE(request.isServed());
    EXPECT_EQ(runsOf(request.id), 1);
}

// Guards against callers who wait for a VM that is suspended, or cut off from this one as well.
TEST_F(RelayFaults, AVmThatSendsNothingIsLeftForAnotherIfTheRequestMayRunAgain)
{
    setDelay(milliseconds(100));
    cutOff(0, 0);
    TestRequest &first = send(0, "/safe/");
    pass(milliseconds(500));
    ASSERT_TRUE(first.isServed());
    vms_[helperOf(first)]->peerLink->hang();
    load(milliseconds(500), "/safe/");
    pass(milliseconds(5500));
    const Served all = countServed(0, 0);
    EXPECT_EQ(all.served, all.sent);
}

// Guards against a VM that accepts no connections being asked again and again.
TEST_F(RelayFaults, AVmThatAcceptsNoConnectionIsPassedOver)
{
    cutOff(0, 0);
    vms_[1]->peerLink->reset();
    vms_[2]->peerLink->hang();
    load(milliseconds(2000), "/once/");
    pass(milliseconds(1500));
    const Served all = countServed(0, 0);
    EXPECT_EQ(all.served, all.sent);
    EXPECT_EQ(mostRuns(), 1);
}

TEST_F(RelayFaults, AVmThatDrainsIsPassedOver)
{
    clock_.pause();
    cutOff(0, 0);
    for (std::size_t i = 1; i < vms_.size() - 1; i++) {
        vms_[i]->forwarder->beginDrain(loop_->now());
    }
    clock_.advance(std::chrono::seconds(3));
    tick();
    for (int i = 0; i < 8; i++) {
        TestRequest &request = send(0, "/once/");
        waitEnded(request);
        EXPECT_TRUE(request.isServed()) << "the last VM does not drain";
        clock_.advance(milliseconds(200));
        tick();
    }
}

// Guards against a manifest that is older than what a caller of the VM has seen already.
TEST_F(RelayFaults, AVmWithAnOlderManifestDoesNotServeTheRequest)
{
    clock_.pause();
    cutOff(0, 0);
    for (const std::size_t newer : {0, 3}) {
        vms_[newer]->manifests->update(testManifest(2));
        vms_[newer]->manifests->confirm(loop_->now());
    }
    // The statuses do not say so yet.
    for (const auto &vm : vms_) {
        vm->status.manifestVersion = 2;
    }
    TestRequest &request = send(0, "/once/");
    waitEnded(request);
    EXPECT_TRUE(request.isServed());
    EXPECT_NE(vms_[3]->logLines.find("request_dispatched"), std::string::npos);
    for (const std::size_t older : {1, 2, 4}) {
        EXPECT_EQ(vms_[older]->logLines.find("request_dispatched"), std::string::npos) << older;
    }
}

// Guards against a second run of a stream that has been moved to a server which this VM can't reach: another VM would start it anew.
TEST_F(RelayFaults, AMovedRunIsNotHandedOver)
{
    for (const auto &[instance, backend] : backends_) {
        backend->events = 30;
        backend->eventGap = milliseconds(100);
    }
    TestRequest &request = send(0, "/stream/");
    pass(milliseconds(400));
    std::string source;
    for (const auto &[instance, backend] : backends_) {
        source = backend->runs.contains(request.id) ? instance : source;
    }
    for (const auto &[instance, link] : vms_[0]->links) {
        if (instance != source) {
            link->reset();
        }
    }
    directory::BackendServer server = vms_[0]->directory->find(source)->server;
    server.state = directory::ServerState::Draining;
    server.isReclaimable = true;
    server.endsAt = loop_->now() + milliseconds(500);
    vms_[0]->directory->put(std::move(server));
    pass(milliseconds(4500));
    EXPECT_TRUE(request.hasEnded());
    EXPECT_EQ(runsOf(request.id), 1);
}

// Guards against a request that each VM repeats as often as its route allows.
TEST_F(RelayFaults, ARequestRunsOnNoMoreServersThanItsRouteAllowsWhoeverRepeatsIt)
{
    for (const auto &[instance, backend] : backends_) {
        backend->events = 8;
        backend->breakAfter = 1;
    }
    cutOff(0, 0);
    for (const char *path : {"/resumed/", "/safe/"}) {
        TestRequest &request = send(0, path);
        pass(milliseconds(1500));
        EXPECT_TRUE(request.hasEnded());
        EXPECT_EQ(runsOf(request.id), 2) << path;
    }
}

// Guards against repeats that are earned at each VM that a request comes to.
TEST_F(RelayFaults, ARequestThatIsTakenOverEarnsNoRepeats)
{
    TestVm &vm = *vms_[0];
    vm.tools.settings.retrySlack = 2;
    start(vm);
    clock_.advance(ForwardingSettings().retryWindow);
    tick();
    for (const auto &[instance, backend] : backends_) {
        backend->refusals = 1000;
    }
    constexpr int Requests = 20;
    for (int i = 0; i < Requests; i++) {
        http1::RawClient peer(vm.peers->port());
        peer.send(fmt::format("POST /once/ HTTP/1.1\r\nHost: a\r\nConnection: close\r\nX-Attempt-Id: id-{}\r\nX-Credential: key\r\nX-Deadline-Ms: 4000\r\n"
                              "Cardamomlift-Relay: 1;0;0;vm-1\r\nContent-Length: 4\r\n\r\nbody",
            i));
        EXPECT_TRUE(runUntil([&] { return peer.hasEnded(); }));
    }
    // One repeat is saved up with the age of the process.
    EXPECT_LE(runsAtBackends(), Requests + 1U);
}

// Guards against repeats that no budget counts: each VM that is asked would offer the request to a server.
TEST_F(RelayFaults, WhatAServerHasRefusedIsNotOfferedToOtherVms)
{
    for (const auto &vm : vms_) {
        vm->tools.settings.retrySlack = 2;
        start(*vm);
    }
    for (const auto &[instance, backend] : backends_) {
        backend->refusals = 1000;
        if (instance != "server-0") {
            vms_[0]->links[instance]->reset();
        }
    }
    constexpr int Requests = 40;
    for (int i = 0; i < Requests; i++) {
        send(0, "/once/");
        pass(milliseconds(100));
    }
    pass(milliseconds(1500));
    // Each VM may save up one repeat.
    EXPECT_LE(runsAtBackends(), static_cast<std::size_t>(Requests * (1 + ForwardingSettings().retryRatio)) + Vms);
}

// Guards against servers that work for a caller who has left.
TEST_F(RelayFaults, ACallerWhoLeavesIsNoticedAtTheServer)
{
    setDelay(std::chrono::seconds(2));
    cutOff(0, 0);
    for (const char *path : {"/once/", "/stream/"}) {
        TestRequest &request = send(0, path);
        pass(milliseconds(300));
        request.client->close();
        const int before = cancelled();
        pass(milliseconds(200));
        EXPECT_EQ(cancelled(), before + 1) << path;
    }
}

// Guards against servers that are handed more time than their caller waits.
TEST_F(RelayFaults, TheTimeLeftIsHandedOn)
{
    setDelay(std::chrono::seconds(10));
    cutOff(0, 0);
    TestRequest &request = send(0, "/once/");
    pass(milliseconds(4200));
    EXPECT_EQ(statusOf(request), 504);
    for (const auto &[instance, backend] : backends_) {
        for (const http1::RequestHead &head : backend->heads) {
            EXPECT_LE(std::stoi(std::string(head.fields.get("X-Deadline-Ms"))), 4000);
        }
    }
    EXPECT_EQ(cancelled(), 1);
}

// Guards against a cut that is seen in servers that all crash and start again.
TEST_F(RelayFaults, ServersThatAllStartAgainAreNotTakenForACut)
{
    load(milliseconds(500), "/safe/");
    for (const auto &vm : vms_) {
        cut(*vm, Cut::Reset);
    }
    load(milliseconds(1500), "/safe/");
    for (const auto &vm : vms_) {
        heal(*vm);
    }
    pass(milliseconds(3000));
    const TimePoint back = loop_->now();
    load(milliseconds(1000), "/safe/");
    pass(milliseconds(500));
    const Served after = countServed(0, 4, back);
    EXPECT_EQ(after.served, after.sent);
}

// Guards against requests that are written to connections that ended during the cut, unnoticed: their outcome is unknown.
TEST_F(RelayFaults, AfterACutConnectionsFromBeforeItAreNotUsed)
{
    setDelay(milliseconds(100));
    pass(milliseconds(1000), [&] {
        for (int i = 0; i < 4; i++) {
            send(0, "/once/");
        }
    });
    pass(milliseconds(300));
    cut(*vms_[0], Cut::Hang);
    vms_[0]->tools.reachability->noteSilent();
    pass(milliseconds(1500));
    for (const auto &[instance, link] : vms_[0]->links) {
        link->openWithDeadConnections();
    }
    const TimePoint back = loop_->now();
    load(milliseconds(4000), "/once/");
    pass(milliseconds(1000));
    const Served after = countServed(0, 0, back);
    EXPECT_EQ(after.served, after.sent);
}

// Guards against requests that are sent into a cut each time it comes back.
TEST_F(RelayFaults, CutsThatComeAndGoEachSecondDoNotKeepCallersFromBeingServed)
{
    cutOff(0, 0);
    const TimePoint from = loop_->now();
    for (int i = 0; i < 4; i++) {
        heal(*vms_[0]);
        load(milliseconds(1000), "/safe/");
        cut(*vms_[0], Cut::Reset);
        load(milliseconds(1000), "/safe/");
    }
    const TimePoint until = loop_->now();
    pass(milliseconds(1500));
    const Served all = countServed(0, 0, from, until);
    EXPECT_EQ(all.served, all.sent);
}

// Guards against a VM that reaches a part of the servers only and sends all to these.
TEST_F(RelayFaults, AVmThatReachesOneServerAloneServesItsCallers)
{
    load(milliseconds(300), "/once/");
    for (const auto &[instance, link] : vms_[0]->links) {
        if (instance != "server-5") {
            link->hang();
        }
    }
    const TimePoint cutAt = loop_->now();
    load(milliseconds(6000), "/once/");
    const TimePoint until = loop_->now();
    pass(milliseconds(1500));
    const Served known = countServed(0, 0, cutAt + CutKnownAfter, until);
    EXPECT_EQ(known.served, known.sent);
    EXPECT_EQ(mostRuns(), 1);
}

} // namespace

} // namespace cardamomlift::forwarding
