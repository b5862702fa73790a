#include "kernel/module.h"
#include "kernel/runtime.h"
#include "membership/gossip.h"
#include "membership/loadreports.h"
#include "membership/overlay.h"
#include "membership/vmlist.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "settings/settingstypes.h"

namespace cardamomlift::membership {

namespace {

constexpr Duration ListPeriod = std::chrono::milliseconds(500);

/// Points the gossip at the neighbours that follow from the known entry VMs.
void updateNeighbours(const Members &members, Gossip &gossip)
{
    std::vector<peers::PeerAddress> neighbours;
    for (const std::string &instance : chooseNeighbours(members.peers(), members.self())) {
        neighbours.push_back(peerAddress(*members.find(instance)));
    }
    gossip.setNeighbours(std::move(neighbours));
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
        return {"http", "metrics", "peers"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        auto members = Members::create(settings->instance);
        context.set(members);
        EventLoop &loop = *context.get<Runtime>()->loop;
        auto gossip = Gossip::create(loop, context.get<peers::PeerTransport>());
        members->onChange([raw = members.get(), gossip] { updateNeighbours(*raw, *gossip); });
        gossip->start();
        context.set(gossip);
        context.set(LoadReports::create(loop));
        if (settings->platform.inMemory) {
            members->applyList(settings->platform.vms);
            return success();
        }
        auto reader = VmListReader::create(loop, context.get<http::Client>(), members, settings->platform.vmListEndpoint);
        reader->start(ListPeriod);
        context.set(reader);
        publishCounters(context, reader);
        return success();
    }

private:
    static void publishCounters(const Context &context, const std::shared_ptr<VmListReader> &reader)
    {
        const auto metrics = context.get<metrics::Metrics>();
        const auto publish = [&](const char *name, std::uint64_t VmListCounters::*member) {
            metrics->gauge(name, [reader, member] { return static_cast<double>(reader->counters().*member); });
        };
        publish("vm_list_reads_total", &VmListCounters::reads);
        publish("vm_list_bytes_sent_total", &VmListCounters::bytesSent);
        publish("vm_list_bytes_received_total", &VmListCounters::bytesReceived);
    }
};

const ModuleRegistration<MembershipModule> Registration;

} // namespace

} // namespace cardamomlift::membership
