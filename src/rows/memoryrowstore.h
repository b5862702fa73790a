#pragma once

#include "kernel/eventloop.h"
#include "rows/rowstore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace cardamomlift::rows {

/// An in-memory store of rows with conditional writes and a change history, without clock or transport.
class MemoryRows
{
public:
    /// Applies all of @p writes or none.
    WriteResult transact(const std::vector<RowWrite> &writes);
    RowPage read(const std::string &table, const std::string &from, std::size_t limit) const;
    /// Changes after @p version. HistoryLost if some of them were compacted.
    std::pair<StoreFailure, RowPage> changes(const std::string &table, StoreVersion version) const;
    /// Drops the history of all changes so far.
    void compact();
    /// Restores @p copy, an earlier state of these rows, and begins the next era.
    void restore(const MemoryRows &copy);
    StoreVersion version() const;

private:
    struct Change {
        std::string table;
        Row row;
    };
    Row inCurrentEra(Row row) const;
    std::map<std::pair<std::string, std::string>, Row> rows_; ///< By table and key.
    std::deque<Change> history_;
    std::uint64_t era_ = 1;
    std::uint64_t version_ = 1;
    std::uint64_t compactedTo_ = 0;
};

/// Faults to inject into the next calls of a MemoryRowStore.
struct MemoryRowFaults {
    bool down = false; ///< Calls are refused and have no effect.
    bool silent = false; ///< Calls get no response and have no effect.
    bool loseAnswers = false; ///< Writes take effect but get no response.
};

/// An in-process RowStore for tests. Several VMs may share the same rows.
class MemoryRowStore : public RowStore, public std::enable_shared_from_this<MemoryRowStore>
{
public:
    static std::shared_ptr<MemoryRowStore> create(EventLoop &loop, std::shared_ptr<MemoryRows> rows);
    void read(std::string table, std::string from, ReadHandler handler) override;
    void changes(std::string table, StoreVersion version, Duration wait, ReadHandler handler) override;
    void write(std::vector<RowWrite> writes, WriteHandler handler) override;
    std::optional<StoreClock> clock() const override;

    MemoryRowFaults faults;
    /// The largest number of rows or changes in one response.
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
