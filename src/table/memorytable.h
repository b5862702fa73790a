#pragma once

#include "kernel/eventloop.h"
#include "table/table.h"

#include <map>
#include <memory>
#include <set>

namespace cardamomlift::table {

/// How the next operations of a MemoryTable misbehave, for tests.
struct MemoryTableFaults {
    bool down = false; ///< Nothing takes effect; writes end as NotWritten.
    bool loseAnswers = false; ///< Writes take effect and end as Unknown; reads fail.
    bool freeze = false; ///< Operations wait until freeze is cleared and release() is called.
};

/// The rows of a table in this process's memory: the check of conditions, without time or transport.
class MemoryRows
{
public:
    std::optional<Item> get(const Key &key) const;
    std::vector<Item> query(const std::string &partition, const std::string &afterSort, std::size_t limit) const;
    /// Applies all of @p writes or none.
    WriteResult transact(std::span<const Write> writes, const std::string &token);
    std::size_t size() const;

private:
    bool holds(const Write &write) const;
    std::map<Key, Item> items_;
    std::set<std::string> tokens_;
};

/// A Table inside this process: for a daemon run alone, and the small fake that tests use.
class MemoryTable : public Table
{
public:
    /// Several tables may share @p rows, as several VMs share the platform's table.
    static std::shared_ptr<MemoryTable> create(EventLoop &loop, std::shared_ptr<MemoryRows> rows);

    void get(Key key, GetHandler handler) override;
    void query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler) override;
    void write(Write write, WriteHandler handler) override;
    void transact(std::vector<Write> writes, std::string token, WriteHandler handler) override;
    const TableCounters &counters() const override;

    MemoryTableFaults faults;
    /// Runs the operations held back by MemoryTableFaults::freeze.
    void release();

private:
    explicit MemoryTable(EventLoop &loop);
    void submit(std::function<void()> operation);
    EventLoop &loop_;
    std::shared_ptr<MemoryRows> rows_;
    std::vector<std::function<void()>> held_;
    TableCounters counters_;
};

} // namespace cardamomlift::table
