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

/// What a watch works with.
struct WatchTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<RowStore> store;
    std::shared_ptr<eventlog::EventLog> log;
};

/// What a watch tells its owner.
struct WatchHandlers {
    std::function<void(const TableSnapshot &whole)> onSnapshot; ///< The whole table was read.
    std::function<void(const std::vector<Row> &rows)> onChanges;
    /// All that was written before @p sentAt has been told.
    std::function<void(TimePoint sentAt)> onConfirmed;
    std::function<void(bool reachable, StoreFailure failure)> onReachabilityChanged; ///< Called when it changes.
};

/// Follows a table: reads it whole, then by its feed of changes, for as long as it lives.
class RowWatch : public std::enable_shared_from_this<RowWatch>
{
public:
    /// @p wait: how long the store may hold a question that has no answer yet.
    static std::shared_ptr<RowWatch> start(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers);
    /// Ends it; no handler is called any more.
    void stop();

    /// The store is asked only while @p mayAsk says so: other VMs may tell what is new. Without a gate it always is.
    void setPollCondition(std::function<bool()> mayAsk);
    /// Whether @p delta may lack changes that this watch does not know either.
    bool hasGap(const TableDelta &delta) const;
    /// Another VM's knowledge, which was complete at @p provenAt less its age. With a gap the store is asked at once; where the
    /// rows differ at the same version nothing is confirmed, and the table is read anew.
    void applyDelta(const TableDelta &delta, TimePoint provenAt);
    /// How long the store may hold the questions that are asked from now on.
    void setPollWait(Duration wait);
    /// @p handler is called after the store itself has told changes.
    void onStoreChanges(std::function<void()> handler);
    /// What this VM knows, for others; empty before the first reading.
    std::optional<TableDelta> delta();
    const std::string &table() const;
    /// All changes up to it are known, unless the table is being read anew.
    StoreVersion version() const;
    /// Since when nothing can have changed unnoticed; empty before the first reading.
    std::optional<TimePoint> confirmedAt() const;
    /// When the store was regained last; now while it is lost; empty if it was never lost.
    std::optional<TimePoint> lastUnreachableAt() const;

private:
    RowWatch(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers);
    void readAnew();
    void readAll(std::string from);
    void onPage(const ReadResult &result);
    void takeAll();
    ReadReason readReason() const;
    void logReading(const TableSnapshot &whole) const;
    void onRestored();
    void ask();
    void onChanges(const ReadResult &result);
    void takeChanges(const RowPage &page);
    void onFailure(StoreFailure failure);
    void askIfMay();
    void confirm(TimePoint at);
    /// Whether the sender of @p delta, which is of the version known here, knows other rows.
    bool isDiverged(const TableDelta &delta) const;
    void onDiverged();
    void remember(const std::vector<Row> &rows);
    void forgetOld();
    void setReachable(bool reachable, StoreFailure failure);
    void askLater(Duration delay);
    void readAllLater();
    WatchTools tools_;
    std::string table_;
    Duration wait_;
    WatchHandlers handlers_;
    std::vector<Row> collected_; ///< Of a table that is read in several pages.
    TimePoint collectSince_;
    StoreVersion collectVersion_;
    StoreVersion collectedUpTo_; ///< Of the last page.
    TableDigest digest_;
    std::optional<TimePoint> divergedAt_; ///< When the table was last read anew since another VM knew other rows.
    bool isReadForDivergence_ = false;
    bool isRead_ = false; ///< False while the whole table is read.
    StoreVersion version_; ///< Of an earlier reading while the table is read anew.
    std::uint64_t changedAt_ = 0; ///< Of the newest known change; of a whole reading, which does not show what was removed, its version.
    Duration backoff_{0};
    bool reachable_ = true;
    /// A change that is told to others for a while.
    struct Recent {
        Row row;
        TimePoint at;
    };
    std::function<bool()> mayAsk_;
    std::function<void()> onStoreChanges_;
    std::deque<Recent> recent_; ///< Oldest first.
    std::size_t recentBytes_ = 0;
    std::uint64_t recentSince_ = 0; ///< recent_ holds all changes after this version's number.
    std::optional<TimePoint> confirmedAt_;
    std::optional<TimePoint> regainedAt_;
    TimerId askTimer_ = 0;
    bool asking_ = false;
    bool behind_ = false; ///< Another VM knows of changes that it could not tell.
    bool confirmAtOnce_ = false; ///< The next question must not wait: the last one brought no answer.
    bool stopped_ = false;
};

/// The watches of a daemon.
using Watches = std::vector<std::shared_ptr<RowWatch>>;

} // namespace cardamomlift::rows
