#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/presence.h"
#include "suspects/routesuspecttracker.h"

namespace cardamomlift::suspects {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(500);

class RouteSuspectsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "routesuspects";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "directory", "eventlog", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        RouteSuspectTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.directory = context.get<directory::Directory>();
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        EventLoop *loop = tools.loop;
        const auto tracker = RouteSuspectTracker::create(std::move(tools));
        context.set<forwarding::SuspectGate>(tracker);
        const auto presence = context.get<presence::Presence>();
        presence->addStatusContributor([tracker](presence::Status &status) { status.crashUpdate = tracker->updateToShare(); });
        presence->onStatus(
            [tracker](const presence::Status &status, std::optional<TimePoint>) { tracker->applyPeerUpdate(status.instance, status.crashUpdate); });
        loop->every(TickPeriod, [tracker] { tracker->tick(); });
        context.get<metrics::Metrics>()->gauge("server_crashes_known", [tracker] { return static_cast<double>(tracker->store().crashes()); });
        context.get<metrics::Metrics>()->gauge("parts_blocked", [tracker] { return static_cast<double>(tracker->store().partBlocks().entries().size()); });
        context.get<metrics::Metrics>()->gauge("parts_answered", [tracker] { return static_cast<double>(tracker->store().answeredParts()); });
        context.get<metrics::Metrics>()->gauge("requests_blocked", [tracker] { return static_cast<double>(tracker->store().blockedRequests().size()); });
        return success();
    }
};

const ModuleRegistration<RouteSuspectsModule> Registration;

} // namespace

} // namespace cardamomlift::suspects
