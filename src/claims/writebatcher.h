#pragma once

#include "kernel/eventloop.h"
#include "table/table.h"

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::claims {

/// Gathers writes while one request to the table is in flight, and sends them as one transaction.
///
/// A write that comes alone is sent at once, alone. When a transaction is cancelled because some conditions failed, those
/// writes are settled and the others are sent again. Writes of one key keep their order.
class WriteBatcher
{
public:
    static std::shared_ptr<WriteBatcher> create(EventLoop &loop, std::shared_ptr<table::Table> table);

    /// Queues @p write. @p isWanted is asked right before sending; if it says false nothing is sent and the outcome is
    /// NotWritten. @p handler is called once, never from inside submit().
    void submit(table::Write write, std::function<bool()> isWanted, table::WriteHandler handler);

private:
    struct Entry {
        table::Write write;
        std::function<bool()> isWanted;
        table::WriteHandler handler;
    };
    using Group = std::vector<Entry>;
    WriteBatcher() = default;
    void schedule();
    void sendNext();
    Group takeGroup();
    void settle(Group &group, const table::WriteResult &result);
    EventLoop *loop_ = nullptr;
    std::shared_ptr<table::Table> table_;
    std::deque<Entry> queue_;
    bool scheduled_ = false;
    bool inFlight_ = false;
};

} // namespace cardamomlift::claims
