#include "kernel/module.h"
#include "kernel/runtime.h"
#include "settings/settingstypes.h"
#include "table/dynamodbtable.h"
#include "table/memorytable.h"

namespace cardamomlift::table {

namespace {

class TableModule : public Module
{
public:
    std::string_view name() const override
    {
        return "table";
    }

    std::vector<std::string_view> dependencies() const override
    {
        return {"http"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const settings::PlatformSettings &platform = settings->platform;
        if (platform.inMemory) {
            context.set<Table>(MemoryTable::create(*context.get<Runtime>()->loop, std::make_shared<MemoryRows>()));
            return success();
        }
        DynamoDbOptions options;
        options.endpoint = platform.tableEndpoint;
        options.tableName = platform.tableName;
        options.signature = {platform.region, "dynamodb", platform.accessKey, platform.secretKey};
        context.set<Table>(DynamoDbTable::create(context.get<http::Client>(), options));
        return success();
    }
};

const ModuleRegistration<TableModule> Registration;

} // namespace

} // namespace cardamomlift::table
