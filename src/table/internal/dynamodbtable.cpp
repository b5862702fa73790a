#include "table/dynamodbtable.h"

#include "http/json.h"
#include "table/dynamodbformat.h"

#include <fmt/format.h>

namespace cardamomlift::table {

namespace {

constexpr char ContentType[] = "application/x-amz-json-1.0";

/// The error code of an error response: the part of "__type" after "#", as in
/// "com.amazonaws.dynamodb.v20120810#ConditionalCheckFailedException".
std::string errorCode(const Json::Value &body)
{
    if (!body.isObject() || !body["__type"].isString()) {
        return {};
    }
    const std::string type = body["__type"].asString();
    const auto hash = type.rfind('#');
    return hash == std::string::npos ? type : type.substr(hash + 1);
}

Json::Value parsedBody(const http::ClientResult &result)
{
    return http::parseJson(result.body).value_or(Json::Value());
}

bool isRead(std::string_view operation)
{
    return operation == "GetItem" || operation == "Query";
}

Error readError(const http::ClientResult &result)
{
    if (result.transport != http::Transport::Completed) {
        return failure(ErrorKind::Unavailable, "no complete response from the table: " + result.error);
    }
    return failure(ErrorKind::Unavailable, fmt::format("the table responded with status {} {}", result.status, errorCode(parsedBody(result))));
}

/// For each write of a cancelled transaction whether its condition failed, from the CancellationReasons.
std::vector<bool> failedConditions(const Json::Value &body)
{
    std::vector<bool> failed;
    for (const Json::Value &reason : http::jsonMember(body, "CancellationReasons")) {
        failed.push_back(http::jsonText(reason, "Code") == "ConditionalCheckFailed");
    }
    return failed;
}

WriteResult writeResult(const http::ClientResult &result)
{
    if (result.transport == http::Transport::NotSent) {
        return {WriteOutcome::NotWritten, {}, result.error};
    }
    if (result.transport != http::Transport::Completed) {
        return {WriteOutcome::Unknown, {}, result.error};
    }
    if (result.status == 200) {
        return {WriteOutcome::Written};
    }
    const Json::Value body = parsedBody(result);
    const std::string code = errorCode(body);
    if (code == "ConditionalCheckFailedException") {
        return {WriteOutcome::ConditionFailed, {true}, code};
    }
    if (code == "TransactionCanceledException") {
        return {WriteOutcome::ConditionFailed, failedConditions(body), code};
    }
    // NOTE A server error (5xx) may be returned after the write took effect; only a client error (4xx) proves that it
    // did not.
    const bool refused = result.status >= 400 && result.status < 500;
    return {refused ? WriteOutcome::NotWritten : WriteOutcome::Unknown, {}, fmt::format("status {} {}", result.status, code)};
}

Json::Value writeToJson(const Write &write, const std::string &tableName)
{
    Json::Value json;
    json["TableName"] = tableName;
    if (write.kind == WriteKind::Put) {
        json["Item"] = itemToJson(write.item);
    } else {
        json["Key"] = keyToJson(write.item.key);
    }
    addCondition(json, write.condition);
    return json;
}

const char *transactionAction(WriteKind kind)
{
    switch (kind) {
    case WriteKind::Put:
        return "Put";
    case WriteKind::Delete:
        return "Delete";
    case WriteKind::Check:
        return "ConditionCheck";
    }
    return "";
}

} // namespace

std::shared_ptr<DynamoDbTable> DynamoDbTable::create(std::shared_ptr<http::Client> client, DynamoDbOptions options)
{
    std::shared_ptr<DynamoDbTable> table(new DynamoDbTable);
    table->client_ = std::move(client);
    table->options_ = std::move(options);
    return table;
}

void DynamoDbTable::call(std::string_view operation, std::string body, std::function<void(http::ClientResult)> handler)
{
    http::ClientRequest request;
    request.method = "POST";
    request.url = options_.endpoint + "/";
    request.headers["Content-Type"] = ContentType;
    request.headers["X-Amz-Target"] = std::string(TargetPrefix) + std::string(operation);
    request.body = std::move(body);
    request.timeout = options_.timeout;
    request.signature = options_.signature;
    request.mayResend = isRead(operation);
    http::ClientHooks hooks;
    hooks.onDone = [this, handler = std::move(handler)](http::ClientResult result) {
        counters_.bytesSent += result.bytesSent;
        counters_.bytesReceived += result.bytesReceived;
        if (result.transport != http::Transport::Completed || result.status >= 500) {
            counters_.unavailable++;
        }
        handler(std::move(result));
    };
    client_->start(std::move(request), std::move(hooks));
}

void DynamoDbTable::get(Key key, GetHandler handler)
{
    counters_.reads++;
    Json::Value body;
    body["TableName"] = options_.tableName;
    body["Key"] = keyToJson(key);
    body["ConsistentRead"] = true;
    call("GetItem", http::writeJson(body), [handler = std::move(handler)](http::ClientResult result) {
        if (result.transport != http::Transport::Completed || result.status != 200) {
            handler(readError(result));
            return;
        }
        const Json::Value answer = parsedBody(result);
        handler(answer.isObject() && answer.isMember("Item") ? itemFromJson(answer["Item"]) : std::nullopt);
    });
}

void DynamoDbTable::query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler)
{
    counters_.reads++;
    Json::Value body;
    body["TableName"] = options_.tableName;
    body["ConsistentRead"] = true;
    body["Limit"] = static_cast<Json::UInt64>(limit);
    body["KeyConditionExpression"] = "pk = :p AND sk > :s";
    body["ExpressionAttributeValues"][":p"]["S"] = partition;
    body["ExpressionAttributeValues"][":s"]["S"] = afterSort;
    call("Query", http::writeJson(body), [handler = std::move(handler)](http::ClientResult result) {
        if (result.transport != http::Transport::Completed || result.status != 200) {
            handler(readError(result));
            return;
        }
        std::vector<Item> items;
        const Json::Value answer = parsedBody(result);
        for (const Json::Value &json : http::jsonMember(answer, "Items")) {
            if (auto item = itemFromJson(json)) {
                items.push_back(std::move(*item));
            }
        }
        handler(std::move(items));
    });
}

void DynamoDbTable::write(Write write, WriteHandler handler)
{
    counters_.writeRequests++;
    counters_.itemsWritten++;
    const char *operation = write.kind == WriteKind::Put ? "PutItem" : "DeleteItem";
    call(operation, http::writeJson(writeToJson(write, options_.tableName)), [handler = std::move(handler)](http::ClientResult result) {
        handler(writeResult(result));
    });
}

void DynamoDbTable::transact(std::vector<Write> writes, std::string token, WriteHandler handler)
{
    counters_.writeRequests++;
    counters_.itemsWritten += writes.size();
    Json::Value body;
    for (const Write &write : writes) {
        Json::Value entry;
        entry[transactionAction(write.kind)] = writeToJson(write, options_.tableName);
        body["TransactItems"].append(entry);
    }
    if (!token.empty()) {
        body["ClientRequestToken"] = token;
    }
    call("TransactWriteItems", http::writeJson(body), [handler = std::move(handler)](http::ClientResult result) { handler(writeResult(result)); });
}

const TableCounters &DynamoDbTable::counters() const
{
    return counters_;
}

} // namespace cardamomlift::table
