#include "admission/admission.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "settings/settingstypes.h"

namespace cardamomlift::admission {

namespace {

class AdmissionModule : public Module
{
public:
    std::string_view name() const override
    {
        return "admission";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"contract"};
    }

    Result<void> start(Context &context) override
    {
        context.set(Admission::create(*context.get<Runtime>()->loop, context.get<settings::Settings>()->limits.openRequests));
        return success();
    }
};

const ModuleRegistration<AdmissionModule> Registration;

} // namespace

} // namespace cardamomlift::admission
