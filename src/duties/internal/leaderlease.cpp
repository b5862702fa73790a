#include "duties/leaderlease.h"

#include <algorithm>

namespace cardamomlift::duties {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr char Table[] = "duties";
constexpr char Key[] = "lease";
constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// The holder stops acting this long before its lease expires: a call takes some milliseconds to arrive.
constexpr Duration ExpiryMargin = std::chrono::milliseconds(300);
/// A VM that takes the lease over waits this much longer than its length.
constexpr Duration TakeoverMargin = std::chrono::milliseconds(300);
/// VMs that were heard within this time count as running when a candidate for the lease is chosen, and a holder that was
/// heard within it is not challenged. With many VMs the time is two of their status periods, as some statuses may be lost.
constexpr Duration HeardWithin = std::chrono::milliseconds(1500);
/// A process that starts first listens this long for VMs that have run longer, and leaves the lease to them. When 90 VMs
/// started together and each took itself for the first, they made 250 calls to the store for it.
constexpr Duration ListenAtStart = std::chrono::milliseconds(800);
/// Fences of one era of the store are below those of the next, so that a fence of a holder that the restored copy does not
/// know of is never given out again.
constexpr std::uint64_t FencesPerEra = 1'000'000;
/// The lease is renewed when its length divided by this has passed, so that there is time for another write if one is lost.
constexpr int RenewDivisor = 2;

std::optional<rows::Row> findRow(std::span<const rows::Row> rows)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [](const rows::Row &row) { return row.key == Key; });
    return found == rows.end() ? std::nullopt : std::optional(*found);
}

} // namespace

LeaderLease::LeaderLease(LeaseTools tools)
    : tools_(std::move(tools))
    , restoredBefore_(tools_.loop->now())
{
}

std::shared_ptr<LeaderLease> LeaderLease::start(LeaseTools tools)
{
    std::shared_ptr<LeaderLease> lease(new LeaderLease(std::move(tools)));
    LeaderLease *raw = lease.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    raw->tools_.presence->addStatusContributor([weak = std::weak_ptr<LeaderLease>(lease)](presence::Status &status) {
        const auto self = weak.lock();
        status.holdsLease = self && self->holds_ && !self->isShuttingDown_;
        status.isStoreUnavailable = self && self->isStoreUnavailable_;
    });
    raw->tools_.store->eras().onRestored([weak = std::weak_ptr<LeaderLease>(lease)] {
        if (const auto self = weak.lock()) {
            self->sawRestore_ = true;
            self->restoredBefore_ = self->tools_.loop->now();
        }
    });
    return lease;
}

LeaderLease::~LeaderLease()
{
    tools_.loop->cancel(timer_);
}

bool LeaderLease::isHeld() const
{
    return holds_ && !isShuttingDown_ && tools_.loop->now() < heldUntil_;
}

std::uint64_t LeaderLease::fence() const
{
    return row_.fence;
}

const LeaseRow &LeaderLease::row() const
{
    return row_;
}

// Among the VMs that reach the store, the one that has run longest is preferred, so that they do not all try at once. It has
// received the usage counts of VMs that ended meanwhile, which a process that has just started has not.
bool LeaderLease::isPreferredCandidate() const
{
    const auto heard = tools_.presence->recentlyHeard(std::max(HeardWithin, tools_.presence->period() * 2));
    return std::none_of(heard.begin(), heard.end(), [this](const presence::Peer *peer) {
        const presence::Status &status = *peer->status;
        const bool isCandidate = !status.isDraining && !status.isStoreUnavailable;
        return status.holdsLease || (isCandidate && tools_.presence->uptime(*peer) > tools_.presence->uptime());
    });
}

void LeaderLease::tick()
{
    const TimePoint now = tools_.loop->now();
    if (writing_) {
        return;
    }
    if (isShuttingDown_) {
        tryRelease();
        return;
    }
    if (holds_ && now >= heldUntil_ + ExpiryMargin) {
        lose("expired");
        return;
    }
    if (holds_ && isOfEarlierEra()) {
        readRow();
        return;
    }
    if (holds_) {
        if (now - renewedAt_ >= tools_.length / RenewDivisor) {
            renew();
        }
        return;
    }
    const bool mayHavePeers = tools_.presence->vmCount() != std::optional<std::size_t>(1);
    if (mayHavePeers && tools_.presence->uptime() < ListenAtStart) {
        return;
    }
    if (!isPreferredCandidate()) {
        unchangedSince_.reset();
        return;
    }
    observe();
}

void LeaderLease::renew()
{
    write(row_, version_, [](bool) {});
}

void LeaderLease::observe()
{
    // Once seen, the row need not be read again until the lease would have expired.
    if (unchangedSince_ && tools_.loop->now() - *unchangedSince_ < tools_.length + TakeoverMargin) {
        return;
    }
    readRow();
}

void LeaderLease::readRow()
{
    if (reading_) {
        return;
    }
    reading_ = true;
    tools_.store->read(Table, Key, [weak = weak_from_this()](const rows::ReadResult &result) {
        if (const auto self = weak.lock()) {
            self->reading_ = false;
            self->onRow(result);
        }
    });
}

void LeaderLease::onRow(const rows::ReadResult &result)
{
    isStoreUnavailable_ = result.failure != rows::StoreFailure::None;
    if (isStoreUnavailable_ || writing_ || isShuttingDown_) {
        return;
    }
    if (holds_) {
        rewriteAfterRestore(result.page);
    } else {
        considerTakeover(result);
    }
}

bool LeaderLease::isOfEarlierEra() const
{
    return version_.era < tools_.store->eras().current();
}

// While this VM holds the lease nobody else can have taken it: a VM that takes it over has waited longer than the lease, also
// in the new era.
void LeaderLease::rewriteAfterRestore(const rows::RowPage &page)
{
    if (!isHeld()) {
        return;
    }
    const auto found = findRow(page.rows);
    LeaseRow current;
    if (found && !decodeLease(found->value, current)) {
        lose("the lease row can't be decoded");
        return;
    }
    if (found && current.era == page.version.era && current.incarnation != row_.incarnation) {
        lose("taken by another VM");
        return;
    }
    tools_.log->write(Event::LeaseTaken, {{Attribute::Fence, static_cast<std::int64_t>(row_.fence)}, {Attribute::Reason, "kept_over_restore"}});
    write(row_, found ? found->version : rows::StoreVersion{page.version.era, 0}, [](bool) {});
}

void LeaderLease::considerTakeover(const rows::ReadResult &result)
{
    const std::uint64_t era = result.page.version.era;
    const auto found = findRow(result.page.rows);
    const rows::StoreVersion version = found ? found->version : rows::StoreVersion{era, 0};
    LeaseRow before;
    if (found && !decodeLease(found->value, before)) {
        tools_.log->write(Event::LeaseLost, {{Attribute::Reason, "the lease row can't be decoded"}});
        return;
    }
    // NOTE Measured up to the time at which the read was sent, so that the wait covers the whole lease of the last holder.
    const bool wasUnchanged = unchangedSince_ && version_ == version && result.sentAt - *unchangedSince_ >= tools_.length + TakeoverMargin;
    // A row that was restored from an older copy of the store, or its absence, proves nothing: it may have changed between the
    // copy and the restore.
    const bool isOfThisEra = found ? before.era == era : !sawRestore_;
    // An earlier process of this VM has ended and can no longer act.
    const bool wasOurs = before.holder == tools_.presence->instance();
    const bool isFree = isOfThisEra && (!found || before.isReleased || wasOurs);
    if (isFree || wasUnchanged) {
        before.lacksReports = before.lacksReports || !isOfThisEra;
        takeOver(before, version);
        return;
    }
    if (!unchangedSince_ || version_ != version) {
        unchangedSince_ = tools_.loop->now();
        version_ = version;
    }
}

std::uint64_t LeaderLease::nextFence(const LeaseRow &before) const
{
    const std::uint64_t firstOfEra = tools_.store->eras().current() * FencesPerEra;
    return std::max({before.fence, row_.fence, firstOfEra}) + 1;
}

void LeaderLease::takeOver(const LeaseRow &before, rows::StoreVersion expectedVersion)
{
    LeaseRow row = before;
    if (row_.reportedWindow > row.reportedWindow) {
        // This process held the lease after the copy was made.
        row.reportedWindow = row_.reportedWindow;
        row.reports = row_.reports;
    }
    row.arrivedWindow = std::max(row.arrivedWindow, row_.arrivedWindow);
    row.holder = tools_.presence->instance();
    row.incarnation = tools_.presence->incarnation();
    row.fence = nextFence(before);
    row.isReleased = false;
    unchangedSince_.reset();
    write(std::move(row), expectedVersion, [](bool) {});
}

void LeaderLease::update(LeaseRow row, std::function<void(bool written)> done)
{
    if (!isHeld() || writing_ || isOfEarlierEra()) {
        done(false);
        return;
    }
    write(std::move(row), version_, std::move(done));
}

void LeaderLease::write(LeaseRow row, rows::StoreVersion expectedVersion, std::function<void(bool written)> done)
{
    writing_ = true;
    rows::RowWrite write;
    row.era = tools_.store->eras().current();
    write.table = Table;
    write.key = Key;
    write.value = encodeLease(row);
    write.isConditional = true;
    write.expectedVersion = expectedVersion;
    const TimePoint sentAt = tools_.loop->now();
    tools_.store->write({write}, [weak = weak_from_this(), row = std::move(row), sentAt, done = std::move(done)](const rows::WriteResult &result) {
        if (const auto self = weak.lock()) {
            self->writing_ = false;
            self->onWritten(row, sentAt, result, done);
        }
    });
}

void LeaderLease::onWritten(const LeaseRow &row, TimePoint sentAt, const rows::WriteResult &result, const std::function<void(bool written)> &done)
{
    isStoreUnavailable_ = result.outcome == rows::WriteOutcome::NotWritten || result.outcome == rows::WriteOutcome::Unknown;
    if (result.outcome == rows::WriteOutcome::Written) {
        if (!holds_) {
            tools_.log->write(Event::LeaseTaken, {{Attribute::Fence, static_cast<std::int64_t>(row.fence)}});
        }
        holds_ = !row.isReleased;
        const std::int64_t arrived = std::max(row.arrivedWindow, row_.fence == row.fence ? row_.arrivedWindow : 0);
        row_ = row;
        row_.arrivedWindow = arrived;
        version_ = result.version;
        renewedAt_ = sentAt;
        heldUntil_ = sentAt + tools_.length - ExpiryMargin;
        done(true);
        return;
    }
    if (result.outcome == rows::WriteOutcome::Conflict && !isOfEarlierEra()) {
        // The conflict may come from an own write whose response was lost; a row of any other process means that the lease was
        // taken over.
        const auto found = findRow(result.current);
        LeaseRow current;
        const bool isOurs = holds_ && found && decodeLease(found->value, current) && current.incarnation == row_.incarnation && current.fence == row_.fence;
        if (isOurs) {
            row_ = current;
            version_ = found->version;
            renewedAt_ = TimePoint();
        } else if (holds_) {
            lose("taken by another VM");
        }
    }
    done(false);
}

TimePoint LeaderLease::restoredBefore() const
{
    return restoredBefore_;
}

void LeaderLease::noteArrived(std::int64_t window)
{
    row_.arrivedWindow = std::max(row_.arrivedWindow, window);
}

void LeaderLease::lose(std::string_view reason)
{
    holds_ = false;
    unchangedSince_.reset();
    tools_.log->write(Event::LeaseLost, {{Attribute::Fence, static_cast<std::int64_t>(row_.fence)}, {Attribute::Reason, reason}});
}

void LeaderLease::release()
{
    isShuttingDown_ = true;
    if (!writing_) {
        tryRelease();
    }
}

// Retried until it is written: while the row names this VM, the others must wait until the lease expires.
void LeaderLease::tryRelease()
{
    if (!holds_ || isOfEarlierEra()) {
        return;
    }
    LeaseRow row = row_;
    row.isReleased = true;
    write(std::move(row), version_, [](bool) {});
}

} // namespace cardamomlift::duties
