#include "claims/claimmanager.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"
#include "text/digest.h"

namespace cardamomlift::claims {

namespace {

constexpr std::size_t BootBytes = 8;
constexpr Duration LongestWait = std::chrono::seconds(60);

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
        tools.holder = {context.get<settings::Settings>()->instance, text::randomHex(BootBytes)};
        const auto keeper = ClaimManager::create(std::move(tools));
        waitForTableWhenDraining(context, keeper);
        context.get<metrics::Metrics>()->gauge("claims_unsettled", [keeper] { return static_cast<double>(keeper->unsettled()); });
        context.set(keeper);
        return success();
    }

private:
    /// A VM that drains stays until the table has the ends of its calls, for a bounded time.
    static void waitForTableWhenDraining(Context &context, const std::shared_ptr<ClaimManager> &keeper);
};

void ClaimsModule::waitForTableWhenDraining(Context &context, const std::shared_ptr<ClaimManager> &keeper)
{
    const auto lifecycle = context.get<lifecycle::Lifecycle>();
    const EventLoop *loop = context.get<Runtime>()->loop;
    auto waitBy = std::make_shared<TimePoint>(TimePoint::max());
    lifecycle->onDrain([loop, waitBy] { *waitBy = loop->now() + LongestWait; });
    lifecycle->addProbe("claims", [keeper, loop, waitBy] { return loop->now() < *waitBy ? keeper->unsettled() : 0; });
}

const ModuleRegistration<ClaimsModule> Registration;

} // namespace

} // namespace cardamomlift::claims
