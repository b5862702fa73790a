#include "kernel/module.h"
#include "kernel/runtime.h"
#include "manifest/manifestkeeper.h"
#include "presence/presence.h"
#include "presence/truetime.h"
#include "settings/settingstypes.h"

#include <random>

namespace cardamomlift::presence {

namespace {

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
        return {"platform", "manifest", "eventlog"};
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
        BOOST_OUTCOME_TRY(datagrams, UdpDatagrams::open(*tools.loop, tools.endpoint));
        tools.datagrams = datagrams;
        EventLoop *loop = tools.loop;
        const auto presence = Presence::start(std::move(tools));
        context.set(presence);
        context.set(TrueTime::create(*loop, context.get<rows::RowStore>(), presence));
        shareFreshness(*loop, *presence, context.get<manifest::ManifestKeeper>());
        return success();
    }

private:
    // What a peer knows of the manifest's age counts here too, if both have the same version.
    static void shareFreshness(EventLoop &loop, Presence &presence, const std::shared_ptr<manifest::ManifestKeeper> &manifests)
    {
        presence.contribute([manifests, &loop](Status &status) {
            if (const auto current = manifests->current()) {
                status.manifestVersion = current->manifest().version;
                status.manifestAge = manifests->age(loop.now());
            }
        });
        presence.onStatus([manifests](const Status &status, std::optional<TimePoint> provenAt) {
            const auto current = manifests->current();
            if (provenAt && current && status.manifestAge && status.manifestVersion == current->manifest().version) {
                manifests->confirm(*provenAt - *status.manifestAge);
            }
        });
    }
};

const ModuleRegistration<PresenceModule> Registration;

} // namespace

} // namespace cardamomlift::presence
