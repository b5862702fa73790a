#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"

namespace cardamomlift::metrics {

namespace {

class MetricsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "metrics";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Context &context) override
    {
        context.set(Metrics::create());
        return success();
    }
};

const ModuleRegistration<MetricsModule> Registration;

} // namespace

} // namespace cardamomlift::metrics
