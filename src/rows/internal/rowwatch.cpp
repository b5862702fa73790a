#include "rows/rowwatch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomlift::rows {

namespace {

/// Initial backoff after a failed call. It is short, as an outage may be brief and affect only one VM.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
/// Longest backoff: two of them fit into the time within which a new manifest must take effect.
constexpr Duration MaxBackoff = std::chrono::milliseconds(800);

/// Least time between two polls if the first brought changes. Servers that are ordered or leave change the list many times
/// a second, and each response is charged. The first change after a pause still arrives at once.
constexpr Duration MinChangePollInterval = std::chrono::milliseconds(250);
/// Least time between two reloads because another VM has different rows: it may be the other VM whose rows are wrong.
constexpr Duration MinDivergenceReloadInterval = std::chrono::seconds(5);
/// How often a watch that may not poll checks the condition again.
constexpr Duration ConditionCheckInterval = std::chrono::milliseconds(150);
/// Changes are sent to other VMs for this long: with several statuses, of which some may be lost.
constexpr Duration RecentChangeLifetime = std::chrono::seconds(4);
/// Largest total size of the changes kept for other VMs: enough for the entries of all servers in a failure domain, or for a
/// manifest of usual size. A VM that lacks more polls the store itself.
constexpr std::size_t MaxRecentBytes = 48'000;

} // namespace

RowWatch::RowWatch(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers)
    : tools_(std::move(tools))
    , table_(std::move(table))
    , wait_(wait)
    , handlers_(std::move(handlers))
{
}

std::shared_ptr<RowWatch> RowWatch::start(WatchTools tools, std::string table, Duration wait, WatchHandlers handlers)
{
    std::shared_ptr<RowWatch> watch(new RowWatch(std::move(tools), std::move(table), wait, std::move(handlers)));
    watch->tools_.store->eras().onRestored([weak = std::weak_ptr<RowWatch>(watch)] {
        if (const auto self = weak.lock()) {
            self->onRestored();
        }
    });
    watch->readFrom({});
    return watch;
}

void RowWatch::stop()
{
    stopped_ = true;
}

void RowWatch::readFrom(std::string from)
{
    if (from.empty()) {
        snapshotRows_.clear();
    }
    tools_.store->read(table_, std::move(from), [weak = weak_from_this()](const ReadResult &result) {
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
    if (snapshotRows_.empty()) {
        snapshotSentAt_ = result.sentAt;
        snapshotVersion_ = result.page.version;
    }
    if (result.page.version.era != snapshotVersion_.era) {
        readFrom({});
        return;
    }
    lastPageVersion_ = result.page.version;
    snapshotRows_.insert(snapshotRows_.end(), result.page.rows.begin(), result.page.rows.end());
    if (result.page.hasMore && !result.page.rows.empty()) {
        // The next possible key in byte order.
        readFrom(result.page.rows.back().key + '\0');
        return;
    }
    finishSnapshot();
}

void RowWatch::finishSnapshot()
{
    TableSnapshot snapshot;
    snapshot.rows = std::exchange(snapshotRows_, {});
    // The pages are of different versions. Changes between them come again from the feed, which is read from the first page's
    // version on.
    snapshot.version = snapshotVersion_;
    snapshot.reason = readReason();
    digest_.replaceAll(snapshot.rows, lastPageVersion_);
    isLoaded_ = true;
    isBehind_ = false;
    version_ = snapshotVersion_;
    changedAt_ = version_.number;
    recent_.clear();
    recentBytes_ = 0;
    recentSince_ = version_.number;
    isReloadForDivergence_ = false;
    setReachable(true, StoreFailure::None);
    logSnapshot(snapshot);
    handlers_.onSnapshot(snapshot);
    confirm(snapshotSentAt_);
    if (snapshot.reason == ReadReason::StoreRestored && onStoreChanges_) {
        onStoreChanges_();
    }
    pollIfAllowed();
}

ReadReason RowWatch::readReason() const
{
    if (version_ == StoreVersion()) {
        return ReadReason::First;
    }
    if (snapshotVersion_.era != version_.era) {
        return ReadReason::StoreRestored;
    }
    return isReloadForDivergence_ ? ReadReason::Diverged : ReadReason::HistoryLost;
}

void RowWatch::onRestored()
{
    if (!stopped_ && isLoaded_) {
        reload();
    }
}

void RowWatch::reload()
{
    isLoaded_ = false;
    tools_.loop->cancel(pollTimer_);
    readFrom({});
}

void RowWatch::logSnapshot(const TableSnapshot &snapshot) const
{
    tools_.log->write(eventlog::Event::TableRead,
        {{eventlog::Attribute::Table, table_},
            {eventlog::Attribute::Reason, readReasonName(snapshot.reason)},
            {eventlog::Attribute::Era, static_cast<std::int64_t>(snapshot.version.era)},
            {eventlog::Attribute::Version, static_cast<std::int64_t>(snapshot.version.number)},
            {eventlog::Attribute::Count, static_cast<std::int64_t>(snapshot.rows.size())}});
}

void RowWatch::pollIfAllowed()
{
    if (stopped_ || isPolling_ || !isLoaded_) {
        return;
    }
    if (!mayPoll_ || isBehind_ || mayPoll_()) {
        poll();
        return;
    }
    pollLater(ConditionCheckInterval);
}

void RowWatch::pollLater(Duration delay)
{
    tools_.loop->cancel(pollTimer_);
    pollTimer_ = tools_.loop->after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->pollIfAllowed();
        }
    });
}

void RowWatch::confirm(TimePoint at)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
    handlers_.onConfirmed(at);
}

void RowWatch::recordChanges(const std::vector<Row> &rows)
{
    const TimePoint now = tools_.loop->now();
    digest_.update(rows);
    for (const Row &row : rows) {
        recent_.push_back({row, now});
        recentBytes_ += row.key.size() + row.value.size();
        changedAt_ = std::max(changedAt_, row.version.number);
    }
    trimRecent();
}

void RowWatch::trimRecent()
{
    const TimePoint now = tools_.loop->now();
    while (!recent_.empty() && (now - recent_.front().at > RecentChangeLifetime || recentBytes_ > MaxRecentBytes)) {
        // NOTE A transaction may write several rows at one version: they are kept and sent together or not at all.
        const std::uint64_t number = recent_.front().row.version.number;
        while (!recent_.empty() && recent_.front().row.version.number == number) {
            recentBytes_ -= recent_.front().row.key.size() + recent_.front().row.value.size();
            recent_.pop_front();
        }
        recentSince_ = std::max(recentSince_, number);
    }
}

std::optional<TableDelta> RowWatch::delta()
{
    trimRecent();
    if (!isLoaded_ || !confirmedAt_) {
        return std::nullopt;
    }
    TableDelta delta;
    delta.version = version_;
    delta.since = {version_.era, recentSince_};
    delta.changedAt = changedAt_;
    delta.digest = digest_.at(version_);
    delta.age = tools_.loop->now() - *confirmedAt_;
    for (const Recent &recent : recent_) {
        delta.changes.push_back(recent.row);
    }
    return delta;
}

bool RowWatch::hasGap(const TableDelta &delta) const
{
    return delta.version > version_ && delta.since > version_;
}

void RowWatch::applyDelta(const TableDelta &delta, TimePoint provenAt)
{
    if (!isLoaded_ || stopped_ || delta.version.era < version_.era) {
        return;
    }
    if (delta.version.era > version_.era) {
        reload();
        return;
    }
    if (hasGap(delta)) {
        isBehind_ = true;
        pollIfAllowed();
        return;
    }
    if (delta.version > version_) {
        std::vector<Row> missed;
        std::copy_if(delta.changes.begin(), delta.changes.end(), std::back_inserter(missed), [this](const Row &row) { return row.version > version_; });
        recordChanges(missed);
        version_ = delta.version;
        if (!missed.empty()) {
            handlers_.onChanges(missed);
        }
    }
    if (isDiverged(delta)) {
        onDiverged();
        return;
    }
    confirm(provenAt - delta.age);
}

bool RowWatch::isDiverged(const TableDelta &delta) const
{
    const auto own = digest_.at(version_);
    return delta.version == version_ && delta.digest && own && *delta.digest != *own;
}

// It is unknown which of the two VMs is wrong, so nothing is confirmed until the table was read from the store.
void RowWatch::onDiverged()
{
    const TimePoint now = tools_.loop->now();
    if (divergedAt_ && now - *divergedAt_ < MinDivergenceReloadInterval) {
        return;
    }
    divergedAt_ = now;
    isReloadForDivergence_ = true;
    reload();
}

void RowWatch::setPollCondition(std::function<bool()> mayPoll)
{
    mayPoll_ = std::move(mayPoll);
}

void RowWatch::onStoreChanges(std::function<void()> handler)
{
    onStoreChanges_ = std::move(handler);
}

void RowWatch::setPollWait(Duration wait)
{
    wait_ = wait;
}

const std::string &RowWatch::table() const
{
    return table_;
}

StoreVersion RowWatch::version() const
{
    return version_;
}

std::optional<TimePoint> RowWatch::confirmedAt() const
{
    return confirmedAt_;
}

std::optional<TimePoint> RowWatch::lastUnreachableAt() const
{
    return reachable_ ? outageEndedAt_ : std::optional(tools_.loop->now());
}

void RowWatch::poll()
{
    const bool isHeldBack = mayPoll_ && !mayPoll_();
    const Duration wait = pollWithoutWait_ || isBehind_ || isHeldBack ? Duration(0) : wait_;
    pollWithoutWait_ = false;
    isPolling_ = true;
    tools_.store->changes(table_, version_, wait, [weak = weak_from_this(), era = version_.era](const ReadResult &result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        self->isPolling_ = false;
        if (self->isLoaded_ && self->version_.era == era) {
            self->onChanges(result);
        } else {
            // A new snapshot was read meanwhile, or is still being read.
            self->pollIfAllowed();
        }
    });
}

void RowWatch::onChanges(const ReadResult &result)
{
    if (result.failure == StoreFailure::HistoryLost) {
        reload();
        return;
    }
    if (result.failure != StoreFailure::None) {
        onFailure(result.failure);
        return;
    }
    backoff_ = Duration(0);
    setReachable(true, StoreFailure::None);
    // While the feed has more, some changes are still missing here.
    isBehind_ = result.page.hasMore;
    const bool hasChanges = !result.page.rows.empty();
    applyChanges(result.page);
    if (isBehind_) {
        pollIfAllowed();
        return;
    }
    confirm(result.sentAt);
    const Duration since = tools_.loop->now() - result.sentAt;
    if (hasChanges && since < MinChangePollInterval) {
        pollLater(MinChangePollInterval - since);
        return;
    }
    pollIfAllowed();
}

// Another VM may have sent some of the changes while the request was in progress.
void RowWatch::applyChanges(const RowPage &page)
{
    std::vector<Row> missed;
    std::copy_if(page.rows.begin(), page.rows.end(), std::back_inserter(missed), [this](const Row &row) { return row.version > version_; });
    recordChanges(missed);
    version_ = std::max(version_, page.version);
    if (missed.empty()) {
        return;
    }
    handlers_.onChanges(missed);
    if (onStoreChanges_) {
        onStoreChanges_();
    }
}

void RowWatch::onFailure(StoreFailure failure)
{
    if (failure != StoreFailure::Outdated) {
        setReachable(false, failure);
    }
    pollWithoutWait_ = true;
    backoff_ = backoff_.count() == 0 ? FirstBackoff : std::min(backoff_ * 2, MaxBackoff);
    if (!isLoaded_) {
        retryReadLater();
        return;
    }
    pollLater(backoff_);
}

void RowWatch::setReachable(bool reachable, StoreFailure failure)
{
    if (reachable_ == reachable) {
        return;
    }
    reachable_ = reachable;
    if (reachable) {
        outageEndedAt_ = tools_.loop->now();
    }
    handlers_.onReachabilityChanged(reachable, failure);
}

void RowWatch::retryReadLater()
{
    tools_.loop->after(backoff_, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->readFrom({});
        }
    });
}

} // namespace cardamomlift::rows
