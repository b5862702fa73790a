#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/presence.h"
#include "reachability/probetargets.h"
#include "reachability/reachabilitytracker.h"

#include <algorithm>

namespace cardamomlift::reachability {

namespace {

std::size_t countPeersInContact(const presence::Presence &presence, const Clock &clock, Duration age)
{
    const auto peers = presence.recentlyHeard(age);
    return static_cast<std::size_t>(std::count_if(peers.begin(), peers.end(), [&](const presence::Peer *peer) {
        const auto since = peer->status->sinceServerContact;
        return since && *since + (clock.now() - *peer->heardAt) <= age;
    }));
}

/// Finds out whether this VM reaches the backend servers, and tells the other VMs.
class ReachabilityModule : public Module
{
public:
    std::string_view name() const override
    {
        return "reachability";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"directory", "eventlog", "metrics", "presence"};
    }

    Result<void> start(Context &context) override
    {
        const auto presence = context.get<presence::Presence>();
        TrackerTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.servers = [directory = context.get<directory::Directory>()] {
            return probeTargets(*directory);
        };
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.peersInContact = [presence, loop = tools.loop](Duration age) {
            return countPeersInContact(*presence, loop->clock(), age);
        };
        EventLoop *loop = tools.loop;
        const auto tracker = ReachabilityTracker::create(std::move(tools));
        presence->addStatusContributor([tracker](presence::Status &status) {
            status.reachesNoServer = tracker->state() == State::Unreachable;
            status.sinceServerContact = tracker->sinceContact();
        });
        loop->every(ReachabilityTracker::TickPeriod, [tracker] { tracker->tick(); });
        context.get<metrics::Metrics>()->gauge("servers_unreachable", [tracker] { return tracker->state() == State::Unreachable ? 1.0 : 0.0; });
        context.set(tracker);
        return success();
    }
};

const ModuleRegistration<ReachabilityModule> Registration;

} // namespace

} // namespace cardamomlift::reachability
