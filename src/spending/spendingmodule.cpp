#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "settings/settingstypes.h"
#include "spending/spendinglimiter.h"

namespace cardamomlift::spending {

namespace {

class SpendingModule : public Module
{
public:
    std::string_view name() const override
    {
        return "spending";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"table", "contract", "membership", "peers", "metrics", "lifecycle"};
    }

    Result<void> start(Context &context) override
    {
        SpendingTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.instance = context.get<settings::Settings>()->instance;
        tools.table = context.get<table::Table>();
        tools.contracts = context.get<contract::ContractSet>();
        tools.members = context.get<membership::Members>();
        tools.peers = context.get<peers::PeerTransport>();
        tools.metrics = context.get<metrics::Metrics>();
        auto limiter = SpendingLimiter::create(std::move(tools));
        auto lifecycle = context.get<lifecycle::Lifecycle>();
        lifecycle->onDrain([limiter] { limiter->drain(); });
        lifecycle->addOpenWorkCounter("spending", [limiter] { return limiter->pendingReturns(); });
        context.set(limiter);
        return success();
    }
};

const ModuleRegistration<SpendingModule> Registration;

} // namespace

} // namespace cardamomlift::spending
