#pragma once

#include "kernel/eventloop.h"
#include "table/table.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::claims {

/// Queues writes while a request to the table is in flight, and sends the queued writes as one transaction.
///
/// A single write is sent at once, without a transaction. When a transaction is cancelled because some conditions failed,
/// those writes are reported as failed and the others are sent again. Writes of one key keep their order.
class WriteBatcher
{
public:
    static std::shared_ptr<WriteBatcher> create(EventLoop &loop, std::shared_ptr<table::Table> table);

    /// Queues @p write. @p isWanted is called right before sending; if it returns false, nothing is sent and the outcome
    /// is NotWritten. @p handler is called once, never from inside submit().
    void submit(table::Write write, std::function<bool()> isWanted, table::WriteHandler handler);

private:
    struct Entry {
        table::Write write;
        std::function<bool()> isWanted;
        table::WriteHandler handler;
    };
    using Batch = std::vector<Entry>;
    WriteBatcher() = default;
    void schedule();
    void sendNext();
    Batch takeBatch();
    void settle(Batch &batch, const table::WriteResult &result);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
    std::deque<Entry> queue_;
    bool scheduled_ = false;
    bool inFlight_ = false;
};

} // namespace cardamomlift::claims
