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
        return {"contract", "limits", "metrics", "spending"};
    }

    Result<void> start(Context &context) override
    {
        AdmissionTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.maxOpen = context.get<settings::Settings>()->limits.openRequests;
        tools.limits = context.get<limits::CustomerLimiter>();
        tools.spending = context.get<spending::SpendingLimiter>();
        tools.metrics = context.get<metrics::Metrics>();
        auto admission = Admission::create(std::move(tools));
        context.get<metrics::Metrics>()->gauge("admission_waiting", [admission] { return static_cast<double>(admission->waitingRequests()); });
        context.get<metrics::Metrics>()->gauge("admission_open", [admission] { return static_cast<double>(admission->openRequests()); });
        context.set(admission);
        return success();
    }
};

const ModuleRegistration<AdmissionModule> Registration;

} // namespace

} // namespace cardamomlift::admission
