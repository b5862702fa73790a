#include "kernel/module.h"
#include "kernel/runtime.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "presence/presence.h"
#include "vmload/loopmonitor.h"

#include <algorithm>

namespace cardamomlift::vmload {

namespace {

/// An older status says nothing of a VM's load now.
constexpr Duration MaxStatusAge = std::chrono::milliseconds(1500);

Duration tightestGoal(const manifest::ManifestCache &manifests)
{
    const auto current = manifests.current();
    Duration goal{0};
    if (current) {
        for (const manifest::Route &route : current->manifest().routes) {
            if (route.latencyGoal > Duration(0) && (goal == Duration(0) || route.latencyGoal < goal)) {
                goal = route.latencyGoal;
            }
        }
    }
    return goal;
}

/// Of the VMs of this one's group, and of each other group the mean.
std::vector<Duration> otherLags(const presence::Presence &presence)
{
    std::vector<Duration> lags;
    for (const presence::Peer *peer : presence.recentlyHeard(MaxStatusAge)) {
        if (peer->status && peer->status->loopLag) {
            lags.push_back(*peer->status->loopLag);
        }
    }
    return lags;
}

/// Tells the other VMs how late this one's event loop runs.
class VmLoadModule : public Module
{
public:
    std::string_view name() const override
    {
        return "vmload";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "eventlog", "manifest", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto presence = context.get<presence::Presence>();
        LoopMonitorTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.log = context.get<eventlog::EventLog>();
        tools.tightestGoal = [manifests = context.get<manifest::ManifestCache>()] {
            return tightestGoal(*manifests);
        };
        tools.otherLags = [presence] {
            return otherLags(*presence);
        };
        const auto monitor = LoopMonitor::start(std::move(tools));
        presence->addStatusContributor([monitor](presence::Status &status) { status.loopLag = monitor->load().lag; });
        context.get<metrics::Metrics>()->gauge("loop_lag_seconds", [monitor] { return std::chrono::duration<double>(monitor->load().lag).count(); });
        context.get<metrics::Metrics>()->gauge("hand_over_share", [monitor] { return monitor->load().share; });
        context.set(monitor);
        return success();
    }
};

const ModuleRegistration<VmLoadModule> Registration;

} // namespace

} // namespace cardamomlift::vmload
