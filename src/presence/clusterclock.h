#pragma once

#include "presence/presence.h"
#include "rows/rowstore.h"

#include <memory>
#include <optional>
#include <vector>

namespace cardamomlift::presence {

/// The median of @p offsets, on which most VMs agree; empty without offsets.
std::optional<Duration> medianOffset(std::vector<Duration> offsets);

/// A wall clock that does not follow jumps of single VMs' clocks. Each VM measures the offset of its wall clock from the
/// store's steady clock and sends it in its status; the time is the store's clock plus the median of these offsets.
class ClusterClock
{
public:
    static std::shared_ptr<ClusterClock> create(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence);
    /// The wall-clock time; empty until the store has answered once.
    std::optional<WallTime> now() const;
    /// The store's steady clock now, extrapolated from its newest reading; empty until the store has answered once.
    std::optional<Duration> storeNow() const;

private:
    ClusterClock(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence);
    std::optional<Duration> ownOffset() const;
    EventLoop &loop_;
    std::shared_ptr<rows::RowStore> store_;
    std::shared_ptr<Presence> presence_;
};

} // namespace cardamomlift::presence
