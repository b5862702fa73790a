#include "forwarding/routegateway.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/presence.h"

namespace cardamomlift::forwarding {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);
/// How often the demand at the other VMs is summed up, and how old a status may be to count.
constexpr Duration PeerDemandPeriod = std::chrono::milliseconds(250);
constexpr Duration PeerDemandLifetime = std::chrono::seconds(3);
/// Half of the shortest pause that callers notice.
constexpr Duration StragglerPeriod = std::chrono::milliseconds(250);

/// Suspensions of the process shorter than this are not logged.
constexpr Duration MinSuspension = std::chrono::milliseconds(500);

void watchSuspensions(EventLoop &loop, const std::shared_ptr<eventlog::EventLog> &log)
{
    // NOTE The loop copies the callback before each call, so its state must be shared.
    const auto last = std::make_shared<TimePoint>(loop.now());
    loop.every(TickPeriod, [&loop, log, last] {
        const Duration pausedFor = loop.now() - *last - TickPeriod;
        *last = loop.now();
        if (pausedFor >= MinSuspension) {
            log->write(eventlog::Event::Suspended, {{eventlog::Attribute::TookMs, std::chrono::duration_cast<std::chrono::milliseconds>(pausedFor).count()}});
        }
    });
}

std::vector<presence::ServiceLoad> peerLoads(const presence::Presence &presence)
{
    std::vector<presence::ServiceLoad> loads;
    for (const presence::Peer *peer : presence.recentlyHeard(PeerDemandLifetime)) {
        loads.insert(loads.end(), peer->status->services.begin(), peer->status->services.end());
    }
    return loads;
}

class ForwardingModule : public Module
{
public:
    std::string_view name() const override
    {
        return "forwarding";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"clientbudget",
            "manifest",
            "directory",
            "backoff",
            "eventlog",
            "metrics",
            "platform",
            "presence",
            "allowance",
            "usage",
            "origins",
            "outliers",
            "overload",
            "pace",
            "reachability",
            "relay",
            "prefixindex",
            "rollout",
            "routeadmission",
            "serverlimits",
            "vmload",
            "routesuspects"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const auto pool = ServerPool::create(*context.get<Runtime>()->loop, context.get<directory::Directory>());
        context.set(pool);
        ForwarderTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.manifests = context.get<manifest::ManifestCache>();
        tools.directory = context.get<directory::Directory>();
        tools.pool = pool;
        tools.backoffs = context.get<backoff::BackoffTracker>();
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.allowances = context.find<AllowanceGate>();
        tools.admission = context.find<AdmissionGate>();
        tools.usage = context.find<UsageMeter>();
        tools.versions = context.find<VersionGate>();
        tools.limits = context.find<ServerLimitGate>();
        tools.suspects = context.find<SuspectGate>();
        tools.demand = std::make_shared<ServiceDemand>();
        context.set(tools.demand);
        context.get<presence::Presence>()->addStatusContributor(
            [demand = tools.demand, loop = tools.loop](presence::Status &status) { status.services = demand->loads(loop->now()); });
        tools.peerBacklog = std::make_shared<PeerBacklog>();
        context.get<presence::Presence>()->addStatusContributor([pool](presence::Status &status) { status.serverWork = pool->waitingTokens(); });
        context.get<presence::Presence>()->onStatus([backlog = tools.peerBacklog, loop = tools.loop](const presence::Status &status, std::optional<TimePoint>) {
            if (!status.isPartial) {
                backlog->update(status.instance, status.serverWork, loop->now());
            }
        });
        const auto peerDemand = std::make_shared<PeerDemand>();
        tools.peerDemand = peerDemand;
        tools.partDemand = std::make_shared<PartDemand>();
        tools.vmCount = [presence = context.get<presence::Presence>()] {
            return presence->vmCount();
        };
        tools.origins = context.get<origins::OriginTracker>();
        tools.softwareHistory = context.get<origins::SoftwareHistory>();
        tools.outliers = context.get<outliers::OutlierDetector>();
        tools.reachability = context.get<reachability::ReachabilityTracker>();
        tools.pace = context.get<pace::PaceTracker>();
        tools.paceOf = [pace = tools.pace](std::uint64_t server, const std::string &service) {
            return pace->paceOf(server, service).factor;
        };
        tools.overload = context.get<overload::OverloadController>();
        tools.relays = context.get<relay::RelayPool>();
        tools.vmLoad = context.get<vmload::LoopMonitor>();
        tools.prefixes = context.get<prefixindex::PrefixIndex>();
        tools.wire = *context.get<WireFormat>();
        tools.settings = forwardingSettings(*settings->routes, settings->instance, settings->zone);
        RouteGatewayTools gatewayTools;
        gatewayTools.loop = tools.loop;
        gatewayTools.settings = *settings->routes;
        gatewayTools.instance = settings->instance;
        gatewayTools.zone = settings->zone;
        gatewayTools.budget = context.get<clientbudget::ClientBudget>();
        gatewayTools.manifests = tools.manifests;
        gatewayTools.directory = tools.directory;
        gatewayTools.log = tools.log;
        gatewayTools.metrics = tools.metrics;
        EventLoop *loop = tools.loop;
        const auto forwarder = Forwarder::create(std::move(tools));
        loop->every(PeerDemandPeriod, [peerDemand, presence = context.get<presence::Presence>()] { peerDemand->replace(peerLoads(*presence)); });
        loop->every(TickPeriod, [pool, forwarder] {
            pool->tick();
            forwarder->tick();
        });
        loop->every(StragglerPeriod, [forwarder] { forwarder->checkStragglers(); });
        context.get<presence::Presence>()->addStatusContributor(
            [forwarder](presence::Status &status) { status.lacksServerRoom = forwarder->lacksServerRoom(); });
        watchSuspensions(*loop, gatewayTools.log);
        context.set(forwarder);
        gatewayTools.forwarder = forwarder;
        gatewayTools.metrics->gauge("requests_open", [forwarder] { return static_cast<double>(forwarder->openRequests()); });
        gatewayTools.metrics->gauge("server_channels_open", [pool] { return static_cast<double>(pool->openChannels()); });
        BOOST_OUTCOME_TRY(gateway, RouteGateway::create(std::move(gatewayTools)));
        context.set(gateway);
        return success();
    }
};

const ModuleRegistration<ForwardingModule> Registration;

} // namespace

} // namespace cardamomlift::forwarding
