#include "kernel/module.h"
#include "kernel/runtime.h"
#include "retry/attemptplanner.h"

namespace cardamomlift::retry {

namespace {

class RetryModule : public Module
{
public:
    std::string_view name() const override
    {
        return "retry";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"chatreachability", "membership", "metrics", "routing", "suspects"};
    }

    Result<void> start(Context &context) override
    {
        PlannerTools tools;
        tools.clock = &context.get<Runtime>()->loop->clock();
        tools.router = context.get<routing::Router>();
        tools.suspects = context.get<suspects::SuspectTracker>();
        tools.members = context.get<membership::Members>();
        tools.metrics = context.get<metrics::Metrics>();
        tools.reachability = context.get<reachability::ReachabilityTracker>();
        context.set(AttemptPlanner::create(std::move(tools)));
        return success();
    }
};

const ModuleRegistration<RetryModule> Registration;

} // namespace

} // namespace cardamomlift::retry
