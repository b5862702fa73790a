#include "fleet/demand.h"
#include "fleet/fleetcontroller.h"
#include "http/json.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "membership/gossip.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "settings/settingstypes.h"
#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::fleet {

namespace {

constexpr Duration LeaseDuration = std::chrono::seconds(9);
constexpr Duration ReconcilePeriod = std::chrono::seconds(2);
constexpr Duration DemandPeriod = std::chrono::seconds(5);
constexpr Duration DemandMaxAge = std::chrono::seconds(20);
constexpr Duration OrderTimeout = std::chrono::seconds(5);
/// Number of entry VMs that compete for the lease. The others do not access its row, which limits the load on the table.
constexpr std::size_t MaxCandidates = 5;
constexpr char HolderTopic[] = "fleet.holder";
constexpr char HolderKey[] = "holder";
constexpr char DemandTopic[] = "fleet.demand";
constexpr Duration HolderRumourTtl = std::chrono::minutes(2);

/// True if this VM is among the MaxCandidates live entry VMs with the lowest hash, and not leaving.
bool isCandidate(const membership::Members &members)
{
    const std::uint64_t own = text::stableHash(members.self());
    const auto peers = members.peers();
    const auto before = std::count_if(
        peers.begin(), peers.end(), [&](const membership::Vm &vm) { return vm.state == membership::VmState::Live && text::stableHash(vm.instance) < own; });
    return static_cast<std::size_t>(before) < MaxCandidates && !members.isLeaving(members.self());
}

/// Sends this VM's demand to the lease holder, and collects the reports of all entry VMs while this VM is the holder.
class DemandExchange
{
public:
    DemandExchange(Context &context, std::shared_ptr<DemandMeter> meter)
        : loop_(context.get<Runtime>()->loop)
        , members_(context.get<membership::Members>())
        , gossip_(context.get<membership::Gossip>())
        , transport_(context.get<peers::PeerTransport>())
        , meter_(std::move(meter))
    {
        transport_->handle(DemandTopic, [this](const std::string &from, const std::string &payload, const peers::Reply &reply) {
            aggregator_.report(from, decodeDemands(payload), loop_->now());
            reply(std::string());
        });
        loop_->every(DemandPeriod, [this] { send(); });
    }

    void announceHolder(std::uint64_t fence)
    {
        gossip_->publish(HolderTopic, HolderKey, fence, members_->self(), HolderRumourTtl);
    }

    std::vector<ModelDemand> sum()
    {
        return aggregator_.sum(loop_->now(), DemandMaxAge);
    }

private:
    void send()
    {
        const auto demands = meter_->take(loop_->now());
        const membership::Rumour *holder = gossip_->find(HolderTopic, HolderKey);
        if (!holder) {
            return;
        }
        if (holder->payload == members_->self()) {
            aggregator_.report(members_->self(), demands, loop_->now());
            return;
        }
        if (const membership::Vm *vm = members_->find(holder->payload)) {
            transport_->send(membership::peerAddress(*vm), DemandTopic, encodeDemands(demands), OrderTimeout, [](const Result<std::string> &) {});
        }
    }

    EventLoop *loop_;
    std::shared_ptr<membership::Members> members_;
    std::shared_ptr<membership::Gossip> gossip_;
    std::shared_ptr<peers::PeerTransport> transport_;
    std::shared_ptr<DemandMeter> meter_;
    DemandAggregator aggregator_;
};

void orderEngine(const membership::Members &members, http::Client &client, const EngineOrder &order)
{
    const membership::Vm *vm = members.find(order.instance);
    if (!vm || vm->state != membership::VmState::Live || vm->port == 0) {
        return;
    }
    if (std::find(vm->serves.begin(), vm->serves.end(), order.model) != vm->serves.end()) {
        return;
    }
    Json::Value body;
    body["fence"] = static_cast<Json::UInt64>(order.fence);
    body["action"] = "load";
    body["model"] = order.model;
    http::ClientRequest request;
    request.method = "POST";
    request.url = fmt::format("http://{}:{}/v1/orders", vm->address, vm->port);
    request.body = http::writeJson(body);
    request.timeout = OrderTimeout;
    client.start(std::move(request), {});
}

class FleetModule : public Module
{
public:
    std::string_view name() const override
    {
        return "fleet";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"http", "lifecycle", "membership", "metrics", "peers", "table"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        meter_ = std::make_shared<DemandMeter>();
        context.set(meter_);
        if (settings->platform.cloudEndpoint.empty()) {
            return success();
        }
        EventLoop &loop = *context.get<Runtime>()->loop;
        const auto members = context.get<membership::Members>();
        const auto client = context.get<http::Client>();
        exchange_ = std::make_unique<DemandExchange>(context, meter_);
        lease_ = FleetLease::create(loop, context.get<table::Table>(), settings->instance, LeaseDuration);
        FleetControllerTools tools;
        tools.loop = &loop;
        tools.lease = lease_;
        tools.cloud = CloudClient::create(client, settings->platform.cloudEndpoint);
        tools.demands = [this] {
            return exchange_->sum();
        };
        tools.orderEngine = [members, client](const EngineOrder &order) {
            orderEngine(*members, *client, order);
        };
        controller_ = FleetController::create(std::move(tools), FleetPolicy());
        lease_->start();
        controller_->start(ReconcilePeriod);
        loop.every(ReconcilePeriod, [this, members] {
            lease_->setCandidate(isCandidate(*members));
            if (lease_->isHeld()) {
                exchange_->announceHolder(lease_->fence());
            }
        });
        context.get<lifecycle::Lifecycle>()->onDrain([this] { lease_->release(); });
        addGauges(*context.get<metrics::Metrics>());
        return success();
    }

private:
    void addGauges(metrics::Metrics &metrics)
    {
        metrics.gauge("fleet_lease_held", [this] { return lease_->isHeld() ? 1.0 : 0.0; });
        metrics.gauge("fleet_vms_ordered_total", [this] { return static_cast<double>(controller_->counters().created); });
        metrics.gauge("fleet_vms_refused_total", [this] { return static_cast<double>(controller_->counters().refused); });
        metrics.gauge("fleet_vms_given_back_total", [this] { return static_cast<double>(controller_->counters().deleted); });
    }

    std::shared_ptr<DemandMeter> meter_;
    std::unique_ptr<DemandExchange> exchange_;
    std::shared_ptr<FleetLease> lease_;
    std::shared_ptr<FleetController> controller_;
};

const ModuleRegistration<FleetModule> Registration;

} // namespace

} // namespace cardamomlift::fleet
