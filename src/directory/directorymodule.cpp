#include "directory/directory.h"
#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"

namespace cardamomlift::directory {

namespace {

/// How often entries that are missing after a store outage are checked.
constexpr Duration TickPeriod = std::chrono::milliseconds(250);

class DirectoryModule : public Module
{
public:
    std::string_view name() const override
    {
        return "directory";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto directory = Directory::create();
        EventLoop *loop = context.get<Runtime>()->loop;
        loop->every(TickPeriod, [directory, loop] { directory->tick(loop->now()); });
        context.get<metrics::Metrics>()->gauge("servers_known", [directory] { return static_cast<double>(directory->size()); });
        context.set(directory);
        return success();
    }
};

const ModuleRegistration<DirectoryModule> Registration;

} // namespace

} // namespace cardamomlift::directory
