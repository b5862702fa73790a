#pragma once

#include "rows/eratracker.h"
#include "rows/rowtypes.h"

#include <optional>

namespace cardamomlift::rows {

/// A reading of the store's steady clock.
struct StoreClock {
    Duration storeTime{0};
    TimePoint readAt; ///< When the response that holds it arrived.
};

/// Client of the platform's store of versioned rows, which is linearizable and has conditional transactions and a change feed.
/// Calls do not block. Handlers run on the event loop's thread, never from within the call.
class RowStore
{
public:
    virtual ~RowStore() = default;
    /// Reads the rows of @p table whose key is at least @p from, in the order of their keys.
    virtual void read(std::string table, std::string from, ReadHandler handler) = 0;
    /// Reads the changes of @p table after @p version by a long poll: the store answers as soon as there are any, or after
    /// @p wait. Fails with HistoryLost if the store was restored since that version.
    virtual void changes(std::string table, StoreVersion version, Duration wait, ReadHandler handler) = 0;
    /// Applies all of @p writes or none. Conflict, without rows, if a condition names a version from before the store's last
    /// restore.
    virtual void write(std::vector<RowWrite> writes, WriteHandler handler) = 0;
    /// The latest reading of the store's clock; empty before the first response.
    virtual std::optional<StoreClock> clock() const = 0;
    /// The store's clock at @p now; empty before the first response.
    std::optional<Duration> timeAt(TimePoint now) const
    {
        const auto reading = clock();
        return reading ? std::optional(reading->storeTime + (now - reading->readAt)) : std::nullopt;
    }
    EraTracker &eras()
    {
        return eras_;
    }

private:
    EraTracker eras_;
};

} // namespace cardamomlift::rows
