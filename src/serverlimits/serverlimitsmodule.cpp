#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"
#include "serverlimits/serverratelimiter.h"

namespace cardamomlift::serverlimits {

namespace {

/// How often the list of VMs is updated and unlisted servers are removed.
constexpr Duration TickPeriod = std::chrono::milliseconds(500);

/// Enforces the rate limits that backend servers advertise.
class ServerLimitsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "serverlimits";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "directory", "eventlog", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto presence = context.get<presence::Presence>();
        ServerRateLimiterTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.directory = context.get<directory::Directory>();
        tools.log = context.get<eventlog::EventLog>();
        tools.instance = presence->instance();
        tools.storeNow = [time = context.get<presence::ClusterClock>()] {
            return time->storeNow();
        };
        tools.vms = [presence] {
            return presence->vmNames();
        };
        EventLoop *loop = tools.loop;
        const auto limiter = ServerRateLimiter::create(std::move(tools));
        context.set<forwarding::ServerLimitGate>(limiter);
        presence->addStatusContributor([limiter](presence::Status &status) { status.limits = limiter->limitsToShare(); });
        presence->onStatus([limiter](const presence::Status &status, std::optional<TimePoint>) { limiter->applyPeerLimits(status.instance, status.limits); });
        loop->every(TickPeriod, [limiter] { limiter->tick(); });
        context.get<metrics::Metrics>()->gauge("servers_limited", [limiter] { return static_cast<double>(limiter->limitedServers()); });
        return success();
    }
};

const ModuleRegistration<ServerLimitsModule> Registration;

} // namespace

} // namespace cardamomlift::serverlimits
