#pragma once

#include "duties/autoscaler.h"
#include "duties/leaderlease.h"
#include "duties/usagereporter.h"
#include "rows/memoryrowstore.h"

#include <gtest/gtest.h>

namespace cardamomlift::duties {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline constexpr Duration Lease = seconds(3);

/// Delivers datagrams to all connected VMs; by default to none, so that the VMs coordinate through the store only.
class TestDatagrams : public presence::DatagramSocket
{
public:
    void send(const http1::Endpoint &, std::string_view bytes) override
    {
        last = bytes;
        for (TestDatagrams *peer : connected) {
            peer->handler(bytes);
        }
    }

    void onDatagram(Handler handler_) override
    {
        handler = std::move(handler_);
    }

    std::string last; ///< The last datagram that was sent.
    Handler handler;
    std::vector<TestDatagrams *> connected; ///< The receivers; a VM ignores a datagram from a sender that is not its peer.
};

/// The calls that the platform has received from all VMs.
struct PlatformRecord {
    std::map<std::int64_t, std::vector<UsageReport>> reports;
    std::vector<std::uint64_t> fences;
    std::vector<ServerOrder> orders;
    bool losesAnswers = false;
    bool isReclaimableUnavailable = false; ///< Reclaimable servers are refused.
};

class RecordingApi : public LeaderApi
{
public:
    RecordingApi(EventLoop &loop, PlatformRecord &record)
        : loop_(loop)
        , record_(record)
    {
    }

    void reportUsage(std::uint64_t fence, const UsageReport &report, LeaderCallHandler handler) override
    {
        record_.reports[report.window].push_back(report);
        record_.fences.push_back(fence);
        loop_.post([handler = std::move(handler), lost = record_.losesAnswers] { handler(lost ? LeaderCallOutcome::Failed : LeaderCallOutcome::Done); });
    }

    void orderServers(std::uint64_t, const ServerOrder &order, LeaderCallHandler handler) override
    {
        record_.orders.push_back(order);
        const bool isRefused = order.isReclaimable && record_.isReclaimableUnavailable;
        loop_.post([handler = std::move(handler), isRefused] { handler(isRefused ? LeaderCallOutcome::Refused : LeaderCallOutcome::Done); });
    }

private:
    EventLoop &loop_;
    PlatformRecord &record_;
};

/// One VM, with a store client of its own so that it alone can be cut off from the store.
struct Vm {
    std::shared_ptr<rows::MemoryRowStore> store;
    std::shared_ptr<TestDatagrams> datagrams;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<presence::ClusterClock> time;
    std::shared_ptr<usage::UsageCounter> usage;
    std::shared_ptr<LeaderLease> lease;
    std::shared_ptr<UsageReporter> reporter;
};

class DutiesTest : public testing::Test
{
protected:
    DutiesTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        log_ = eventlog::EventLog::create(clock_, "test", [](std::string_view) { return true; });
        manifests_ = manifest::ManifestCache::create();
        manifest::Manifest manifest;
        manifest.version = 1;
        manifest.customers.resize(1);
        manifest.customers[0].name = "customer";
        manifests_->update(std::move(manifest));
    }

    Vm start(const std::string &instance)
    {
        Vm vm;
        vm.store = rows::MemoryRowStore::create(*loop_, rows_);
        presence::PresenceTools presenceTools;
        presenceTools.loop = loop_.get();
        presenceTools.store = vm.store;
        vm.datagrams = std::make_shared<TestDatagrams>();
        presenceTools.socket = vm.datagrams;
        presenceTools.log = log_;
        presenceTools.instance = instance;
        presenceTools.endpoint = {"10.0.0.1", 1};
        presenceTools.incarnation = ++incarnations_;
        vm.presence = presence::Presence::start(std::move(presenceTools));
        vm.time = presence::ClusterClock::create(*loop_, vm.store, vm.presence);
        vm.usage = usage::UsageCounter::create(vm.presence, vm.time, seconds(5));
        LeaseTools leaseTools;
        leaseTools.loop = loop_.get();
        leaseTools.store = vm.store;
        leaseTools.presence = vm.presence;
        leaseTools.log = log_;
        leaseTools.length = Lease;
        vm.lease = LeaderLease::start(std::move(leaseTools));
        return vm;
    }

    void startReports(Vm &vm, bool needsCollecting = false)
    {
        ReporterTools tools;
        tools.loop = loop_.get();
        tools.lease = vm.lease;
        tools.api = std::make_shared<RecordingApi>(*loop_, record_);
        tools.usage = vm.usage;
        tools.manifests = manifests_;
        tools.time = vm.time;
        tools.log = log_;
        tools.needsCollecting = [needsCollecting] {
            return needsCollecting;
        };
        vm.reporter = UsageReporter::start(std::move(tools));
    }

    /// Advances the clock by @p time in steps of 10 ms and runs @p check at each step.
    void pass(
        Duration time, const std::function<void()> &check = [] {})
    {
        for (Duration passed(0); passed < time; passed += milliseconds(10)) {
            loop_->runDue();
            check();
            clock_.advance(milliseconds(10));
        }
        loop_->runDue();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<manifest::ManifestCache> manifests_;
    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    PlatformRecord record_;
    std::uint64_t incarnations_ = 0;
};

} // namespace cardamomlift::duties
