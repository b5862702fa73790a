#include "kernel/module.h"
#include "kernel/runtime.h"
#include "outliers/outlierdetector.h"
#include "presence/presence.h"
#include "reachability/reachabilitytracker.h"

namespace cardamomlift::outliers {

namespace {

/// How often servers that became outliers or ceased to be are logged.
constexpr Duration TickPeriod = std::chrono::milliseconds(500);

class OutliersModule : public Module
{
public:
    std::string_view name() const override
    {
        return "outliers";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "eventlog", "reachability"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto presence = context.get<presence::Presence>();
        const auto detector = OutlierDetector::create(*loop, context.get<eventlog::EventLog>());
        presence->addStatusContributor([detector](presence::Status &status) { status.outcomes = detector->outcomesToShare(); });
        presence->onStatus([detector](const presence::Status &status, std::optional<TimePoint>) {
            if (!status.isPartial) {
                detector->applyPeerOutcomes(status.instance, status.outcomes);
            }
        });
        const auto reachability = context.get<reachability::ReachabilityTracker>();
        detector->setCutOffCheck([reachability] { return reachability->mayBeCutOff(); });
        reachability->onChange([weak = std::weak_ptr<OutlierDetector>(detector)](bool) {
            if (const auto open = weak.lock()) {
                open->forgetFailures();
            }
        });
        loop->every(TickPeriod, [detector] { detector->tick(); });
        context.set(detector);
        return success();
    }
};

const ModuleRegistration<OutliersModule> Registration;

} // namespace

} // namespace cardamomlift::outliers
