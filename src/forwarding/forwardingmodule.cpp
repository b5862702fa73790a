#include "forwarding/routegateway.h"
#include "kernel/module.h"
#include "kernel/runtime.h"

namespace cardamomlift::forwarding {

namespace {

/// Keys are judged by knowledge that is younger than their bound by this: time on the way to a backend server, and late
/// timers.
constexpr Duration KeyMargin = std::chrono::milliseconds(400);
constexpr Duration PoolTick = std::chrono::milliseconds(500);

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
        return {"manifest", "directory", "eventlog", "metrics", "platform"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const auto pool = ServerPool::create(*context.get<Runtime>()->loop, context.get<directory::Directory>());
        context.set(pool);
        ForwarderTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.manifests = context.get<manifest::ManifestKeeper>();
        tools.directory = context.get<directory::Directory>();
        tools.pool = pool;
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.allowances = context.find<AllowanceGate>();
        tools.usage = context.find<UsageMeter>();
        tools.wire = *context.get<WireFormat>();
        tools.settings.zone = settings->zone;
        tools.settings.strictKeys = settings->routes->strictKeys;
        tools.settings.keysFreshFor = settings->routes->keyRevocation - KeyMargin;
        tools.settings.retryRatio = settings->routes->retryRatio;
        tools.settings.retrySlack = settings->routes->retrySlack;
        GatewayTools gatewayTools;
        gatewayTools.loop = tools.loop;
        gatewayTools.settings = *settings->routes;
        gatewayTools.manifests = tools.manifests;
        gatewayTools.directory = tools.directory;
        gatewayTools.log = tools.log;
        gatewayTools.metrics = tools.metrics;
        tools.loop->every(PoolTick, [pool] { pool->tick(); });
        const auto forwarder = Forwarder::create(std::move(tools));
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
