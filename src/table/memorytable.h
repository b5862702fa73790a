#pragma once

#include "kernel/eventloop.h"
#include "table/table.h"

#include <map>
#include <memory>
#include <set>

namespace cardamomlift::table {

/// Faults that tests inject into the next operations of a MemoryTable.
struct MemoryTableFaults {
    bool down = false; ///< Operations have no effect: reads fail, writes end as NotWritten.
    bool loseAnswers = false; ///< Writes take effect and end as Unknown; reads fail.
    bool freeze = false; ///< While set, new operations are held; release() starts them.
};

/// The items of a table in memory. Checks conditions and applies writes, synchronously.
class MemoryRows
{
public:
    std::optional<Item> get(const Key &key) const;
    std::vector<Item> query(const std::string &partition, const std::string &afterSort, std::size_t limit) const;
    /// Applies all of @p writes or none. Does nothing if a transaction with the same non-empty @p token was applied before.
    WriteResult transact(std::span<const Write> writes, const std::string &token);
    std::size_t size() const;

private:
    bool conditionHolds(const Write &write) const;
    std::map<Key, Item> items_;
    std::set<std::string> tokens_;
};

/// A Table in the memory of this process, for a single daemon without a platform and as a fake in tests.
class MemoryTable : public Table
{
public:
    /// Several MemoryTable objects may share @p rows, as the VMs of a deployment share the platform's table.
    static std::shared_ptr<MemoryTable> create(EventLoop &loop, std::shared_ptr<MemoryRows> rows);

    void get(Key key, GetHandler handler) override;
    void query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler) override;
    void write(Write write, WriteHandler handler) override;
    void transact(std::vector<Write> writes, std::string token, WriteHandler handler) override;
    const TableCounters &counters() const override;

    MemoryTableFaults faults;
    /// Starts the operations held by MemoryTableFaults::freeze.
    void release();

private:
    explicit MemoryTable(EventLoop &loop);
    void submit(std::function<void()> operation);
    EventLoop &loop_;
    std::shared_ptr<MemoryRows> rows_;
    std::vector<std::function<void()>> heldOperations_;
    TableCounters counters_;
};

} // namespace cardamomlift::table
