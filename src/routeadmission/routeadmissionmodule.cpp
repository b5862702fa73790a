#include "directory/directory.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "manifest/manifestcache.h"
#include "presence/presence.h"
#include "routeadmission/routeadmission.h"

#include <algorithm>

namespace cardamomlift::routeadmission {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(100);

double slotsOf(const directory::Directory &directory, const std::string &service)
{
    double slots = 0;
    for (const auto &known : directory.usable(service)) {
        slots += std::max(0, known->server.slots);
    }
    return slots;
}

Duration tightestGoalOf(const manifest::ManifestPtr &manifest, const std::string &service)
{
    Duration tightest{0};
    if (!manifest) {
        return tightest;
    }
    for (const manifest::Route &route : manifest->manifest().routes) {
        const bool leadsThere = std::any_of(route.shares.begin(), route.shares.end(), [&](const auto &share) { return share.service == service; });
        if (leadsThere && route.latencyGoal.count() > 0 && (tightest.count() == 0 || route.latencyGoal < tightest)) {
            tightest = route.latencyGoal;
        }
    }
    return tightest;
}

std::size_t reporterCount(const presence::Presence &presence)
{
    const auto &peers = presence.peers();
    const auto ofGroup = std::count_if(peers.begin(), peers.end(), [&presence](const auto &peer) { return presence.isInOwnGroup(peer.first); });
    return 1 + static_cast<std::size_t>(ofGroup) + presence.groups().size();
}

/// Decides which requests of routes are admitted while a service is short of room.
class RouteAdmissionModule : public Module
{
public:
    std::string_view name() const override
    {
        return "routeadmission";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"directory", "eventlog", "manifest", "metrics", "presence"};
    }

    Result<void> start(Context &context) override
    {
        const auto presence = context.get<presence::Presence>();
        RouteAdmissionTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.seed = presence->incarnation();
        tools.slots = [directory = context.get<directory::Directory>()](const std::string &service) {
            return slotsOf(*directory, service);
        };
        tools.goal = [manifests = context.get<manifest::ManifestCache>()](const std::string &service) {
            return tightestGoalOf(manifests->current(), service);
        };
        tools.vmCount = [presence] {
            return presence->vmCount().value_or(1);
        };
        tools.reporterCount = [presence] {
            return reporterCount(*presence);
        };
        const auto admission = RouteAdmission::create(std::move(tools));
        presence->addStatusContributor([admission](presence::Status &status) { status.classDemands = admission->demandsToShare(); });
        presence->onStatus([admission](const presence::Status &status, std::optional<TimePoint>) {
            if (!status.isPartial) {
                admission->applyPeer(status);
            }
        });
        presence->onRegrouped([admission] { admission->forgetPeers(); });
        EventLoop *loop = context.get<Runtime>()->loop;
        loop->every(TickPeriod, [admission] { admission->tick(); });
        context.get<metrics::Metrics>()->gauge("route_admission_waiting", [admission] { return static_cast<double>(admission->waitingRequests()); });
        context.set<forwarding::AdmissionGate>(admission);
        return success();
    }
};

const ModuleRegistration<RouteAdmissionModule> Registration;

} // namespace

} // namespace cardamomlift::routeadmission
