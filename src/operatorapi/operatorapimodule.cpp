#include "kernel/module.h"
#include "kernel/runtime.h"
#include "operatorapi/operatorapi.h"
#include "settings/settingstypes.h"
#include "settings/tlsfiles.h"

namespace cardamomlift::operatorapi {

namespace {

class OperatorapiModule : public Module
{
public:
    std::string_view name() const override
    {
        return "operatorapi";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"clientbudget", "contract", "lifecycle", "membership", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        OperatorTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.instance = settings->instance;
        tools.tokenSha256 = settings->operatorTokenSha256;
        tools.store = context.get<contract::ContractStore>();
        tools.contracts = context.get<contract::ContractSet>();
        tools.sync = context.get<contract::ContractSync>();
        tools.exchange = context.get<contract::ContractExchange>();
        tools.members = context.get<membership::Members>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.lifecycle = context.get<lifecycle::Lifecycle>();
        BOOST_OUTCOME_TRY(options, settings::serverOptions(settings->operators));
        auto api = OperatorApi::create(std::move(tools), std::move(options), context.get<clientbudget::ClientBudget>());
        if (!api) {
            return api.error();
        }
        context.set(api.value());
        return success();
    }
};

const ModuleRegistration<OperatorapiModule> Registration;

} // namespace

} // namespace cardamomlift::operatorapi
