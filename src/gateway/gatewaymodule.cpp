#include "gateway/gateway.h"
#include "kernel/log.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "settings/settingstypes.h"
#include "settings/tlsfiles.h"

#include <algorithm>
#include <sys/resource.h>

namespace cardamomlift::gateway {

namespace {

constexpr std::size_t BytesPerKilobyte = 1024;
constexpr std::size_t BytesPerMegabyte = 1024 * BytesPerKilobyte;
/// Clients may hold the memory of the process divided by this.
constexpr std::size_t ClientMemoryDivisor = 4;
/// Connections that are accepted beyond the limit, until others have been closed for them.
constexpr std::size_t AcceptMargin = 16;
/// Connections to engines, services and other VMs, listeners and files have the rest of the process's descriptors.
constexpr std::size_t ClientDescriptorDivisor = 2;

/// As many connections as open requests are allowed, if the process has descriptors for them.
std::size_t maxConnections(const settings::LimitSettings &limits)
{
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0 || descriptors.rlim_cur == RLIM_INFINITY) {
        return limits.openRequests;
    }
    return std::min<std::size_t>(limits.openRequests, descriptors.rlim_cur / ClientDescriptorDivisor);
}

class GatewayModule : public Module
{
public:
    std::string_view name() const override
    {
        return "gateway";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"admission",
            "chatreachability",
            "claims",
            "clientbudget",
            "contract",
            "engine",
            "fleet",
            "http",
            "lifecycle",
            "membership",
            "metrics",
            "recovery",
            "retry",
            "streams"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const auto lifecycle = context.get<lifecycle::Lifecycle>();
        GatewayTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.instance = settings->instance;
        tools.callerBufferBytes = settings->limits.callerBufferKilobytes * BytesPerKilobyte;
        tools.client = context.get<http::Client>();
        tools.engine = context.get<engine::EngineClient>();
        tools.contracts = context.get<contract::ContractSet>();
        tools.admission = context.get<admission::Admission>();
        tools.planner = context.get<retry::AttemptPlanner>();
        tools.claims = context.get<claims::ClaimManager>();
        tools.demand = context.get<fleet::DemandMeter>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.lifecycle = lifecycle;
        tools.members = context.get<membership::Members>();
        tools.announcements = context.get<membership::ServerAnnouncements>();
        tools.streamRegistry = context.get<streams::StreamRegistry>();
        tools.reachability = context.get<reachability::ReachabilityTracker>();
        tools.zone = settings->zone;
        // Other VMs can't check a certificate that is issued for the callers' name.
        tools.peerToken = settings->callers.certificateFile.empty() ? settings->peerToken : std::string();
        tools.memory = MemoryGuard::create(*tools.loop, settings->limits.memoryMegabytes * BytesPerMegabyte);
        tools.metrics->gauge("resident_memory_bytes", [guard = tools.memory] { return static_cast<double>(guard->residentBytes()); });
        BOOST_OUTCOME_TRY(options, settings::serverOptions(settings->callers));
        options.maxBodyBytes = settings->limits.bodyKilobytes * BytesPerKilobyte;
        const std::size_t connections = maxConnections(settings->limits);
        options.maxConnections = static_cast<unsigned>(connections + AcceptMargin);
        const auto budget = context.get<clientbudget::ClientBudget>();
        budget->setLimits({settings->limits.memoryMegabytes * BytesPerMegabyte / ClientMemoryDivisor, connections});
        budget->onEviction([](const clientbudget::ConnectionUse &use, clientbudget::Shortage shortage) {
            partLogger("gateway")->debug("Closed a client's connection in favour of others. shortage={} activity={} bytes={}",
                clientbudget::shortageName(shortage),
                clientbudget::activityName(use.activity),
                use.bytes);
        });
        auto gateway = Gateway::create(std::move(tools), std::move(options), budget);
        if (!gateway) {
            return gateway.error();
        }
        const std::shared_ptr<Gateway> shared = gateway.value();
        lifecycle->onStopAccepting([shared] { shared->stopListening(); });
        lifecycle->onDrainDeadline([shared] { shared->failOpenRequests(); });
        lifecycle->addOpenWorkCounter("gateway", [shared] { return shared->openRequests(); });
        context.set(shared);
        return success();
    }
};

const ModuleRegistration<GatewayModule> Registration;

} // namespace

} // namespace cardamomlift::gateway
