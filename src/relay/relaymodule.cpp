#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "presence/presence.h"
#include "relay/relaypool.h"
#include "settings/settingstypes.h"

#include <map>
#include <numeric>

namespace cardamomlift::relay {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);
/// A VM from which no status has come for longer may have ended: four statuses in a row are missing.
constexpr Duration MaxStatusAge = std::chrono::milliseconds(1500);

double openRequests(const presence::Status &status)
{
    return std::accumulate(status.services.begin(), status.services.end(), 0.0, [](double sum, const presence::ServiceLoad &load) { return sum + load.open; });
}

bool isHeard(const presence::Peer &peer, TimePoint now)
{
    return peer.status && peer.heardAt && now - *peer.heardAt <= MaxStatusAge;
}

std::optional<Duration> sinceServerContact(const presence::Peer &peer, TimePoint now)
{
    const auto since = peer.status->sinceServerContact;
    return since ? std::optional(*since + (now - *peer.heardAt)) : std::nullopt;
}

bool canTakeOver(const presence::Peer &peer, std::uint64_t manifestVersion, TimePoint now)
{
    return isHeard(peer, now) && !peer.status->isDraining && !peer.status->reachesNoServer && peer.status->manifestVersion >= manifestVersion;
}

/// Of a group whose VMs send no statuses to this one, only the summary is known: all its members count as equally busy.
void addMembers(const presence::Presence &presence, const std::string &group, const presence::Peer &summary, std::vector<RelayCandidate> &candidates)
{
    const std::size_t first = candidates.size();
    for (const auto &[instance, peer] : presence.peers()) {
        if (peer.group == group) {
            candidates.push_back({{instance, peer.zone, peer.endpoint}, 0, 0, {}, summary.status->lacksServerRoom, summary.status->loopLag});
        }
    }
    const auto members = static_cast<double>(candidates.size() - first);
    for (std::size_t i = first; i < candidates.size(); i++) {
        candidates[i].openRequests = openRequests(*summary.status) / members;
    }
}

std::vector<RelayCandidate> candidatesOf(const presence::Presence &presence, std::uint64_t manifestVersion, TimePoint now)
{
    std::vector<RelayCandidate> candidates;
    for (const auto &[instance, peer] : presence.peers()) {
        if (presence.isInOwnGroup(instance) && canTakeOver(peer, manifestVersion, now)) {
            candidates.push_back({{instance, peer.zone, peer.endpoint},
                openRequests(*peer.status),
                0,
                sinceServerContact(peer, now),
                peer.status->lacksServerRoom,
                peer.status->loopLag});
        }
    }
    for (const auto &[name, group] : presence.groups()) {
        const bool hasHeard = isHeard(group, now) && !group.status->reachesNoServer && group.status->sinceServerContact;
        if (hasHeard) {
            addMembers(presence, name, group, candidates);
        }
    }
    return candidates;
}

/// Hands requests over to other entry VMs while this one reaches no backend server, or has no room at any.
class RelayModule : public Module
{
public:
    std::string_view name() const override
    {
        return "relay";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"metrics", "presence"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto presence = context.get<presence::Presence>();
        const auto pool = RelayPool::create(*loop, context.get<settings::Settings>()->zone, [presence, loop](std::uint64_t manifestVersion) {
            return candidatesOf(*presence, manifestVersion, loop->now());
        });
        loop->every(TickPeriod, [pool] { pool->tick(); });
        context.get<metrics::Metrics>()->gauge("relays_open", [pool] { return static_cast<double>(pool->openRelays()); });
        context.set(pool);
        return success();
    }
};

const ModuleRegistration<RelayModule> Registration;

} // namespace

} // namespace cardamomlift::relay
