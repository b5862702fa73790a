#include "standins/platform/tableservice.h"

#include "http/json.h"
#include "table/dynamodbformat.h"

namespace cardamomlift::standins {

namespace {

constexpr char ErrorPrefix[] = "com.amazonaws.dynamodb.v20120810#";
constexpr std::size_t MostTransactItems = 100;

bool isWriteOperation(const std::string &operation)
{
    return operation != "GetItem" && operation != "Query";
}

http::Response awsError(int status, const std::string &code)
{
    Json::Value body;
    body["__type"] = ErrorPrefix + code;
    body["message"] = code;
    return http::jsonResponse(status, body);
}

/// One write of PutItem, DeleteItem or of a transaction's member. Empty if it is not understood.
std::optional<table::Write> readWrite(const std::string &kind, const Json::Value &json)
{
    table::Write write;
    const auto condition = table::conditionFromJson(json);
    if (!condition) {
        return std::nullopt;
    }
    write.condition = *condition;
    const auto item = table::itemFromJson(kind == "Put" ? json["Item"] : json["Key"]);
    if (!item) {
        return std::nullopt;
    }
    write.item = *item;
    write.kind = table::WriteKind::Check;
    if (kind == "Put") {
        write.kind = table::WriteKind::Put;
    } else if (kind == "Delete") {
        write.kind = table::WriteKind::Delete;
    }
    return write;
}

std::optional<std::vector<table::Write>> readTransaction(const Json::Value &body)
{
    std::vector<table::Write> writes;
    for (const Json::Value &entry : body["TransactItems"]) {
        if (!entry.isObject() || entry.size() != 1) {
            return std::nullopt;
        }
        const std::string kind = entry.getMemberNames().front();
        auto write = readWrite(kind, entry[kind]);
        if (!write) {
            return std::nullopt;
        }
        writes.push_back(std::move(*write));
    }
    if (writes.empty() || writes.size() > MostTransactItems) {
        return std::nullopt;
    }
    return writes;
}

http::Response cancelledTransaction(const table::WriteResult &result)
{
    Json::Value body;
    body["__type"] = std::string(ErrorPrefix) + "TransactionCanceledException";
    for (const bool failed : result.failed) {
        Json::Value reason;
        reason["Code"] = failed ? "ConditionalCheckFailed" : "None";
        body["CancellationReasons"].append(reason);
    }
    return http::jsonResponse(400, body);
}

} // namespace

std::unique_ptr<TableService> TableService::create(EventLoop &loop)
{
    std::unique_ptr<TableService> service(new TableService);
    service->loop_ = &loop;
    return service;
}

void TableService::handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder)
{
    const std::string_view target = http::headerValue(request.headers, "X-Amz-Target");
    if (!http::headerValue(request.headers, "Authorization").starts_with("AWS4-HMAC-SHA256")) {
        responder->respond(awsError(400, "MissingAuthenticationTokenException"));
        return;
    }
    const auto body = http::parseJson(request.body);
    if (!target.starts_with(table::TargetPrefix) || !body || !body->isObject()) {
        responder->respond(awsError(400, "ValidationException"));
        return;
    }
    const std::string operation(target.substr(sizeof(table::TargetPrefix) - 1));
    if (faults_.delayMs > 0) {
        const std::uint64_t held = isWriteOperation(operation) ? 1 : 0;
        totals_.heldWrites += held;
        loop_->after(std::chrono::milliseconds(faults_.delayMs), [this, operation, body = *body, responder, held] {
            totals_.heldWrites -= held;
            run(operation, body, responder);
        });
        return;
    }
    run(operation, *body, responder);
}

bool TableService::isThrottled(bool isWrite)
{
    const TimePoint now = loop_->now();
    if (now - second_ >= std::chrono::seconds(1)) {
        second_ = now;
        readsThisSecond_ = 0;
        writesThisSecond_ = 0;
    }
    const std::int64_t limit = isWrite ? faults_.writesPerSecond : faults_.readsPerSecond;
    const std::int64_t used = isWrite ? ++writesThisSecond_ : ++readsThisSecond_;
    return limit > 0 && used > limit;
}

void TableService::run(const std::string &operation, const Json::Value &body, const ResponderPtr &responder)
{
    if (faults_.down) {
        responder->respond(awsError(503, "ServiceUnavailable"));
        return;
    }
    const bool isWrite = isWriteOperation(operation);
    if (isThrottled(isWrite)) {
        totals_.throttled++;
        responder->respond(awsError(400, "ProvisionedThroughputExceededException"));
        return;
    }
    if (operation == "GetItem") {
        getItem(body, responder);
    } else if (operation == "Query") {
        query(body, responder);
    } else {
        write(operation, body, responder);
    }
}

void TableService::getItem(const Json::Value &body, const ResponderPtr &responder)
{
    totals_.reads++;
    const auto key = table::itemFromJson(body["Key"]);
    if (!key) {
        responder->respond(awsError(400, "ValidationException"));
        return;
    }
    Json::Value answer(Json::objectValue);
    if (const auto item = rows_.get(key->key)) {
        answer["Item"] = table::itemToJson(*item);
    }
    responder->respond(http::jsonResponse(200, answer));
}

void TableService::query(const Json::Value &body, const ResponderPtr &responder)
{
    totals_.reads++;
    const Json::Value &values = body["ExpressionAttributeValues"];
    const std::size_t limit = body.get("Limit", 1000).asUInt64();
    const auto items = rows_.query(values[":p"]["S"].asString(), values[":s"]["S"].asString(), limit);
    Json::Value answer;
    answer["Items"] = Json::Value(Json::arrayValue);
    for (const table::Item &item : items) {
        answer["Items"].append(table::itemToJson(item));
    }
    answer["Count"] = static_cast<Json::UInt64>(items.size());
    responder->respond(http::jsonResponse(200, answer));
}

void TableService::write(const std::string &operation, const Json::Value &body, const ResponderPtr &responder)
{
    std::optional<std::vector<table::Write>> writes;
    const bool isTransaction = operation == "TransactWriteItems";
    if (isTransaction) {
        writes = readTransaction(body);
    } else if (operation == "PutItem" || operation == "DeleteItem") {
        if (auto one = readWrite(operation == "PutItem" ? "Put" : "Delete", body)) {
            writes = std::vector<table::Write>{std::move(*one)};
        }
    }
    if (!writes) {
        responder->respond(awsError(400, "ValidationException"));
        return;
    }
    totals_.writeRequests++;
    totals_.itemsWritten += writes->size();
    const table::WriteResult result = rows_.transact(*writes, body.get("ClientRequestToken", "").asString());
    if (faults_.loseAnswers || faults_.loseNext > 0) {
        faults_.loseNext = std::max<std::int64_t>(0, faults_.loseNext - 1);
        faults_.down = faults_.down || faults_.downAfterLoss;
        faults_.downAfterLoss = false;
        responder->abort();
        return;
    }
    if (result.outcome == table::WriteOutcome::Written) {
        responder->respond(http::jsonResponse(200, Json::Value(Json::objectValue)));
    } else if (isTransaction) {
        responder->respond(cancelledTransaction(result));
    } else {
        responder->respond(awsError(400, "ConditionalCheckFailedException"));
    }
}

void TableService::control(const Json::Value &json)
{
    faults_.down = json.get("down", faults_.down).asBool();
    faults_.loseAnswers = json.get("loseAnswers", faults_.loseAnswers).asBool();
    faults_.loseNext = json.get("loseNext", static_cast<Json::Int64>(faults_.loseNext)).asInt64();
    faults_.downAfterLoss = json.get("downAfterLoss", faults_.downAfterLoss).asBool();
    faults_.delayMs = json.get("delayMs", static_cast<Json::Int64>(faults_.delayMs)).asInt64();
    faults_.writesPerSecond = json.get("writesPerSecond", static_cast<Json::Int64>(faults_.writesPerSecond)).asInt64();
    faults_.readsPerSecond = json.get("readsPerSecond", static_cast<Json::Int64>(faults_.readsPerSecond)).asInt64();
}

Json::Value TableService::totals() const
{
    Json::Value json;
    json["reads"] = static_cast<Json::UInt64>(totals_.reads);
    json["writeRequests"] = static_cast<Json::UInt64>(totals_.writeRequests);
    json["itemsWritten"] = static_cast<Json::UInt64>(totals_.itemsWritten);
    json["throttled"] = static_cast<Json::UInt64>(totals_.throttled);
    json["heldWrites"] = static_cast<Json::UInt64>(totals_.heldWrites);
    return json;
}

} // namespace cardamomlift::standins
