#include "directory/directory.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "overload/overloadcontroller.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"

namespace cardamomlift::overload {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);

/// Limits the open requests at servers that crash when they must refuse too many.
class OverloadModule : public Module
{
public:
    std::string_view name() const override
    {
        return "overload";
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
        OverloadTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.log = context.get<eventlog::EventLog>();
        const auto presence = context.get<presence::Presence>();
        tools.instance = presence->instance();
        tools.storeNow = [time = context.get<presence::ClusterClock>()] {
            return time->storeNow();
        };
        tools.vms = [presence] {
            return presence->vmNames();
        };
        tools.isListed = [directory = context.get<directory::Directory>()](const std::string &instance) {
            return directory->find(instance) != nullptr;
        };
        EventLoop *loop = tools.loop;
        const auto controller = OverloadController::create(std::move(tools));
        loop->every(TickPeriod, [controller] { controller->tick(); });
        context.get<metrics::Metrics>()->gauge("servers_overload_managed", [controller] { return static_cast<double>(controller->managedServers()); });
        context.set(controller);
        return success();
    }
};

const ModuleRegistration<OverloadModule> Registration;

} // namespace

} // namespace cardamomlift::overload
