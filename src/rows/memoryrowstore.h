#pragma once

#include "kernel/eventloop.h"
#include "rows/rowstore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cardamomlift::rows {

/// The rows of a store in this process's memory: conditions and history, without time or transport.
class MemoryRows
{
public:
    /// Applies all of @p writes or none.
    WriteResult transact(const std::vector<RowWrite> &writes);
    RowPage read(const std::string &table, const std::string &from, std::size_t limit) const;
    /// Changes after @p version. HistoryLost if some of them were forgotten.
    std::pair<StoreFailure, RowPage> changes(const std::string &table, StoreVersion version) const;
    /// Forgets the changes up to now.
    void compact();
    /// Goes back to @p copy, an earlier state of these rows, and begins the next era.
    void restore(const MemoryRows &copy);
    StoreVersion version() const;

private:
    struct Change {
        std::string table;
        Row row;
    };
    Row asOfNow(Row row) const;
    std::map<std::pair<std::string, std::string>, Row> rows_; ///< By table and key.
    std::deque<Change> history_;
    std::uint64_t era_ = 1;
    std::uint64_t version_ = 1;
    std::uint64_t compactedTo_ = 0;
};

/// How the next calls of a MemoryRowStore misbehave.
struct MemoryRowFaults {
    bool down = false; ///< Refused; nothing is done.
    bool silent = false; ///< No answer comes, and nothing is done.
    bool loseAnswers = false; ///< Writes are done and not answered.
};

/// A RowStore inside this process, for tests. Several VMs may share @p rows.
class MemoryRowStore : public RowStore, public std::enable_shared_from_this<MemoryRowStore>
{
public:
    static std::shared_ptr<MemoryRowStore> create(EventLoop &loop, std::shared_ptr<MemoryRows> rows);
    void read(std::string table, std::string from, ReadHandler handler) override;
    void changes(std::string table, StoreVersion version, Duration wait, ReadHandler handler) override;
    void write(std::vector<RowWrite> writes, WriteHandler handler) override;
    std::optional<StoreClock> clock() const override;

    MemoryRowFaults faults;
    /// Rows that one page holds, and changes that one answer holds.
    std::size_t pageSize = 500;
    std::uint64_t calls = 0;

private:
    MemoryRowStore(EventLoop &loop, std::shared_ptr<MemoryRows> rows);
    void pollChanges(const std::string &table, StoreVersion version, TimePoint sentAt, TimePoint end, const ReadHandler &handler);
    ReadResult failed(StoreFailure failure, TimePoint sentAt) const;
    EventLoop &loop_;
    std::shared_ptr<MemoryRows> rows_;
};

} // namespace cardamomlift::rows
