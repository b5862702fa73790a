#include "clientbudget/clientbudget.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"

namespace cardamomlift::clientbudget {

namespace {

/// Publishes the budget that all servers of the process share. Its limits are set by the gateway, which knows those of the VM.
class ClientBudgetModule : public Module
{
public:
    std::string_view name() const override
    {
        return "clientbudget";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Both;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto budget = ClientBudget::create(context.get<Runtime>()->loop->clock(), {});
        const auto metrics = context.get<metrics::Metrics>();
        metrics->gauge("client_bytes", [budget] { return static_cast<double>(budget->heldBytes()); });
        metrics->gauge("client_descriptors", [budget] { return static_cast<double>(budget->heldDescriptors()); });
        metrics->gauge("client_connections", [budget] { return static_cast<double>(budget->openConnections()); });
        metrics->gauge("clients_closed_for_memory_total", [budget] { return static_cast<double>(budget->evictions(Shortage::Memory)); });
        metrics->gauge("clients_closed_for_descriptors_total", [budget] { return static_cast<double>(budget->evictions(Shortage::Descriptors)); });
        context.set(budget);
        return success();
    }
};

const ModuleRegistration<ClientBudgetModule> Registration;

} // namespace

} // namespace cardamomlift::clientbudget
