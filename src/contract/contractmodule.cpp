#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "contract/contractsync.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"

namespace cardamomlift::contract {

namespace {

constexpr Duration PollPeriod = std::chrono::milliseconds(500);

class ContractModule : public Module
{
public:
    std::string_view name() const override
    {
        return "contract";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"table", "lifecycle"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop &loop = *context.get<Runtime>()->loop;
        auto store = ContractStore::create(loop, context.get<table::Table>());
        auto set = ContractSet::create();
        auto sync = ContractSync::create(loop, store, set);
        auto lifecycle = context.get<lifecycle::Lifecycle>();
        sync->onReady([lifecycle] { lifecycle->setReady(); });
        sync->start(PollPeriod);
        context.set(store);
        context.set(set);
        context.set(sync);
        return success();
    }
};

const ModuleRegistration<ContractModule> Registration;

} // namespace

} // namespace cardamomlift::contract
