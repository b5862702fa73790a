#pragma once

#include "http/server.h"
#include "kernel/eventloop.h"
#include "table/memorytable.h"

#include <json/json.h>

#include <memory>

namespace cardamomlift::standins {

/// How the table misbehaves; set by POST /control/table.
struct TableFaults {
    bool down = false; ///< Every operation gets status 503 and no effect.
    bool loseAnswers = false; ///< Writes take effect, then the connection is closed without an answer.
    std::int64_t loseNext = 0; ///< Only so many writes lose their answers.
    bool downAfterLoss = false; ///< The next lost answer sets down.
    std::int64_t delayMs = 0;
    std::int64_t writesPerSecond = 0; ///< 0: no limit; over it: ProvisionedThroughputExceededException.
    std::int64_t readsPerSecond = 0;
};

struct TableTotals {
    std::uint64_t reads = 0;
    std::uint64_t writeRequests = 0;
    std::uint64_t itemsWritten = 0;
    std::uint64_t throttled = 0;
    std::uint64_t heldWrites = 0; ///< Writes received that wait for delayMs.
};

/// The platform's table: the part of the DynamoDB JSON protocol that our daemon speaks. Signatures must be present;
/// they are not verified.
class TableService
{
public:
    static std::unique_ptr<TableService> create(EventLoop &loop);
    void handle(const http::Request &request, const std::shared_ptr<http::Responder> &responder);
    /// Sets the faults named in @p json.
    void control(const Json::Value &json);
    Json::Value totals() const;

private:
    using ResponderPtr = std::shared_ptr<http::Responder>;
    TableService() = default;
    void run(const std::string &operation, const Json::Value &body, const ResponderPtr &responder);
    void getItem(const Json::Value &body, const ResponderPtr &responder);
    void query(const Json::Value &body, const ResponderPtr &responder);
    void write(const std::string &operation, const Json::Value &body, const ResponderPtr &responder);
    bool isThrottled(bool isWrite);
    EventLoop *loop_ = nullptr;
    table::MemoryRows rows_;
    TableFaults faults_;
    TableTotals totals_;
    TimePoint second_;
    std::int64_t readsThisSecond_ = 0;
    std::int64_t writesThisSecond_ = 0;
};

} // namespace cardamomlift::standins
