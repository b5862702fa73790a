#pragma once

#include "presence/presence.h"
#include "rows/rowstore.h"

#include <memory>
#include <optional>
#include <vector>

namespace cardamomlift::presence {

/// The offset that most VMs agree on: the median. Empty without offsets.
std::optional<Duration> medianOffset(std::vector<Duration> offsets);

/// The time of day without the jumps that single VMs' clocks make. Each VM knows its own offset from the store's steady
/// clock; the median over all VMs is taken for true.
class ClusterClock
{
public:
    static std::shared_ptr<ClusterClock> create(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence);
    /// Empty until the store has answered once.
    std::optional<WallTime> now() const;
    /// The store's clock now, reckoned from its newest reading.
    std::optional<Duration> storeNow() const;

private:
    ClusterClock(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence);
    std::optional<Duration> ownOffset() const;
    EventLoop &loop_;
    std::shared_ptr<rows::RowStore> store_;
    std::shared_ptr<Presence> presence_;
};

} // namespace cardamomlift::presence
