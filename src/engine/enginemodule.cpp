#include "engine/engineclient.h"
#include "kernel/module.h"
#include "kernel/runtime.h"

namespace cardamomlift::engine {

namespace {

class EngineModule : public Module
{
public:
    std::string_view name() const override
    {
        return "engine";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"http", "membership"};
    }

    Result<void> start(Context &context) override
    {
        context.set(EngineClient::create(context.get<http::Client>(), context.get<membership::ServerAnnouncements>()));
        return success();
    }
};

const ModuleRegistration<EngineModule> Registration;

} // namespace

} // namespace cardamomlift::engine
