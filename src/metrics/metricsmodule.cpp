#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
#include "metrics/processusage.h"

namespace cardamomlift::metrics {

namespace {

class MetricsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "metrics";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Both;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Context &context) override
    {
        auto metrics = Metrics::create();
        metrics->gauge("process_cpu_seconds_total", [] { return processCpuSeconds(); });
        metrics->gauge("process_resident_bytes", [] { return static_cast<double>(processResidentBytes()); });
        context.set(metrics);
        return success();
    }
};

const ModuleRegistration<MetricsModule> Registration;

} // namespace

} // namespace cardamomlift::metrics
