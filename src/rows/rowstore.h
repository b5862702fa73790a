#pragma once

#include "rows/eratracker.h"
#include "rows/rowtypes.h"

#include <optional>

namespace cardamomlift::rows {

/// A reading of the store's steady clock.
struct StoreClock {
    Duration storeTime{0};
    TimePoint readAt; ///< When the answer came that holds it.
};

/// The platform's store of versioned rows: linearizable, with conditional transactions and a feed of changes. Calls never
/// block; handlers run on the loop's thread, never from inside the call.
class RowStore
{
public:
    virtual ~RowStore() = default;
    /// Rows of @p table with a key of at least @p from, in order.
    virtual void read(std::string table, std::string from, ReadHandler handler) = 0;
    /// What changed in @p table after @p version, as soon as there is something or @p wait has passed. HistoryLost if the store
    /// has been restored since that version.
    virtual void changes(std::string table, StoreVersion version, Duration wait, ReadHandler handler) = 0;
    /// All or none of @p writes. Conflict, without rows, if a condition names a version from before the store was restored.
    virtual void write(std::vector<RowWrite> writes, WriteHandler handler) = 0;
    /// The newest reading of its clock; empty before the first answer.
    virtual std::optional<StoreClock> clock() const = 0;
    EraTracker &eras()
    {
        return eras_;
    }

private:
    EraTracker eras_;
};

} // namespace cardamomlift::rows
