#include "kernel/log.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "membership/serverannouncements.h"
#include "reachability/probetargets.h"
#include "reachability/reachabilitytracker.h"

namespace cardamomlift::reachability {

namespace {

/// Finds out whether this VM of the chat gateway reaches the engines and services.
class ChatReachabilityModule : public Module
{
public:
    std::string_view name() const override
    {
        return "chatreachability";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"membership", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        TrackerTools tools;
        tools.loop = loop;
        tools.servers = [members = context.get<membership::Members>()] {
            return probeTargets(*members);
        };
        tools.metrics = context.get<metrics::Metrics>();
        const auto tracker = ReachabilityTracker::create(std::move(tools));
        context.get<membership::ServerAnnouncements>()->onAnswer([tracker] { tracker->noteActivity(); });
        tracker->onChange([](bool isCutOff) {
            if (isCutOff) {
                partLogger("reachability")->warn("No backend server can be reached. Requests are handed over to other VMs.");
            } else {
                partLogger("reachability")->info("Backend servers can be reached again.");
            }
        });
        loop->every(ReachabilityTracker::TickPeriod, [tracker] { tracker->tick(); });
        context.get<metrics::Metrics>()->gauge("servers_unreachable", [tracker] { return tracker->state() == State::Unreachable ? 1.0 : 0.0; });
        context.set(tracker);
        return success();
    }
};

const ModuleRegistration<ChatReachabilityModule> Registration;

} // namespace

} // namespace cardamomlift::reachability
