#include "kernel/module.h"
#include "kernel/runtime.h"
#include "limits/customerlimiter.h"

namespace cardamomlift::limits {

namespace {

class LimitsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "limits";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"contract", "membership", "peers", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        CustomerLimiterTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.contracts = context.get<contract::ContractSet>();
        tools.members = context.get<membership::Members>();
        tools.peers = context.get<peers::PeerTransport>();
        tools.metrics = context.get<metrics::Metrics>();
        context.set(CustomerLimiter::create(std::move(tools)));
        return success();
    }
};

const ModuleRegistration<LimitsModule> Registration;

} // namespace

} // namespace cardamomlift::limits
