#include "duties/autoscaler.h"
#include "duties/usagereporter.h"
#include "forwarding/servicedemand.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "pace/pacetracker.h"
#include "settings/settingstypes.h"

namespace cardamomlift::duties {

namespace {

class DutiesModule : public Module
{
public:
    std::string_view name() const override
    {
        return "duties";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "usage", "platform", "manifest", "directory", "eventlog", "forwarding", "pace"};
    }

    Result<void> start(Context &context) override
    {
        const auto api = context.find<LeaderApi>();
        const auto settings = context.get<settings::Settings>();
        // Rollouts are decided by the leader, also where no servers are ordered and no usage is reported.
        if (!api && !settings->routes->rollouts.isEnabled) {
            return success();
        }
        LeaseTools leaseTools;
        leaseTools.loop = context.get<Runtime>()->loop;
        leaseTools.store = context.get<rows::RowStore>();
        leaseTools.presence = context.get<presence::Presence>();
        leaseTools.log = context.get<eventlog::EventLog>();
        leaseTools.length = settings->routes->leaseDuration;
        const auto lease = LeaderLease::start(std::move(leaseTools));
        context.set(lease);
        context.get<metrics::Metrics>()->gauge("duty_lease_held", [lease] { return lease->isHeld() ? 1.0 : 0.0; });
        if (!api) {
            return success();
        }
        if (settings->routes->mayReportUsage) {
            startReports(context, lease, api);
        }
        if (settings->routes->mayOrderServers) {
            startAutoscaler(context, lease, api);
        }
        return success();
    }

private:
    static void startReports(Context &context, const std::shared_ptr<LeaderLease> &lease, const std::shared_ptr<LeaderApi> &api)
    {
        ReporterTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.lease = lease;
        tools.api = api;
        tools.usage = context.get<usage::UsageCounter>();
        tools.manifests = context.get<manifest::ManifestCache>();
        tools.time = context.get<presence::ClusterClock>();
        tools.log = context.get<eventlog::EventLog>();
        tools.needsCollecting = [presence = context.get<presence::Presence>()] {
            return !presence->groups().empty();
        };
        context.set(UsageReporter::start(std::move(tools)));
    }

    static void startAutoscaler(Context &context, const std::shared_ptr<LeaderLease> &lease, const std::shared_ptr<LeaderApi> &api)
    {
        AutoscalerTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.lease = lease;
        tools.api = api;
        tools.directory = context.get<directory::Directory>();
        tools.manifests = context.get<manifest::ManifestCache>();
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.presence = context.get<presence::Presence>();
        tools.versions = context.find<forwarding::VersionGate>();
        tools.ownLoads = [demand = context.get<forwarding::ServiceDemand>(), loop = tools.loop] {
            return demand->loads(loop->now());
        };
        tools.firstByteModel = [pace = context.get<pace::PaceTracker>()](const std::string &service) {
            return pace->firstByteModel(service);
        };
        tools.zones = context.get<settings::Settings>()->routes->zones;
        context.set(Autoscaler::start(std::move(tools)));
    }
};

const ModuleRegistration<DutiesModule> Registration;

} // namespace

} // namespace cardamomlift::duties
