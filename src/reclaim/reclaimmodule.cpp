#include "kernel/module.h"
#include "kernel/runtime.h"
#include "reclaim/reclaimwatch.h"
#include "settings/settingstypes.h"

namespace cardamomlift::reclaim {

namespace {

constexpr Duration NoticePollPeriod = std::chrono::milliseconds(500);

class ReclaimModule : public Module
{
public:
    std::string_view name() const override
    {
        return "reclaim";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"http", "lifecycle", "membership"};
    }

    Result<void> start(Context &context) override
    {
        const auto watch = ReclaimWatch::create(
            *context.get<Runtime>()->loop, context.get<http::Client>(), context.get<lifecycle::Lifecycle>(), context.get<membership::Members>());
        watch->start(context.get<settings::Settings>()->platform.noticeEndpoint, NoticePollPeriod);
        context.set(watch);
        return success();
    }
};

const ModuleRegistration<ReclaimModule> Registration;

} // namespace

} // namespace cardamomlift::reclaim
