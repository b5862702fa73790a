#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"

namespace cardamomlift::lifecycle {

namespace {

class LifecycleModule : public Module
{
public:
    std::string_view name() const override
    {
        return "lifecycle";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Context &context) override
    {
        context.set(Lifecycle::create(*context.get<Runtime>()->loop));
        return success();
    }
};

const ModuleRegistration<LifecycleModule> Registration;

} // namespace

} // namespace cardamomlift::lifecycle
