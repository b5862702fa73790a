#pragma once

#include "http/client.h"
#include "table/table.h"

#include <memory>

namespace cardamomlift::table {

/// Endpoint, request signing and time limit of a DynamoDbTable.
struct DynamoDbOptions {
    std::string endpoint; ///< As in "http://10.0.0.1:8000"
    std::string tableName = "cardamomlift";
    http::Signature signature;
    Duration timeout = std::chrono::seconds(2); ///< Time limit of one operation.
};

/// A client of the table service that uses the DynamoDB JSON protocol, version 20120810. The key attributes are "pk"
/// (partition key) and "sk" (sort key).
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
