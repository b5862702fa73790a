#include "forwarding/forwarder.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/clusterclock.h"
#include "rollout/rolloutagent.h"
#include "rollout/rolloutcontroller.h"

namespace cardamomlift::rollout {

namespace {

/// Starts the RolloutController, and moves open requests away from servers of other versions before these stop.
class RolloutControllerModule : public Module
{
public:
    std::string_view name() const override
    {
        return "rolloutjudge";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"rollout", "duties", "forwarding"};
    }

    Result<void> start(Context &context) override
    {
        const auto agent = context.find<RolloutAgent>();
        const auto lease = context.find<duties::LeaderLease>();
        if (!agent || !lease) {
            return success();
        }
        ControllerTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.lease = lease;
        tools.store = context.get<rows::RowStore>();
        tools.agent = agent;
        tools.orders = context.get<OrderCache>();
        tools.directory = context.get<directory::Directory>();
        tools.log = context.get<eventlog::EventLog>();
        tools.storeNow = [time = context.get<presence::ClusterClock>()] {
            return time->storeNow();
        };
        tools.format = *context.get<StatusFormat>();
        context.set(RolloutController::start(std::move(tools)));
        agent->onMoving([forwarder = context.get<forwarding::Forwarder>()](
                            const Record &record, TimePoint stopAt) { forwarder->moveRunsOffOtherVersions(record.service, record.toVersion, stopAt); });
        return success();
    }
};

const ModuleRegistration<RolloutControllerModule> Registration;

} // namespace

} // namespace cardamomlift::rollout
