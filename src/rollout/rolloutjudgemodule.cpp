#include "forwarding/forwarder.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/truetime.h"
#include "rollout/rolloutjudge.h"
#include "rollout/rolloutkeeper.h"

namespace cardamomlift::rollout {

namespace {

/// What decides rollouts while this VM holds the duty lease, and moves what runs at servers that are about to stop.
class RolloutJudgeModule : public Module
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
        const auto keeper = context.find<RolloutKeeper>();
        const auto lease = context.find<duties::LeaderLease>();
        if (!keeper || !lease) {
            return success();
        }
        JudgeTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.lease = lease;
        tools.store = context.get<rows::RowStore>();
        tools.keeper = keeper;
        tools.orders = context.get<OrderBook>();
        tools.directory = context.get<directory::Directory>();
        tools.log = context.get<eventlog::EventLog>();
        tools.storeNow = [time = context.get<presence::TrueTime>()] {
            return time->storeNow();
        };
        tools.format = *context.get<StatusFormat>();
        context.set(RolloutJudge::start(std::move(tools)));
        keeper->onMoving([forwarder = context.get<forwarding::Forwarder>()](
                             const Record &record, TimePoint stopAt) { forwarder->leaveOtherVersions(record.service, record.toVersion, stopAt); });
        return success();
    }
};

const ModuleRegistration<RolloutJudgeModule> Registration;

} // namespace

} // namespace cardamomlift::rollout
