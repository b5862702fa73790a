#include "kernel/module.h"
#include "kernel/runtime.h"
#include "membership/gossip.h"
#include "membership/heartbeat.h"
#include "membership/loadpoller.h"
#include "membership/loadreports.h"
#include "membership/membershipgossip.h"
#include "membership/vmlist.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "settings/settingstypes.h"

namespace cardamomlift::membership {

namespace {

constexpr Duration RemoveExpiredPeriod = std::chrono::seconds(30);

Vm describeSelf(const settings::Settings &settings, const peers::PeerTransport &transport)
{
    Vm self;
    self.instance = settings.instance;
    self.address = settings.peers.address;
    self.port = settings.callers.port;
    self.peerPort = transport.port();
    self.zone = settings.zone;
    self.region = settings.region;
    return self;
}

void addGauges(
    metrics::Metrics &metrics, const std::shared_ptr<Members> &members, const std::shared_ptr<Gossip> &gossip, const std::shared_ptr<Heartbeat> &heartbeat)
{
    metrics.gauge("entry_vms_listed", [heartbeat] { return static_cast<double>(heartbeat->reachability().listed); });
    metrics.gauge("entry_vms_heard", [heartbeat] { return static_cast<double>(heartbeat->reachability().heard); });
    metrics.gauge("leaving_marks", [members] { return static_cast<double>(members->markCount()); });
    metrics.gauge("unreachable_servers", [members] { return static_cast<double>(members->unreachableCount()); });
    metrics.gauge("rumours", [gossip] { return static_cast<double>(gossip->size()); });
}

class MembershipModule : public Module
{
public:
    std::string_view name() const override
    {
        return "membership";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"backoff", "http", "metrics", "peers"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        EventLoop &loop = *context.get<Runtime>()->loop;
        const auto transport = context.get<peers::PeerTransport>();
        const auto client = context.get<http::Client>();
        auto members = Members::create(settings->instance, &loop.clock());
        auto gossip = Gossip::create(loop, transport);
        auto membershipGossip = MembershipGossip::create(loop, members, gossip);
        auto heartbeat = Heartbeat::create(loop, transport, members, gossip, describeSelf(*settings, *transport));
        auto reports = LoadReports::create(loop);
        const auto backoffs = context.get<backoff::BackoffTracker>();
        auto announcements = ServerAnnouncements::create(members, backoffs);
        auto poller = LoadPoller::create({&loop, client, members, reports, announcements, backoffs});
        gossip->start();
        heartbeat->start();
        poller->start();
        loop.every(RemoveExpiredPeriod, [raw = members.get()] { raw->removeExpired(); });
        addGauges(*context.get<metrics::Metrics>(), members, gossip, heartbeat);
        context.get<metrics::Metrics>()->gauge("load_reports", [reports] { return static_cast<double>(reports->size()); });
        context.set(members);
        context.set(announcements);
        context.set(gossip);
        context.set(membershipGossip);
        context.set(heartbeat);
        context.set(reports);
        context.set(poller);
        if (settings->platform.inMemory) {
            members->applyList(settings->platform.vms);
            return success();
        }
        auto reader = VmListReader::create(loop, client, members, settings->platform.vmListEndpoint);
        reader->onFirstSeen([membershipGossip](const Vm &vm) { membershipGossip->publishListed(vm); });
        reader->start();
        context.set(reader);
        addListGauges(context, reader);
        return success();
    }

private:
    static void addListGauges(const Context &context, const std::shared_ptr<VmListReader> &reader)
    {
        const auto metrics = context.get<metrics::Metrics>();
        const auto addGauge = [&](const char *name, std::uint64_t VmListCounters::*member) {
            metrics->gauge(name, [reader, member] { return static_cast<double>(reader->counters().*member); });
        };
        addGauge("vm_list_reads_total", &VmListCounters::reads);
        addGauge("vm_list_bytes_sent_total", &VmListCounters::bytesSent);
        addGauge("vm_list_bytes_received_total", &VmListCounters::bytesReceived);
    }
};

const ModuleRegistration<MembershipModule> Registration;

} // namespace

} // namespace cardamomlift::membership
