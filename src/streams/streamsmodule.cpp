#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "settings/settingstypes.h"
#include "streams/streamregistry.h"

namespace cardamomlift::streams {

namespace {

class StreamsModule : public Module
{
public:
    std::string_view name() const override
    {
        return "streams";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"engine", "lifecycle", "membership", "metrics", "peers", "recovery", "retry"};
    }

    Result<void> start(Context &context) override
    {
        StreamRegistryTools tools;
        tools.session.loop = context.get<Runtime>()->loop;
        tools.session.engine = context.get<engine::EngineClient>();
        tools.session.planner = context.get<retry::AttemptPlanner>();
        tools.session.metrics = context.get<metrics::Metrics>();
        tools.session.members = context.get<membership::Members>();
        tools.transport = context.get<peers::PeerTransport>();
        tools.zone = context.get<settings::Settings>()->zone;
        const auto registry = StreamRegistry::create(std::move(tools));
        context.get<metrics::Metrics>()->gauge("request_copies", [registry] { return static_cast<double>(registry->copyCount()); });
        const auto lifecycle = context.get<lifecycle::Lifecycle>();
        lifecycle->onDrain([registry] { registry->startHandover(); });
        lifecycle->onDrainDeadline([registry] { registry->finishHandover(); });
        lifecycle->addOpenWorkCounter("streams", [registry] { return registry->openCount(); });
        context.set(registry);
        return success();
    }
};

const ModuleRegistration<StreamsModule> Registration;

} // namespace

} // namespace cardamomlift::streams
