#include "kernel/module.h"
#include "kernel/runtime.h"
#include "recovery/recoveringclient.h"

namespace cardamomlift::recovery {

namespace {

/// Replaces the EngineClient in the context by a RecoveringClient that wraps it.
class RecoveryModule : public Module
{
public:
    std::string_view name() const override
    {
        return "recovery";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"engine", "membership", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        auto direct = context.get<engine::EngineClient>();
        auto client =
            RecoveringClient::create(*context.get<Runtime>()->loop, std::move(direct), context.get<membership::Members>(), context.get<metrics::Metrics>());
        context.set<engine::EngineClient>(client);
        return success();
    }
};

const ModuleRegistration<RecoveryModule> Registration;

} // namespace

} // namespace cardamomlift::recovery
