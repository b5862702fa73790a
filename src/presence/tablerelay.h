#pragma once

#include "presence/presence.h"
#include "rows/rowwatch.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::presence {

/// Distributes table changes among the entry VMs, so that the number of calls to the store does not grow with the number of
/// VMs. A few VMs, the store readers, poll the store for changes of the tables. The others get the changes, and the age of the
/// knowledge that there are no newer ones, with the statuses, and poll the store themselves only if that gets too old.
class TableRelay : public std::enable_shared_from_this<TableRelay>
{
public:
    static std::shared_ptr<TableRelay> create(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// Relays the table of @p watch. @p maxAge: this VM polls the store itself when its knowledge of the table is older.
    void add(std::shared_ptr<rows::RowWatch> watch, Duration maxAge);
    /// @p handler is called before changes are applied from a peer for which the store was unavailable until @p backAt: entries
    /// may have expired in the meantime.
    void onOutage(std::function<void(TimePoint backAt)> handler);
    /// True if this VM is one of the store readers.
    bool isStoreReader() const;

private:
    struct WatchEntry {
        std::shared_ptr<rows::RowWatch> watch;
        Duration maxAge{0};
        /// Version of a change that another VM knows but has not sent; no longer missing once the watch has reached it.
        rows::StoreVersion undeliveredVersion;
        TimePoint undeliveredSince;
        bool isHeldUp = false; ///< A poll is due, but this VM can't reach the store.
        TimePoint polledInOutageAt; ///< When the store was last polled although it could not be reached before.
    };
    TableRelay(EventLoop &loop, std::shared_ptr<Presence> presence);
    /// True if a status of a store reader, or of a group that has one, was received recently.
    bool hearsStoreReader() const;
    Duration storeReaderTimeout() const;
    /// True if @p peer, a VM or a group, can be a store reader.
    bool mayBeStoreReader(const Peer &peer) const;
    /// Whether @p watch, whose poll is due or not, may poll the store now.
    bool mayPollNow(const rows::RowWatch &watch, bool isDue);
    /// True if enough other VMs of this group poll the store, which is unavailable for them too.
    bool leavesOutageToOthers() const;
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
