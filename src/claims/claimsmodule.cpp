#include "claims/claimmanager.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"
#include "text/digest.h"

namespace cardamomlift::claims {

namespace {

constexpr std::size_t BootIdBytes = 8;
constexpr Duration MaxDrainWait = std::chrono::seconds(60);

class ClaimsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "claims";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"lifecycle", "membership", "metrics", "peers", "table"};
    }

    Result<void> start(Context &context) override
    {
        ClaimTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.table = context.get<table::Table>();
        tools.peers = context.get<peers::PeerTransport>();
        tools.members = context.get<membership::Members>();
        tools.holder = {context.get<settings::Settings>()->instance, text::randomHex(BootIdBytes)};
        const auto manager = ClaimManager::create(std::move(tools));
        waitForTableWhenDraining(context, manager);
        context.get<metrics::Metrics>()->gauge("claims_unsettled", [manager] { return static_cast<double>(manager->unsettledCount()); });
        context.set(manager);
        return success();
    }

private:
    /// Keeps a draining VM running until the outcomes of its calls are in the table, for MaxDrainWait at most.
    static void waitForTableWhenDraining(Context &context, const std::shared_ptr<ClaimManager> &manager);
};

void ClaimsModule::waitForTableWhenDraining(Context &context, const std::shared_ptr<ClaimManager> &manager)
{
    const auto lifecycle = context.get<lifecycle::Lifecycle>();
    const EventLoop *loop = context.get<Runtime>()->loop;
    auto deadline = std::make_shared<TimePoint>(TimePoint::max());
    lifecycle->onDrain([loop, deadline] { *deadline = loop->now() + MaxDrainWait; });
    lifecycle->addOpenWorkCounter("claims", [manager, loop, deadline] { return loop->now() < *deadline ? manager->unsettledCount() : 0; });
}

const ModuleRegistration<ClaimsModule> Registration;

} // namespace

} // namespace cardamomlift::claims
