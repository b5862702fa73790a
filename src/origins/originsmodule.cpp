#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "origins/origintracker.h"
#include "origins/softwarehistory.h"
#include "presence/presence.h"
#include "settings/settingstypes.h"

#include <algorithm>

namespace cardamomlift::origins {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// By then a process has heard of the VMs that are there.
constexpr Duration ListenAtStart = std::chrono::seconds(1);
/// A VM from which no status has come for longer does not record the versions of services.
constexpr Duration MaxStatusAge = std::chrono::seconds(3);

/// Datagrams about origins have the port after that of statuses, if that one is fixed.
http1::Endpoint originEndpoint(http1::Endpoint endpoint)
{
    endpoint.port += endpoint.port == 0 ? 0 : 1;
    return endpoint;
}

std::optional<std::vector<OriginVm>> otherVms(const presence::Presence &presence)
{
    if (!presence.vmCount()) {
        return std::nullopt;
    }
    std::vector<OriginVm> vms;
    vms.reserve(presence.peers().size());
    for (const auto &[instance, peer] : presence.peers()) {
        vms.push_back({instance, peer.zone, originEndpoint(peer.endpoint), peer.incarnation});
    }
    return vms;
}

/// One VM records, the first by name of those that hear each other. In a large fleet it is one of each group.
bool isRecorder(const presence::Presence &presence, TimePoint now)
{
    const auto &peers = presence.peers();
    return presence.uptime() >= ListenAtStart && std::none_of(peers.begin(), peers.end(), [&](const auto &entry) {
        const auto &[instance, peer] = entry;
        return instance < presence.instance() && peer.heardAt && now - *peer.heardAt <= MaxStatusAge;
    });
}

/// Keeps which software began which stream.
class OriginsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "origins";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"directory", "eventlog", "metrics", "platform", "presence"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const auto presence = context.get<presence::Presence>();
        EventLoop *loop = context.get<Runtime>()->loop;
        OriginTools tools;
        tools.loop = loop;
        tools.self = {
            settings->instance, settings->zone, originEndpoint({settings->routes->address, settings->routes->firstPeerPort}), presence->incarnation()};
        tools.others = [presence] {
            return otherVms(*presence);
        };
        BOOST_OUTCOME_TRY(socket, presence::UdpDatagramSocket::open(*loop, tools.self.endpoint));
        tools.socket = socket;
        tools.stored = StoredOrigins::create({loop, context.get<rows::RowStore>(), settings->instance});
        const auto tracker = OriginTracker::create(std::move(tools));
        context.set(tracker);
        const auto history =
            SoftwareHistory::create({loop, context.get<directory::Directory>(), context.get<rows::RowStore>(), context.get<eventlog::EventLog>()});
        history->setRecorderCheck([presence, loop] { return isRecorder(*presence, loop->now()); });
        context.set(history);
        loop->every(TickPeriod, [tracker, history] {
            tracker->tick();
            history->tick();
        });
        const auto metrics = context.get<metrics::Metrics>();
        metrics->gauge("stream_origins", [tracker] { return static_cast<double>(tracker->size()); });
        metrics->gauge("recorded_versions", [history] { return static_cast<double>(history->recordedVersions()); });
        return success();
    }
};

const ModuleRegistration<OriginsModule> Registration;

} // namespace

} // namespace cardamomlift::origins
