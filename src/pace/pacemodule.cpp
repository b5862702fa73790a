#include "eventlog/eventlog.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "pace/pacetracker.h"
#include "presence/presence.h"

namespace cardamomlift::pace {

namespace {

constexpr Duration TickPeriod = std::chrono::milliseconds(250);

/// Learns how fast each backend server works.
class PaceModule : public Module
{
public:
    std::string_view name() const override
    {
        return "pace";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "eventlog", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto presence = context.get<presence::Presence>();
        const auto tracker = PaceTracker::create(*loop, context.get<eventlog::EventLog>());
        context.set(tracker);
        presence->addStatusContributor([tracker](presence::Status &status) {
            status.paces = tracker->pacesToShare();
            status.firstBytes = tracker->firstBytesToShare();
        });
        presence->onStatus([tracker](const presence::Status &status, std::optional<TimePoint>) {
            if (!status.isPartial) {
                tracker->applyPeer(status);
            }
        });
        const auto metrics = context.get<metrics::Metrics>();
        metrics->gauge("servers_slower_than_mean", [tracker] { return static_cast<double>(tracker->counts().slower); });
        metrics->gauge("servers_faster_than_mean", [tracker] { return static_cast<double>(tracker->counts().faster); });
        loop->every(TickPeriod, [tracker] { tracker->tick(); });
        return success();
    }
};

const ModuleRegistration<PaceModule> Registration;

} // namespace

} // namespace cardamomlift::pace
