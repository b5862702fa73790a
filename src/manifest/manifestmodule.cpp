#include "kernel/module.h"
#include "manifest/manifestkeeper.h"

namespace cardamomlift::manifest {

namespace {

class ManifestModule : public Module
{
public:
    std::string_view name() const override
    {
        return "manifest";
    }

    ModuleUse use() const override
    {
        return ModuleUse::Routes;
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {};
    }

    Result<void> start(Context &context) override
    {
        context.set(ManifestKeeper::create());
        return success();
    }
};

const ModuleRegistration<ManifestModule> Registration;

} // namespace

} // namespace cardamomlift::manifest
