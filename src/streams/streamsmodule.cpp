#include "kernel/module.h"
#include "kernel/runtime.h"
#include "lifecycle/lifecycle.h"
#include "settings/settingstypes.h"
#include "streams/streamkeeper.h"

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
        KeeperTools tools;
        tools.session.loop = context.get<Runtime>()->loop;
        tools.session.engine = context.get<engine::EngineClient>();
        tools.session.planner = context.get<retry::AttemptPlanner>();
        tools.session.metrics = context.get<metrics::Metrics>();
        tools.session.members = context.get<membership::Members>();
        tools.transport = context.get<peers::PeerTransport>();
        tools.zone = context.get<settings::Settings>()->zone;
        const auto keeper = StreamKeeper::create(std::move(tools));
        context.get<metrics::Metrics>()->gauge("request_copies", [keeper] { return static_cast<double>(keeper->copies()); });
        const auto lifecycle = context.get<lifecycle::Lifecycle>();
        lifecycle->onDrain([keeper] { keeper->handOver(); });
        lifecycle->onDrainBound([keeper] { keeper->handOverAndLeave(); });
        lifecycle->addProbe("streams", [keeper] { return keeper->open(); });
        context.set(keeper);
        return success();
    }
};

const ModuleRegistration<StreamsModule> Registration;

} // namespace

} // namespace cardamomlift::streams
