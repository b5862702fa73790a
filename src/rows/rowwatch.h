#pragma once

#include "kernel/eventloop.h"
#include "rows/rowstore.h"

#include <memory>
#include <string>

namespace cardamomlift::rows {

/// What a watch tells its owner.
struct WatchHandlers {
    std::function<void(const std::vector<Row> &rows)> onAll; ///< The whole table was read: at the start and after lost history.
    std::function<void(const std::vector<Row> &rows)> onChanges;
    /// All that was written before @p askedAt has been told.
    std::function<void(TimePoint askedAt)> onConfirmed;
    std::function<void(bool reachable, StoreFailure failure)> onReachable; ///< Called when it changes.
};

/// Follows a table: reads it whole, then by its feed of changes, for as long as it lives.
class RowWatch : public std::enable_shared_from_this<RowWatch>
{
public:
    /// @p wait: how long the store may hold a question that has no answer yet.
    static std::shared_ptr<RowWatch> start(EventLoop &loop, std::shared_ptr<RowStore> store, std::string table, Duration wait, WatchHandlers handlers);
    /// Ends it; no handler is called any more.
    void stop();

private:
    RowWatch(EventLoop &loop, std::shared_ptr<RowStore> store, std::string table, Duration wait, WatchHandlers handlers);
    void readAll(std::string from);
    void onPage(const ReadResult &result);
    void ask();
    void onChanges(const ReadResult &result);
    void onFailure(StoreFailure failure);
    void setReachable(bool reachable, StoreFailure failure);
    void later(std::function<void()> action);
    EventLoop &loop_;
    std::shared_ptr<RowStore> store_;
    std::string table_;
    Duration wait_;
    WatchHandlers handlers_;
    std::vector<Row> collected_; ///< Of a table that is read in several pages.
    TimePoint collectSince_;
    std::uint64_t collectVersion_ = 0;
    std::uint64_t version_ = 0; ///< 0: not read yet.
    Duration backoff_{0};
    bool reachable_ = true;
    bool confirmAtOnce_ = false; ///< The next question must not wait: the last one brought no answer.
    bool stopped_ = false;
};

} // namespace cardamomlift::rows
