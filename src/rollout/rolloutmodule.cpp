#include "kernel/module.h"
#include "kernel/runtime.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"
#include "presence/tablerelay.h"
#include "rollout/rolloutagent.h"
#include "rollout/rolloutcontroller.h"
#include "rows/rowwatch.h"
#include "settings/settingstypes.h"

namespace cardamomlift::rollout {

namespace {

/// How often this VM evaluates the outcomes known to it.
constexpr Duration TickPeriod = std::chrono::milliseconds(500);
/// Long-poll timeout of the request for changed records during a rollout. It limits the age of the known records, which is
/// the time since the last answered request.
constexpr Duration RolloutWait = std::chrono::milliseconds(800);
/// Long-poll timeout while there is no rollout. A change is answered at once anyway, and each answer is charged.
constexpr Duration IdleWait = std::chrono::seconds(6);
/// Maximum age of records relayed by other VMs; with older ones, the VM asks the store itself. Twice IdleWait, and the delay
/// of a relaying VM.
constexpr Duration MaxRelayedAge = std::chrono::seconds(15);
/// A VM that controls rollouts counts as lost if it was not heard from for this long. With many VMs, for two of their status
/// periods, which are longer.
constexpr Duration ControllerHeardWithin = std::chrono::milliseconds(1500);

/// Starts the RolloutAgent: follows the table of records, and exchanges outcomes with the other VMs.
class RolloutModule : public Module
{
public:
    std::string_view name() const override
    {
        return "rollout";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"presence", "platform", "directory", "eventlog", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const RolloutLimits &limits = context.get<settings::Settings>()->routes->rollouts;
        if (!limits.isEnabled) {
            return success();
        }
        loop_ = context.get<Runtime>()->loop;
        presence_ = context.get<presence::Presence>();
        agent_ = RolloutAgent::create(tools(context, limits));
        context.set(agent_);
        context.set<forwarding::VersionGate>(agent_);
        watchRecords(context);
        presence_->addStatusContributor([agent = agent_](presence::Status &status) { agent->fillStatus(status); });
        presence_->onStatus([agent = agent_](const presence::Status &status, std::optional<TimePoint>) { agent->receiveStatus(status); });
        loop_->every(TickPeriod, [this] {
            agent_->tick();
            watch_->setPollWait(agent_->isAnyInProgress() ? RolloutWait : IdleWait);
        });
        return success();
    }

    void stop(Context &) override
    {
        if (watch_) {
            watch_->stop();
        }
    }

private:
    AgentTools tools(Context &context, const RolloutLimits &limits)
    {
        AgentTools tools;
        tools.loop = loop_;
        tools.limits = limits;
        tools.instance = context.get<settings::Settings>()->instance;
        tools.orders = context.get<OrderCache>();
        tools.directory = context.get<directory::Directory>();
        tools.log = context.get<eventlog::EventLog>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.storeNow = [time = context.get<presence::ClusterClock>()] {
            return time->storeNow();
        };
        tools.vmCount = [presence = presence_] {
            return presence->vmCount();
        };
        tools.upFor = [presence = presence_] {
            return presence->uptime();
        };
        tools.recordsConfirmedAt = [this] {
            return watch_ ? watch_->confirmedAt() : std::nullopt;
        };
        tools.hasLiveController = [presence = presence_, &context] {
            const auto lease = context.find<duties::LeaderLease>();
            const auto heard = presence->recentlyHeard(std::max(ControllerHeardWithin, presence->period() * 2));
            return (lease && lease->isHeld()) || std::any_of(heard.begin(), heard.end(), [](const presence::Peer *peer) { return peer->status->holdsLease; });
        };
        return tools;
    }

    void watchRecords(Context &context)
    {
        rows::WatchHandlers handlers;
        handlers.onSnapshot = [this](const rows::TableSnapshot &whole) {
            agent_->applyAllRecords(whole);
        };
        handlers.onChanges = [this](const std::vector<rows::Row> &rows) {
            agent_->applyRecords(rows);
        };
        handlers.onConfirmed = [](TimePoint) {
        };
        handlers.onReachabilityChanged = [](bool, rows::StoreFailure) {
        };
        watch_ = rows::RowWatch::start({loop_, context.get<rows::RowStore>(), context.get<eventlog::EventLog>()}, RecordsTable, IdleWait, std::move(handlers));
        context.get<presence::TableRelay>()->add(watch_, MaxRelayedAge);
    }

    EventLoop *loop_ = nullptr;
    std::shared_ptr<presence::Presence> presence_;
    std::shared_ptr<RolloutAgent> agent_;
    std::shared_ptr<rows::RowWatch> watch_;
};

const ModuleRegistration<RolloutModule> Registration;

} // namespace

} // namespace cardamomlift::rollout
