#include "kernel/module.h"
#include "kernel/runtime.h"
#include "suspects/suspecttracker.h"

namespace cardamomlift::suspects {

namespace {

class SuspectsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "suspects";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"membership", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        TrackerTools tools;
        tools.loop = context.get<Runtime>()->loop;
        tools.members = context.get<membership::Members>();
        tools.gossip = context.get<membership::Gossip>();
        tools.metrics = context.get<metrics::Metrics>();
        context.set(SuspectTracker::create(std::move(tools)));
        return success();
    }
};

const ModuleRegistration<SuspectsModule> Registration;

} // namespace

} // namespace cardamomlift::suspects
