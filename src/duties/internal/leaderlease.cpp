#include "duties/leaderlease.h"

#include <algorithm>

namespace cardamomlift::duties {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr char Table[] = "duties";
constexpr char Key[] = "lease";
constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// The holder stops to act this long before its lease runs out: a call is on its way for some milliseconds.
constexpr Duration ActMargin = std::chrono::milliseconds(300);
/// Who takes over waits this much longer than the lease.
constexpr Duration TakeMargin = std::chrono::milliseconds(300);
/// VMs that were heard within this count as running when it is decided whose turn it is, and a holder is left alone. With
/// many VMs it is two of their periods: some statuses may be lost.
constexpr Duration HeardWithin = std::chrono::milliseconds(1500);
/// A process that starts hears within this of the VMs that run for longer, and leaves the lease to them. When 90 VMs started
/// together and each took itself for the first, they made 250 calls for it.
constexpr Duration HearFirst = std::chrono::milliseconds(800);
/// Fences of one era of the store are below those of the next, so that holders whom an older copy does not know of keep theirs
/// for themselves.
constexpr std::uint64_t FencesPerEra = 1'000'000;
/// The lease is renewed when this part of it has passed: one lost write leaves time for a second.
constexpr int RenewPart = 2;

std::optional<rows::Row> findRow(std::span<const rows::Row> rows)
{
    const auto found = std::find_if(rows.begin(), rows.end(), [](const rows::Row &row) { return row.key == Key; });
    return found == rows.end() ? std::nullopt : std::optional(*found);
}

} // namespace

LeaderLease::LeaderLease(LeaseTools tools)
    : tools_(std::move(tools))
    , restoredBy_(tools_.loop->now())
{
}

std::shared_ptr<LeaderLease> LeaderLease::start(LeaseTools tools)
{
    std::shared_ptr<LeaderLease> lease(new LeaderLease(std::move(tools)));
    LeaderLease *raw = lease.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    raw->tools_.presence->addStatusContributor([weak = std::weak_ptr<LeaderLease>(lease)](presence::Status &status) {
        const auto self = weak.lock();
        status.holdsLease = self && self->holds_ && !self->ended_;
        status.isStoreUnavailable = self && self->lacksStore_;
    });
    raw->tools_.store->eras().onRestored([weak = std::weak_ptr<LeaderLease>(lease)] {
        if (const auto self = weak.lock()) {
            self->sawRestore_ = true;
            self->restoredBy_ = self->tools_.loop->now();
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
    return holds_ && !ended_ && tools_.loop->now() < heldUntil_;
}

std::uint64_t LeaderLease::fence() const
{
    return row_.fence;
}

const LeaseRow &LeaderLease::row() const
{
    return row_;
}

// The one that runs longest of those that reach the store, so that they do not all try at once: it has heard what the VMs
// that ended since have counted, which a process that has just begun has not.
bool LeaderLease::isMyTurn() const
{
    const auto heard = tools_.presence->recentlyHeard(std::max(HeardWithin, tools_.presence->period() * 2));
    return std::none_of(heard.begin(), heard.end(), [this](const presence::Peer *peer) {
        const presence::Status &status = *peer->status;
        const bool runs = !status.isDraining && !status.isStoreUnavailable;
        return status.holdsLease || (runs && tools_.presence->uptime(*peer) > tools_.presence->uptime());
    });
}

void LeaderLease::tick()
{
    const TimePoint now = tools_.loop->now();
    if (writing_) {
        return;
    }
    if (ended_) {
        tryRelease();
        return;
    }
    if (holds_ && now >= heldUntil_ + ActMargin) {
        lose("expired");
        return;
    }
    if (holds_ && isBeforeRestore()) {
        readRow();
        return;
    }
    if (holds_) {
        if (now - renewedAt_ >= tools_.length / RenewPart) {
            renew();
        }
        return;
    }
    const bool mayBeOthers = tools_.presence->vmCount() != std::optional<std::size_t>(1);
    if (mayBeOthers && tools_.presence->uptime() < HearFirst) {
        return;
    }
    if (!isMyTurn()) {
        seenAt_.reset();
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
    // Once seen, the row need not be read again until the lease must have run out.
    if (seenAt_ && tools_.loop->now() - *seenAt_ < tools_.length + TakeMargin) {
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
    lacksStore_ = result.failure != rows::StoreFailure::None;
    if (lacksStore_ || writing_ || ended_) {
        return;
    }
    if (holds_) {
        rewriteOver(result.page);
    } else {
        takeRow(result);
    }
}

// The row as this VM knows it is of an earlier era than the store.
bool LeaderLease::isBeforeRestore() const
{
    return version_.era < tools_.store->eras().current();
}

// While this VM holds the lease nobody else can have taken it: who does has waited for longer than the lease, in this era too.
void LeaderLease::rewriteOver(const rows::RowPage &page)
{
    if (!isHeld()) {
        return;
    }
    const auto found = findRow(page.rows);
    LeaseRow current;
    if (found && !decodeLease(found->value, current)) {
        lose("its row can't be read");
        return;
    }
    if (found && current.era == page.version.era && current.incarnation != row_.incarnation) {
        lose("taken by another");
        return;
    }
    tools_.log->write(Event::LeaseTaken, {{Attribute::Fence, static_cast<std::int64_t>(row_.fence)}, {Attribute::Reason, "kept_over_restore"}});
    write(row_, found ? found->version : rows::StoreVersion{page.version.era, 0}, [](bool) {});
}

void LeaderLease::takeRow(const rows::ReadResult &result)
{
    const std::uint64_t era = result.page.version.era;
    const auto found = findRow(result.page.rows);
    const rows::StoreVersion version = found ? found->version : rows::StoreVersion{era, 0};
    LeaseRow before;
    if (found && !decodeLease(found->value, before)) {
        tools_.log->write(Event::LeaseLost, {{Attribute::Reason, "its row can't be read"}});
        return;
    }
    // NOTE Measured from when the question was sent, for the wait of the next holder to cover the whole lease of the last.
    const bool wasUnchanged = seenAt_ && version_ == version && result.sentAt - *seenAt_ >= tools_.length + TakeMargin;
    // What an older copy of the store says of the holder, or that there is none, may have changed before it was restored.
    const bool isOfThisEra = found ? before.era == era : !sawRestore_;
    // An earlier process of this VM is over, and acts no more.
    const bool wasOurs = before.holder == tools_.presence->instance();
    const bool isFree = isOfThisEra && (!found || before.isReleased || wasOurs);
    if (isFree || wasUnchanged) {
        before.lacksReports = before.lacksReports || !isOfThisEra;
        tryTake(before, version);
        return;
    }
    if (!seenAt_ || version_ != version) {
        seenAt_ = tools_.loop->now();
        version_ = version;
    }
}

std::uint64_t LeaderLease::nextFence(const LeaseRow &before) const
{
    const std::uint64_t firstOfEra = tools_.store->eras().current() * FencesPerEra;
    return std::max({before.fence, row_.fence, firstOfEra}) + 1;
}

void LeaderLease::tryTake(const LeaseRow &before, rows::StoreVersion expectedVersion)
{
    LeaseRow row = before;
    if (row_.reportedWindow > row.reportedWindow) {
        // This process held the lease in the time that the copy lacks.
        row.reportedWindow = row_.reportedWindow;
        row.reports = row_.reports;
    }
    row.arrivedWindow = std::max(row.arrivedWindow, row_.arrivedWindow);
    row.holder = tools_.presence->instance();
    row.incarnation = tools_.presence->incarnation();
    row.fence = nextFence(before);
    row.isReleased = false;
    seenAt_.reset();
    write(std::move(row), expectedVersion, [](bool) {});
}

void LeaderLease::update(LeaseRow row, std::function<void(bool written)> done)
{
    if (!isHeld() || writing_ || isBeforeRestore()) {
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
    lacksStore_ = result.outcome == rows::WriteOutcome::NotWritten || result.outcome == rows::WriteOutcome::Unknown;
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
        heldUntil_ = sentAt + tools_.length - ActMargin;
        done(true);
        return;
    }
    if (result.outcome == rows::WriteOutcome::Conflict && !isBeforeRestore()) {
        // A write of ours whose answer was lost shows here as ours; any other means that the lease is another's.
        const auto found = findRow(result.current);
        LeaseRow current;
        const bool isOurs = holds_ && found && decodeLease(found->value, current) && current.incarnation == row_.incarnation && current.fence == row_.fence;
        if (isOurs) {
            row_ = current;
            version_ = found->version;
            renewedAt_ = TimePoint();
        } else if (holds_) {
            lose("taken by another");
        }
    }
    done(false);
}

TimePoint LeaderLease::restoredBy() const
{
    return restoredBy_;
}

void LeaderLease::noteArrived(std::int64_t window)
{
    row_.arrivedWindow = std::max(row_.arrivedWindow, window);
}

void LeaderLease::lose(std::string_view reason)
{
    holds_ = false;
    seenAt_.reset();
    tools_.log->write(Event::LeaseLost, {{Attribute::Fence, static_cast<std::int64_t>(row_.fence)}, {Attribute::Reason, reason}});
}

void LeaderLease::release()
{
    ended_ = true;
    if (!writing_) {
        tryRelease();
    }
}

// Tried until it stands: while the row names this VM, the others must wait until the lease has run out.
void LeaderLease::tryRelease()
{
    if (!holds_ || isBeforeRestore()) {
        return;
    }
    LeaseRow row = row_;
    row.isReleased = true;
    write(std::move(row), version_, [](bool) {});
}

} // namespace cardamomlift::duties
