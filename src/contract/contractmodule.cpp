#include "contract/contractexchange.h"
#include "contract/contractset.h"
#include "contract/contractstore.h"
#include "contract/contractsync.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "membership/vmlist.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"

#include <fmt/format.h>

namespace cardamomlift::contract {

namespace {

void gateReadinessOnFreshness(lifecycle::Lifecycle &lifecycle, ContractSync &sync, const std::shared_ptr<ContractExchange> &exchange)
{
    lifecycle.setReadinessCheck([exchange] { return mayTakeNewWork(exchange->freshness()); });
    sync.onReady([&lifecycle] { lifecycle.setReady(); });
}

/// contract_edit_delay_seconds compares the wall clocks of two VMs, so it is only as accurate as they are synchronized.
void publishMetrics(metrics::Metrics &metrics, EventLoop &loop, const std::shared_ptr<ContractSet> &set, const std::shared_ptr<ContractExchange> &exchange)
{
    metrics.gauge("contract_revision", [set] { return static_cast<double>(set->revision()); });
    metrics.gauge("contract_may_take_new_work", [exchange] { return mayTakeNewWork(exchange->freshness()) ? 1.0 : 0.0; });
    metrics.gauge("contract_exchange_questions", [exchange] { return static_cast<double>(exchange->counters().pulls); });
    metrics.gauge("contract_exchange_bytes_sent", [exchange] { return static_cast<double>(exchange->counters().bytesSent); });
    metrics.gauge("contract_exchange_bytes_received", [exchange] { return static_cast<double>(exchange->counters().bytesReceived); });
    set->onChange([&metrics, &loop](const ContractInForce &entry) {
        metrics.add(fmt::format("contract_versions_in_force_total{{hops=\"{}\"}}", entry.version.hops));
        const auto now = std::chrono::duration_cast<Duration>(loop.clock().wallNow().time_since_epoch());
        metrics.observe("contract_edit_delay_seconds", now - std::chrono::milliseconds(entry.version.acceptedAtMs));
    });
}

class ContractModule : public Module
{
public:
    std::string_view name() const override
    {
        return "contract";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"table", "lifecycle", "peers", "membership", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        EventLoop &loop = *context.get<Runtime>()->loop;
        auto store = ContractStore::create(loop, context.get<table::Table>());
        auto set = ContractSet::create();
        auto sync = ContractSync::create(loop, store, set);
        ExchangeTools tools;
        tools.loop = &loop;
        tools.transport = context.get<peers::PeerTransport>();
        tools.members = context.get<membership::Members>();
        tools.set = set;
        tools.sync = sync;
        tools.listKnown = [reader = context.find<membership::VmListReader>()] {
            return !reader || reader->hasRead();
        };
        auto exchange = ContractExchange::create(tools);
        gateReadinessOnFreshness(*context.get<lifecycle::Lifecycle>(), *sync, exchange);
        sync->start(context.get<settings::Settings>()->instance, [exchange] { return exchange->freshnessInputs().listed; });
        exchange->start();
        publishMetrics(*context.get<metrics::Metrics>(), loop, set, exchange);
        context.set(exchange);
        context.set(store);
        context.set(set);
        context.set(sync);
        return success();
    }
};

const ModuleRegistration<ContractModule> Registration;

} // namespace

} // namespace cardamomlift::contract
