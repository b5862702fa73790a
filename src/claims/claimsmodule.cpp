#include "claims/claimkeeper.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "settings/settingstypes.h"

namespace cardamomlift::claims {

namespace {

class ClaimsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "claims";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"table"};
    }

    Result<void> start(Context &context) override
    {
        context.set(ClaimKeeper::create(*context.get<Runtime>()->loop, context.get<table::Table>(), context.get<settings::Settings>()->instance));
        return success();
    }
};

const ModuleRegistration<ClaimsModule> Registration;

} // namespace

} // namespace cardamomlift::claims
