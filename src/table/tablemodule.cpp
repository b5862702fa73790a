#include "kernel/module.h"
#include "kernel/runtime.h"
#include "metrics/metrics.h"
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
        return {"http", "metrics"};
    }

    Result<void> start(Context &context) override
    {
        const auto settings = context.get<settings::Settings>();
        const settings::PlatformSettings &platform = settings->platform;
        if (platform.inMemory) {
            context.set<Table>(MemoryTable::create(*context.get<Runtime>()->loop, std::make_shared<MemoryRows>()));
            publishCounters(context);
            return success();
        }
        DynamoDbOptions options;
        options.endpoint = platform.tableEndpoint;
        options.tableName = platform.tableName;
        options.signature = {platform.region, "dynamodb", platform.accessKey, platform.secretKey};
        context.set<Table>(DynamoDbTable::create(context.get<http::Client>(), options));
        publishCounters(context);
        return success();
    }

private:
    static void publishCounters(const Context &context)
    {
        const auto metrics = context.get<metrics::Metrics>();
        const auto table = context.get<Table>();
        const auto publish = [&](const char *name, std::uint64_t TableCounters::*member) {
            metrics->gauge(name, [table, member] { return static_cast<double>(table->counters().*member); });
        };
        publish("table_reads_total", &TableCounters::reads);
        publish("table_write_requests_total", &TableCounters::writeRequests);
        publish("table_items_written_total", &TableCounters::itemsWritten);
        publish("table_unavailable_total", &TableCounters::unavailable);
        publish("table_bytes_sent_total", &TableCounters::bytesSent);
        publish("table_bytes_received_total", &TableCounters::bytesReceived);
    }
};

const ModuleRegistration<TableModule> Registration;

} // namespace

} // namespace cardamomlift::table
