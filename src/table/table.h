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

/// The platform's transactional table service. Calls never block; handlers run on the loop's thread, never from
/// inside the call.
class Table
{
public:
    virtual ~Table() = default;
    /// A strongly consistent read of one item.
    virtual void get(Key key, GetHandler handler) = 0;
    /// Items of one partition with a sort key greater than @p afterSort, in order, at most @p limit.
    virtual void query(std::string partition, std::string afterSort, std::size_t limit, QueryHandler handler) = 0;
    virtual void write(Write write, WriteHandler handler) = 0;
    /// All or none of @p writes (at most 100). A repeat with the same @p token within ten minutes takes effect once.
    virtual void transact(std::vector<Write> writes, std::string token, WriteHandler handler) = 0;
    virtual const TableCounters &counters() const = 0;
};

} // namespace cardamomlift::table
