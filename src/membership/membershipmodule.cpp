#include "kernel/module.h"
#include "kernel/runtime.h"
#include "membership/vmlist.h"
#include "settings/settingstypes.h"

namespace cardamomlift::membership {

namespace {

constexpr Duration ListPeriod = std::chrono::milliseconds(500);

class MembershipModule : public Module
{
public:
    std::string_view name() const override
    {
        return "membership";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"http"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        auto members = Members::create(settings->instance);
        context.set(members);
        if (settings->platform.inMemory) {
            members->applyList(settings->platform.vms);
            return success();
        }
        auto reader = VmListReader::create(*context.get<Runtime>()->loop, context.get<http::Client>(), members, settings->platform.vmListEndpoint);
        reader->start(ListPeriod);
        context.set(reader);
        return success();
    }
};

const ModuleRegistration<MembershipModule> Registration;

} // namespace

} // namespace cardamomlift::membership
