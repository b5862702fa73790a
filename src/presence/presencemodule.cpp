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

/// Knowledge of the manifest and of backend servers that is older than this is fetched anew. What comes by way of another
/// VM is up to 2.6 s old when all is well: twice the time a question is held, and two rounds of statuses. It is judged too
/// old for keys after some 4.6 s.
constexpr Duration AskAfter = std::chrono::milliseconds(2800);
/// Rows of entry VMs change seldom. Longer than the store may hold the question and its answer may take.
constexpr Duration AskAfterForRows = std::chrono::seconds(15);

/// A VM that was heard within this counts as running in the metrics.
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
        addGauges(*context.get<metrics::Metrics>(), presence);
        context.set(ClusterClock::create(*loop, context.get<rows::RowStore>(), presence));
        relayTables(context, *loop, presence);
        tellManifest(presence, context.get<manifest::ManifestCache>());
        return success();
    }

private:
    static void addGauges(metrics::Metrics &metrics, const std::shared_ptr<Presence> &presence)
    {
        // 0 until all rows have been read.
        metrics.gauge("entry_vms_listed", [presence] { return static_cast<double>(presence->vmCount().value_or(0)); });
        metrics.gauge("entry_vms_heard", [presence] { return static_cast<double>(presence->countPeersHeardWithin(HeardWithin)); });
    }

    static void tellManifest(const std::shared_ptr<Presence> &presence, const std::shared_ptr<manifest::ManifestCache> &manifests)
    {
        presence->addStatusContributor(
            [manifests](Status &status) { status.manifestVersion = manifests->current() ? manifests->current()->manifest().version : 0; });
        presence->onStatus([manifests](const Status &status, std::optional<TimePoint>) { manifests->notePeerVersion(status.manifestVersion); });
    }

    static void relayTables(Context &context, EventLoop &loop, const std::shared_ptr<Presence> &presence)
    {
        const auto relay = TableRelay::create(loop, presence);
        for (const auto &watch : *context.get<rows::Watches>()) {
            relay->add(watch, AskAfter);
        }
        relay->add(presence->rowWatch(), AskAfterForRows);
        relay->onOutage([directory = context.get<directory::Directory>(), &loop](TimePoint backAt) { directory->noteOutageUntil(backAt, loop.now()); });
        context.set(relay);
    }
};

const ModuleRegistration<PresenceModule> Registration;

} // namespace

} // namespace cardamomlift::presence
