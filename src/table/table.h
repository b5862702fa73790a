#pragma once

#include "kernel/result.h"
#include "table/tabletypes.h"

#include <functional>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::table {

using GetHandler = std::function<void(Result<std::optional<Item>> item)>;
using QueryHandler = std::function<void(Result<std::vector<Item>> items)>;
using WriteHandler = std::function<void(WriteResult result)>;

/// The platform's transactional table service. Calls never block; handlers run on the event loop's thread, after the call
/// has returned.
class Table
{
public:
    virtual ~Table() = default;
    /// A strongly consistent read of one item; empty if there is none.
    virtual void get(Key key, GetHandler handler) = 0;
    /// Items of one partition with a sort key greater than @p afterSort, in order, at most @p limit.
    virtual void query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler) = 0;
    virtual void write(Write write, WriteHandler handler) = 0;
    /// Applies all of @p writes (at most 100) or none. A transaction that is repeated with the same non-empty @p token within
    /// ten minutes takes effect only once.
    virtual void transact(std::vector<Write> writes, std::string token, WriteHandler handler) = 0;
    virtual const TableCounters &counters() const = 0;
};

} // namespace cardamomlift::table
