#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "rows/rowstore.h"
#include "rows/tabledigest.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::rows {

/// Dependencies of a watch.
struct WatchTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<RowStore> store;
    std::shared_ptr<eventlog::EventLog> log;
};

/// Callbacks of a watch.
struct WatchHandlers {
    std::function<void(const TableSnapshot &snapshot)> onSnapshot; ///< The whole table was read; it replaces all earlier rows.
    std::function<void(const std::vector<Row> &rows)> onChanges;
    /// All changes written before @p sentAt have been passed on.
    std::function<void(TimePoint sentAt)> onConfirmed;
    std::function<void(bool reachable, StoreFailure failure)> onReachabilityChanged;
};

/// Follows a table: reads a snapshot, then polls its change feed until it is stopped or destroyed.
class RowWatch : public std::enable_shared_from_this<RowWatch>
{
public:
    /// @p wait: the long-poll timeout, for which the store may hold a request while there are no changes.
    static std::shared_ptr<RowWatch> start(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers);
    /// Stops following the table. No handler is called from then on.
    void stop();

    /// Polls the store only while @p mayPoll returns true, as other VMs may send the changes. By default it always polls.
    void setPollCondition(std::function<bool()> mayPoll);
    /// Whether @p delta lacks changes after the version that this watch knows.
    bool hasGap(const TableDelta &delta) const;
    /// Applies changes from another VM, which were complete at @p provenAt less their age. If there is a gap, the store is polled
    /// at once. If the rows differ at the same version, nothing is confirmed and a new snapshot is read.
    void applyDelta(const TableDelta &delta, TimePoint provenAt);
    /// Sets the long-poll timeout of the requests from now on.
    void setPollWait(Duration wait);
    /// Calls @p handler after changes or a restore were learned from the store, not from another VM.
    void onStoreChanges(std::function<void()> handler);
    /// The recent changes, to be sent to other VMs; empty before the first snapshot.
    std::optional<TableDelta> delta();
    const std::string &table() const;
    /// All changes up to this version are known, unless a new snapshot is being read.
    StoreVersion version() const;
    /// All changes written before this time are known; empty before the first snapshot.
    std::optional<TimePoint> confirmedAt() const;
    /// When the last outage of the store ended; the current time during an outage; empty if there was none.
    std::optional<TimePoint> lastUnreachableAt() const;

private:
    RowWatch(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers);
    void reload();
    void readFrom(std::string from);
    void onPage(const ReadResult &result);
    void finishSnapshot();
    ReadReason readReason() const;
    void logSnapshot(const TableSnapshot &snapshot) const;
    void onRestored();
    void poll();
    void onChanges(const ReadResult &result);
    void applyChanges(const RowPage &page);
    void onFailure(StoreFailure failure);
    void pollIfAllowed();
    void confirm(TimePoint at);
    /// Whether @p delta is of the version known here, but its sender has different rows.
    bool isDiverged(const TableDelta &delta) const;
    void onDiverged();
    void recordChanges(const std::vector<Row> &rows);
    void trimRecent();
    void setReachable(bool reachable, StoreFailure failure);
    void pollLater(Duration delay);
    void retryReadLater();
    WatchTools tools_;
    std::string table_;
    Duration wait_; ///< The long-poll timeout.
    WatchHandlers handlers_;
    std::vector<Row> snapshotRows_; ///< Rows of the pages read so far.
    TimePoint snapshotSentAt_; ///< When the request for the first page was sent.
    StoreVersion snapshotVersion_; ///< Of the first page.
    StoreVersion lastPageVersion_;
    TableDigest digest_;
    std::optional<TimePoint> divergedAt_; ///< When the table was last reloaded because another VM had different rows.
    bool isReloadForDivergence_ = false;
    bool isLoaded_ = false; ///< False while a snapshot is being read.
    StoreVersion version_; ///< While a new snapshot is being read: the version known before.
    /// Version number of the latest known change. After a snapshot, which does not show removed rows: the snapshot's version.
    std::uint64_t changedAt_ = 0;
    Duration backoff_{0};
    bool reachable_ = true;
    /// A change that is sent to other VMs for a while.
    struct Recent {
        Row row;
        TimePoint at;
    };
    std::function<bool()> mayPoll_;
    std::function<void()> onStoreChanges_;
    std::deque<Recent> recent_; ///< Oldest first.
    std::size_t recentBytes_ = 0;
    std::uint64_t recentSince_ = 0; ///< recent_ holds all changes after this version number.
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> outageEndedAt_;
    TimerId pollTimer_ = 0;
    bool isPolling_ = false;
    bool isBehind_ = false; ///< There are known to be changes that this watch lacks: another VM has them, or the feed has more.
    bool pollWithoutWait_ = false; ///< The next poll must not wait for changes, as the last one failed.
    bool stopped_ = false;
};

/// All watches of a daemon.
using Watches = std::vector<std::shared_ptr<RowWatch>>;

} // namespace cardamomlift::rows
