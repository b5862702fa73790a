#include "allowance/allowancelimiter.h"
#include "kernel/module.h"
#include "kernel/runtime.h"

namespace cardamomlift::allowance {

namespace {

class AllowanceModule : public Module
{
public:
    std::string_view name() const override
    {
        return "allowance";
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
        context.set<forwarding::AllowanceGate>(AllowanceLimiter::create(*context.get<Runtime>()->loop, context.get<presence::Presence>()));
        return success();
    }
};

const ModuleRegistration<AllowanceModule> Registration;

} // namespace

} // namespace cardamomlift::allowance
