#pragma once

#include "presence/presence.h"
#include "rows/rowwatch.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::presence {

/// Spreads what some VMs read from the store to the others, so that the calls to the store do not grow with the VMs. A few
/// VMs follow the tables there; the others hear of changes, and of how fresh that is, by statuses, and ask the store
/// themselves only when they hear too little.
class TableRelay : public std::enable_shared_from_this<TableRelay>
{
public:
    static std::shared_ptr<TableRelay> create(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// Relays @p watch. @p maxAge: with knowledge older than this the VM asks the store itself.
    void add(std::shared_ptr<rows::RowWatch> watch, Duration maxAge);
    /// Called before changes are taken from a peer for which the store was away until @p backAt: entries may have lapsed
    /// meanwhile.
    void onOutage(std::function<void(TimePoint backAt)> handler);
    /// True if this VM is one of those that follow the store.
    bool isStoreReader() const;

private:
    struct WatchEntry {
        std::shared_ptr<rows::RowWatch> watch;
        Duration maxAge{0};
        rows::StoreVersion undeliveredVersion; ///< Version of a change that another VM knows and that was not told; known here if the watch has it.
        TimePoint undeliveredSince;
    };
    TableRelay(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// True if a VM that follows the store was heard lately.
    bool hearsStoreReader() const;
    Duration storeReaderTimeout() const;
    /// True if @p peer, a VM or a group, is one that may follow the store.
    bool mayBeStoreReader(const Peer &peer) const;
    bool isUsableSource(const Status &status) const;
    bool hasNewChanges(const Status &status) const;
    bool lacksUndeliveredChange(const rows::RowWatch &watch) const;
    void offerDelta(WatchEntry &entry, const rows::TableDelta &delta, TimePoint sentNotBefore, bool isFromStoreReader);
    void fill(Status &status) const;
    void handleStatus(const Status &status, std::optional<TimePoint> sentNotBefore);
    EventLoop &loop_;
    std::shared_ptr<Presence> presence_;
    std::vector<WatchEntry> watches_;
    std::function<void(TimePoint)> outageHandler_;
};

} // namespace cardamomlift::presence
