#include "kernel/module.h"
#include "settings/settingstypes.h"
#include "usage/usagecounter.h"

namespace cardamomlift::usage {

namespace {

class UsageModule : public Module
{
public:
    std::string_view name() const override
    {
        return "usage";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence"};
    }

    Result<void> start(Context &context) override
    {
        const Duration window = context.get<settings::Settings>()->routes->usageWindow;
        const auto counter = UsageCounter::create(context.get<presence::Presence>(), context.get<presence::ClusterClock>(), window);
        context.set(counter);
        context.set<forwarding::UsageMeter>(counter);
        return success();
    }
};

const ModuleRegistration<UsageModule> Registration;

} // namespace

} // namespace cardamomlift::usage
