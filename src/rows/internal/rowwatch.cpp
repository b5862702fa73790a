#include "rows/rowwatch.h"

#include <algorithm>

namespace cardamomlift::rows {

namespace {

/// First pause after a failed call. An outage may be of one VM only and short, so it starts small.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
/// Longest pause: two of them fit into the time within which a new manifest must be in force.
constexpr Duration LongestBackoff = std::chrono::milliseconds(800);

} // namespace

RowWatch::RowWatch(EventLoop &loop, std::shared_ptr<RowStore> store, std::string table, Duration wait, WatchHandlers handlers)
    : loop_(loop)
    , store_(std::move(store))
    , table_(std::move(table))
    , wait_(wait)
    , handlers_(std::move(handlers))
{
}

std::shared_ptr<RowWatch> RowWatch::start(EventLoop &loop, std::shared_ptr<RowStore> store, std::string table, Duration wait, WatchHandlers handlers)
{
    std::shared_ptr<RowWatch> watch(new RowWatch(loop, std::move(store), std::move(table), wait, std::move(handlers)));
    watch->readAll({});
    return watch;
}

void RowWatch::stop()
{
    stopped_ = true;
}

void RowWatch::readAll(std::string from)
{
    if (from.empty()) {
        collected_.clear();
    }
    store_->read(table_, std::move(from), [weak = weak_from_this()](const ReadResult &result) {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->onPage(result);
        }
    });
}

void RowWatch::onPage(const ReadResult &result)
{
    if (result.failure != StoreFailure::None) {
        onFailure(result.failure);
        return;
    }
    backoff_ = Duration(0);
    if (collected_.empty()) {
        collectSince_ = result.askedAt;
        collectVersion_ = result.page.version;
    }
    collected_.insert(collected_.end(), result.page.rows.begin(), result.page.rows.end());
    if (result.page.hasMore && !result.page.rows.empty()) {
        // The key that follows the last one in byte order.
        readAll(result.page.rows.back().key + '\0');
        return;
    }
    // Pages are of different moments: what changed between them comes again by the feed from the first page's version.
    version_ = collectVersion_;
    setReachable(true, StoreFailure::None);
    const std::vector<Row> all = std::move(collected_);
    collected_.clear();
    handlers_.onAll(all);
    handlers_.onConfirmed(collectSince_);
    ask();
}

void RowWatch::ask()
{
    const Duration wait = confirmAtOnce_ ? Duration(0) : wait_;
    confirmAtOnce_ = false;
    store_->changes(table_, version_, wait, [weak = weak_from_this()](const ReadResult &result) {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->onChanges(result);
        }
    });
}

void RowWatch::onChanges(const ReadResult &result)
{
    if (result.failure == StoreFailure::HistoryLost) {
        version_ = 0;
        readAll({});
        return;
    }
    if (result.failure != StoreFailure::None) {
        onFailure(result.failure);
        return;
    }
    backoff_ = Duration(0);
    setReachable(true, StoreFailure::None);
    version_ = std::max(version_, result.page.version);
    if (!result.page.rows.empty()) {
        handlers_.onChanges(result.page.rows);
    }
    handlers_.onConfirmed(result.askedAt);
    ask();
}

void RowWatch::onFailure(StoreFailure failure)
{
    setReachable(false, failure);
    confirmAtOnce_ = true;
    backoff_ = backoff_.count() == 0 ? FirstBackoff : std::min(backoff_ * 2, LongestBackoff);
    if (version_ == 0) {
        later([this] { readAll({}); });
        return;
    }
    later([this] { ask(); });
}

void RowWatch::setReachable(bool reachable, StoreFailure failure)
{
    if (reachable_ == reachable) {
        return;
    }
    reachable_ = reachable;
    handlers_.onReachable(reachable, failure);
}

void RowWatch::later(std::function<void()> action)
{
    loop_.after(backoff_, [weak = weak_from_this(), action = std::move(action)] {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            action();
        }
    });
}

} // namespace cardamomlift::rows
