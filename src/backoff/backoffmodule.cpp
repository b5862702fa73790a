#include "backoff/backofftracker.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"

namespace cardamomlift::backoff {

namespace {

constexpr Duration TickPeriod = std::chrono::seconds(5);

/// Keeps which backend servers have asked this VM for a backoff.
class BackoffModule : public Module
{
public:
    std::string_view name() const override
    {
        return "backoff";
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
        EventLoop *loop = context.get<Runtime>()->loop;
        const auto tracker = BackoffTracker::create(loop->clock());
        context.set(tracker);
        loop->every(TickPeriod, [tracker] { tracker->tick(); });
        context.get<metrics::Metrics>()->gauge("servers_backing_off", [tracker] { return static_cast<double>(tracker->count()); });
        return success();
    }
};

const ModuleRegistration<BackoffModule> Registration;

} // namespace

} // namespace cardamomlift::backoff
