#include "kernel/module.h"
#include "kernel/runtime.h"
#include "membership/loadreports.h"
#include "routing/router.h"

namespace cardamomlift::routing {

namespace {

void feedLoad(membership::LoadReports &reports, const std::shared_ptr<Router> &router, const Clock &clock)
{
    reports.onReport([router, &clock](const std::string &instance, const membership::LoadReport &report) {
        router->noteLoad(instance, {report.running, report.waiting, report.kvUsed}, clock.now());
    });
}

class RoutingModule : public Module
{
public:
    std::string_view name() const override
    {
        return "routing";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"backoff", "membership"};
    }

    Result<void> start(Context &context) override
    {
        const Clock &clock = context.get<Runtime>()->loop->clock();
        auto router = Router::create(clock, context.get<membership::Members>(), context.get<backoff::BackoffTracker>());
        feedLoad(*context.get<membership::LoadReports>(), router, clock);
        context.set(router);
        return success();
    }
};

const ModuleRegistration<RoutingModule> Registration;

} // namespace

} // namespace cardamomlift::routing
