#include "rows/rowwatch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace cardamomlift::rows {

namespace {

/// First pause after a failed call. An outage may be of one VM only and short, so it starts small.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
/// Longest pause: two of them fit into the time within which a new manifest must be in force.
constexpr Duration LongestBackoff = std::chrono::milliseconds(800);

/// From one question that brought changes to the next. Servers that are ordered and leave change the list many times a
/// second, and each answer is paid for; the first change after a pause comes at once.
constexpr Duration PauseBetweenChanges = std::chrono::milliseconds(250);
/// From one reading of the whole table since another VM knows other rows to the next: the other one may be the one to learn.
constexpr Duration PauseBetweenDivergences = std::chrono::seconds(5);
/// How often a watch that may not ask looks whether it may.
constexpr Duration GateCheck = std::chrono::milliseconds(150);
/// Changes are told for this long: several statuses, of which some may be lost.
constexpr Duration RecentTime = std::chrono::seconds(4);
/// Of the changes that are kept for others: the entries of a failure domain's servers, or a manifest of usual size. A VM
/// that misses more asks the store itself.
constexpr std::size_t RecentBytes = 48'000;

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
    if (collected_.empty()) {
        collectSince_ = result.sentAt;
        collectVersion_ = result.page.version;
    }
    if (result.page.version.era != collectVersion_.era) {
        readAll({});
        return;
    }
    collectedUpTo_ = result.page.version;
    collected_.insert(collected_.end(), result.page.rows.begin(), result.page.rows.end());
    if (result.page.hasMore && !result.page.rows.empty()) {
        // The key that follows the last one in byte order.
        readAll(result.page.rows.back().key + '\0');
        return;
    }
    takeAll();
}

void RowWatch::takeAll()
{
    TableSnapshot whole;
    whole.rows = std::exchange(collected_, {});
    // Pages are of different moments: what changed between them comes again by the feed from the first page's version.
    whole.version = collectVersion_;
    whole.reason = readReason();
    digest_.replaceAll(whole.rows, collectedUpTo_);
    isRead_ = true;
    behind_ = false;
    version_ = collectVersion_;
    changedAt_ = version_.number;
    recent_.clear();
    recentBytes_ = 0;
    recentSince_ = version_.number;
    isReadForDivergence_ = false;
    setReachable(true, StoreFailure::None);
    logReading(whole);
    handlers_.onSnapshot(whole);
    confirm(collectSince_);
    if (whole.reason == ReadReason::StoreRestored && onStoreChanges_) {
        onStoreChanges_();
    }
    askIfMay();
}

ReadReason RowWatch::readReason() const
{
    if (version_ == StoreVersion()) {
        return ReadReason::First;
    }
    if (collectVersion_.era != version_.era) {
        return ReadReason::StoreRestored;
    }
    return isReadForDivergence_ ? ReadReason::Diverged : ReadReason::HistoryLost;
}

void RowWatch::onRestored()
{
    if (!stopped_ && isRead_) {
        readAnew();
    }
}

void RowWatch::readAnew()
{
    isRead_ = false;
    tools_.loop->cancel(askTimer_);
    readAll({});
}

void RowWatch::logReading(const TableSnapshot &whole) const
{
    tools_.log->write(eventlog::Event::TableRead,
        {{eventlog::Attribute::Table, table_},
            {eventlog::Attribute::Reason, readReasonName(whole.reason)},
            {eventlog::Attribute::Era, static_cast<std::int64_t>(whole.version.era)},
            {eventlog::Attribute::Version, static_cast<std::int64_t>(whole.version.number)},
            {eventlog::Attribute::Count, static_cast<std::int64_t>(whole.rows.size())}});
}

void RowWatch::askIfMay()
{
    if (stopped_ || asking_ || !isRead_) {
        return;
    }
    if (!mayAsk_ || behind_ || mayAsk_()) {
        ask();
        return;
    }
    askLater(GateCheck);
}

void RowWatch::askLater(Duration delay)
{
    tools_.loop->cancel(askTimer_);
    askTimer_ = tools_.loop->after(delay, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->askIfMay();
        }
    });
}

void RowWatch::confirm(TimePoint at)
{
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, at) : at;
    handlers_.onConfirmed(at);
}

void RowWatch::remember(const std::vector<Row> &rows)
{
    const TimePoint now = tools_.loop->now();
    digest_.take(rows);
    for (const Row &row : rows) {
        recent_.push_back({row, now});
        recentBytes_ += row.key.size() + row.value.size();
        changedAt_ = std::max(changedAt_, row.version.number);
    }
    forgetOld();
}

void RowWatch::forgetOld()
{
    const TimePoint now = tools_.loop->now();
    while (!recent_.empty() && (now - recent_.front().at > RecentTime || recentBytes_ > RecentBytes)) {
        // NOTE One transaction may write several rows at one version: they are told together or not at all.
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
    forgetOld();
    if (!isRead_ || !confirmedAt_) {
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
    if (!isRead_ || stopped_ || delta.version.era < version_.era) {
        return;
    }
    if (delta.version.era > version_.era) {
        readAnew();
        return;
    }
    if (hasGap(delta)) {
        behind_ = true;
        askIfMay();
        return;
    }
    if (delta.version > version_) {
        std::vector<Row> missed;
        std::copy_if(delta.changes.begin(), delta.changes.end(), std::back_inserter(missed), [this](const Row &row) { return row.version > version_; });
        remember(missed);
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

// Which of the two is wrong can't be told, so nothing is confirmed; the store knows.
void RowWatch::onDiverged()
{
    const TimePoint now = tools_.loop->now();
    if (divergedAt_ && now - *divergedAt_ < PauseBetweenDivergences) {
        return;
    }
    divergedAt_ = now;
    isReadForDivergence_ = true;
    readAnew();
}

void RowWatch::setPollCondition(std::function<bool()> mayAsk)
{
    mayAsk_ = std::move(mayAsk);
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
    return reachable_ ? regainedAt_ : std::optional(tools_.loop->now());
}

void RowWatch::ask()
{
    const bool isGated = mayAsk_ && !mayAsk_();
    const Duration wait = confirmAtOnce_ || behind_ || isGated ? Duration(0) : wait_;
    confirmAtOnce_ = false;
    asking_ = true;
    tools_.store->changes(table_, version_, wait, [weak = weak_from_this(), era = version_.era](const ReadResult &result) {
        const auto self = weak.lock();
        if (!self || self->stopped_) {
            return;
        }
        self->asking_ = false;
        if (self->isRead_ && self->version_.era == era) {
            self->onChanges(result);
        } else {
            // The table was read anew meanwhile, or still is.
            self->askIfMay();
        }
    });
}

void RowWatch::onChanges(const ReadResult &result)
{
    if (result.failure == StoreFailure::HistoryLost) {
        readAnew();
        return;
    }
    if (result.failure != StoreFailure::None) {
        onFailure(result.failure);
        return;
    }
    backoff_ = Duration(0);
    setReachable(true, StoreFailure::None);
    // Where there is more to come, what is known may lack a change until then.
    behind_ = result.page.hasMore;
    const bool hasChanges = !result.page.rows.empty();
    takeChanges(result.page);
    if (behind_) {
        askIfMay();
        return;
    }
    confirm(result.sentAt);
    const Duration since = tools_.loop->now() - result.sentAt;
    if (hasChanges && since < PauseBetweenChanges) {
        askLater(PauseBetweenChanges - since);
        return;
    }
    askIfMay();
}

// Another VM may have told some of the changes while the question was on its way.
void RowWatch::takeChanges(const RowPage &page)
{
    std::vector<Row> missed;
    std::copy_if(page.rows.begin(), page.rows.end(), std::back_inserter(missed), [this](const Row &row) { return row.version > version_; });
    remember(missed);
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
    confirmAtOnce_ = true;
    backoff_ = backoff_.count() == 0 ? FirstBackoff : std::min(backoff_ * 2, LongestBackoff);
    if (!isRead_) {
        readAllLater();
        return;
    }
    askLater(backoff_);
}

void RowWatch::setReachable(bool reachable, StoreFailure failure)
{
    if (reachable_ == reachable) {
        return;
    }
    reachable_ = reachable;
    if (reachable) {
        regainedAt_ = tools_.loop->now();
    }
    handlers_.onReachabilityChanged(reachable, failure);
}

void RowWatch::readAllLater()
{
    tools_.loop->after(backoff_, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->stopped_) {
            self->readAll({});
        }
    });
}

} // namespace cardamomlift::rows
