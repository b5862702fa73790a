#include "http/client.h"
#include "kernel/module.h"
#include "kernel/runtime.h"

namespace cardamomlift::http {

namespace {

class HttpModule : public Module
{
public:
    std::string_view name() const override
    {
        return "http";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Context &context) override
    {
        auto client = Client::create(*context.get<Runtime>()->loop);
        if (!client) {
            return client.error();
        }
        context.set(std::shared_ptr<Client>(std::move(client.value())));
        return success();
    }
};

const ModuleRegistration<HttpModule> Registration;

} // namespace

} // namespace cardamomlift::http
