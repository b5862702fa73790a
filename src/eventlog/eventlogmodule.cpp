#include "eventlog/eventlog.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"

namespace cardamomlift::eventlog {

namespace {

class EventLogModule : public Module
{
public:
    std::string_view name() const override
    {
        return "eventlog";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto log = EventLog::create(context.get<Runtime>()->loop->clock(), context.get<settings::Settings>()->instance, standardOutputSink());
        const auto metrics = context.get<metrics::Metrics>();
        metrics->gauge("event_lines_total", [log] { return static_cast<double>(log->written()); });
        metrics->gauge("event_lines_dropped_total", [log] { return static_cast<double>(log->dropped()); });
        context.set(log);
        return success();
    }
};

const ModuleRegistration<EventLogModule> Registration;

} // namespace

} // namespace cardamomlift::eventlog
