#pragma once

#include "http/client.h"
#include "table/table.h"

#include <memory>

namespace cardamomlift::table {

/// Where the table is, and how requests to it are signed and bounded.
struct DynamoDbOptions {
    std::string endpoint; ///< "http://10.0.0.1:8000"
    std::string tableName = "cardamomlift";
    http::Signature signature;
    Duration timeout = std::chrono::seconds(2); ///< Of one operation.
};

/// The table service over the published DynamoDB JSON protocol, version 20120810. The key attributes are "pk" and "sk".
class DynamoDbTable : public Table
{
public:
    static std::shared_ptr<DynamoDbTable> create(std::shared_ptr<http::Client> client, DynamoDbOptions options);

    void get(Key key, GetHandler handler) override;
    void query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler) override;
    void write(Write write, WriteHandler handler) override;
    void transact(std::vector<Write> writes, std::string token, WriteHandler handler) override;
    const TableCounters &counters() const override;

private:
    DynamoDbTable() = default;
    void call(std::string_view operation, std::string body, std::function<void(http::ClientResult)> handler);
    std::shared_ptr<http::Client> client_;
    DynamoDbOptions options_;
    TableCounters counters_;
};

} // namespace cardamomlift::table
