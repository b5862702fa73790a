#include "directory/directory.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"
#include "presence/tablerelay.h"
#include "settings/settingstypes.h"

#include <random>

namespace cardamomlift::presence {

namespace {

/// This VM polls the store for the manifest and the backend servers when its knowledge of them is older than this. Knowledge
/// received through another VM is up to 2.6 s old in normal operation: twice the wait of a long poll, and two rounds of
/// statuses. For API keys, knowledge counts as too old after about 4.6 s.
constexpr Duration MaxTableAge = std::chrono::milliseconds(2800);
/// The same for the rows of entry VMs, which change seldom. It is longer than the wait of a long poll and the time to its answer
/// together.
constexpr Duration MaxAgeOfVmRows = std::chrono::seconds(15);

/// A VM from which a status was received within this time counts as running in the metrics.
constexpr Duration HeardWithin = std::chrono::seconds(3);

std::uint64_t drawIncarnation()
{
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32) | device();
}

class PresenceModule : public Module
{
public:
    std::string_view name() const override
    {
        return "presence";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"platform", "directory", "eventlog", "manifest", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        PresenceTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.store = context.get<rows::RowStore>();
        tools.log = context.get<eventlog::EventLog>();
        tools.instance = settings->instance;
        tools.zone = settings->zone;
        tools.endpoint = {settings->routes->address, settings->routes->firstPeerPort};
        tools.incarnation = drawIncarnation();
        BOOST_OUTCOME_TRY(datagrams, UdpDatagramSocket::open(*tools.loop, tools.endpoint));
        tools.socket = datagrams;
        EventLoop *loop = tools.loop;
        const auto presence = Presence::start(std::move(tools));
        context.set(presence);
        registerGauges(*context.get<metrics::Metrics>(), presence);
        context.set(ClusterClock::create(*loop, context.get<rows::RowStore>(), presence));
        relayTables(context, *loop, presence);
        shareManifestVersion(presence, context.get<manifest::ManifestCache>());
        return success();
    }

private:
    static void registerGauges(metrics::Metrics &metrics, const std::shared_ptr<Presence> &presence)
    {
        // 0 until the rows of all VMs have been read.
        metrics.gauge("entry_vms_listed", [presence] { return static_cast<double>(presence->vmCount().value_or(0)); });
        metrics.gauge("entry_vms_heard", [presence] { return static_cast<double>(presence->countPeersHeardWithin(HeardWithin)); });
    }

    static void shareManifestVersion(const std::shared_ptr<Presence> &presence, const std::shared_ptr<manifest::ManifestCache> &manifests)
    {
        presence->addStatusContributor(
            [manifests](Status &status) { status.manifestVersion = manifests->current() ? manifests->current()->manifest().version : 0; });
        presence->onStatus([manifests](const Status &status, std::optional<TimePoint>) { manifests->notePeerVersion(status.manifestVersion); });
    }

    static void relayTables(Context &context, EventLoop &loop, const std::shared_ptr<Presence> &presence)
    {
        const auto relay = TableRelay::create(loop, presence);
        for (const auto &watch : *context.get<rows::Watches>()) {
            relay->add(watch, MaxTableAge);
        }
        relay->add(presence->rowWatch(), MaxAgeOfVmRows);
        relay->onOutage([directory = context.get<directory::Directory>(), &loop](TimePoint backAt) { directory->noteStoreRecoveredAt(backAt, loop.now()); });
        context.set(relay);
    }
};

const ModuleRegistration<PresenceModule> Registration;

} // namespace

} // namespace cardamomlift::presence
