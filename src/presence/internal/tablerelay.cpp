#include "presence/tablerelay.h"

#include <algorithm>

namespace cardamomlift::presence {

namespace {

/// VMs that follow the store at a time: with three, two may be cut off from it or stop in the same second.
constexpr std::size_t StoreReaders = 3;
/// A peer that was not heard for this long, nor its row seen, does not count: with many VMs a peer that does not follow
/// tells of itself only every second or two, and some of that is lost. Too short a time makes more VMs follow than needed.
constexpr Duration HeardWithin = std::chrono::seconds(5);
/// A VM that follows the store tells all others three times a second; after four rounds without a word it has ended, or can
/// not be heard.
constexpr Duration StoreReaderTimeout = std::chrono::milliseconds(1400);
/// A VM that hears no follower asks the store itself when its knowledge is this old. A server that leaves may get work for
/// two seconds after the store has said so; with the usual age the VMs knew too late when all followers had ended at once.
constexpr Duration MaxAgeWithoutStoreReader = std::chrono::milliseconds(900);
/// A change that others know is waited for so long: a VM that follows the store tells it in each of its rounds, until it is
/// known, unless it is too large for a datagram.
constexpr Duration UndeliveredChangeWait = std::chrono::milliseconds(450);
/// An outage that ended longer ago says nothing of the entries that are missing now.
constexpr Duration OutageReportedFor = std::chrono::seconds(4);

/// A VM for which the store came back less than this ago, or is away, is left out of those that follow it.
constexpr Duration RecentOutage = std::chrono::milliseconds(500);

} // namespace

TableRelay::TableRelay(EventLoop &loop, std::shared_ptr<Presence> presence)
    : loop_(loop)
    , presence_(std::move(presence))
{
}

std::shared_ptr<TableRelay> TableRelay::create(EventLoop &loop, std::shared_ptr<Presence> presence)
{
    std::shared_ptr<TableRelay> relay(new TableRelay(loop, std::move(presence)));
    const std::weak_ptr<TableRelay> weak = relay;
    relay->presence_->addStatusContributor([weak](Status &status) {
        if (const auto self = weak.lock()) {
            self->fill(status);
        }
    });
    relay->presence_->onStatus([weak](const Status &status, std::optional<TimePoint> sentNotBefore) {
        if (const auto self = weak.lock()) {
            self->handleStatus(status, sentNotBefore);
        }
    });
    relay->presence_->setStoreReaderCheck([weak] {
        const auto self = weak.lock();
        return self && self->isStoreReader();
    });
    return relay;
}

void TableRelay::add(std::shared_ptr<rows::RowWatch> watch, Duration maxAge)
{
    const std::weak_ptr<rows::RowWatch> weakWatch = watch;
    watch->setPollCondition([weak = weak_from_this(), weakWatch, maxAge] {
        const auto self = weak.lock();
        const auto own = weakWatch.lock();
        if (!self || !own) {
            return false;
        }
        if (self->lacksUndeliveredChange(*own)) {
            return true;
        }
        const auto confirmed = own->confirmedAt();
        const Duration bound = self->hearsStoreReader() ? maxAge : std::min(maxAge, MaxAgeWithoutStoreReader);
        return !confirmed || self->loop_.now() - *confirmed > bound || self->isStoreReader();
    });
    watch->onStoreChanges([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->presence_->scheduleChangeBroadcast(BroadcastScope::All);
        }
    });
    watches_.push_back({std::move(watch), maxAge});
}

void TableRelay::onOutage(std::function<void(TimePoint backAt)> handler)
{
    outageHandler_ = std::move(handler);
}

bool TableRelay::hearsStoreReader() const
{
    const auto heard = presence_->recentlyHeard(storeReaderTimeout());
    return std::any_of(heard.begin(), heard.end(), [](const Peer *peer) { return peer->status->isStoreReader; });
}

Duration TableRelay::storeReaderTimeout() const
{
    return std::max(StoreReaderTimeout, presence_->period() * 2);
}

bool TableRelay::mayBeStoreReader(const Peer &peer) const
{
    const TimePoint seenAt = std::max(peer.listedAt, peer.heardAt.value_or(peer.listedAt));
    const Duration within = peer.status && peer.status->isStoreReader ? storeReaderTimeout() : HeardWithin;
    return loop_.now() - seenAt <= within && (!peer.status || isUsableSource(*peer.status));
}

// The first by hash among those that are heard and know the store's state themselves: of few VMs the first three; of many
// the first VM of each of the first three groups.
bool TableRelay::isStoreReader() const
{
    const std::uint64_t own = nameHash(presence_->instance());
    const std::uint64_t ownGroup = nameHash(presence_->group());
    std::size_t groupPeersBefore = 0;
    for (const auto &[instance, peer] : presence_->peers()) {
        groupPeersBefore += peer.group == presence_->group() && nameHash(instance) < own && mayBeStoreReader(peer) ? 1 : 0;
    }
    std::size_t groupsBefore = 0;
    for (const auto &[name, group] : presence_->groups()) {
        groupsBefore += nameHash(name) < ownGroup && mayBeStoreReader(group) ? 1 : 0;
    }
    return presence_->groups().empty() ? groupPeersBefore < StoreReaders : groupPeersBefore == 0 && groupsBefore < StoreReaders;
}

// A VM that is cut off from the store, or knows it only by hearsay that has grown old, is no good as a source.
bool TableRelay::isUsableSource(const Status &status) const
{
    if (status.isDraining || (status.sinceStoreOutage && *status.sinceStoreOutage < RecentOutage)) {
        return false;
    }
    return std::all_of(watches_.begin(), watches_.end(), [&status](const WatchEntry &entry) {
        const auto found = status.tables.find(entry.watch->table());
        return found != status.tables.end() && found->second.age <= entry.maxAge && found->second.version.era >= entry.watch->version().era;
    });
}

void TableRelay::fill(Status &status) const
{
    for (const auto &[watch, maxAge, undeliveredVersion, undeliveredSince] : watches_) {
        if (auto delta = watch->delta()) {
            status.tables[watch->table()] = std::move(*delta);
        }
        const auto lastUnreachableAt = watch->lastUnreachableAt();
        if (!lastUnreachableAt || loop_.now() - *lastUnreachableAt > OutageReportedFor) {
            continue;
        }
        const Duration back = loop_.now() - *lastUnreachableAt;
        status.sinceStoreOutage = status.sinceStoreOutage ? std::min(*status.sinceStoreOutage, back) : back;
    }
}

bool TableRelay::hasNewChanges(const Status &status) const
{
    return std::any_of(watches_.begin(), watches_.end(), [&status](const WatchEntry &entry) {
        const auto found = status.tables.find(entry.watch->table());
        return found != status.tables.end() && !found->second.changes.empty() && found->second.version > entry.watch->version();
    });
}

void TableRelay::handleStatus(const Status &status, std::optional<TimePoint> sentNotBefore)
{
    if (!sentNotBefore) {
        return;
    }
    // NOTE Only with delta: the store may be away for the sender alone, and what others say of it is not in doubt then.
    if (status.sinceStoreOutage && outageHandler_ && hasNewChanges(status)) {
        outageHandler_(loop_.now() - *status.sinceStoreOutage);
    }
    bool isNewChange = false;
    for (WatchEntry &entry : watches_) {
        const auto found = status.tables.find(entry.watch->table());
        if (found == status.tables.end()) {
            continue;
        }
        const rows::TableDelta &delta = found->second;
        const auto own = entry.watch->version();
        offerDelta(entry, delta, *sentNotBefore, status.isStoreReader && status.summaryOf.empty());
        isNewChange = isNewChange || (entry.watch->version() > own && !delta.changes.empty());
    }
    if (isNewChange && !presence_->isInOwnGroup(status.instance)) {
        presence_->scheduleChangeBroadcast(BroadcastScope::Group);
    }
}

// NOTE That a VM which does not tell a change is ahead is no reason to ask the store: one that follows will tell it within a
// round. Only what is too large to be told is asked for, after a while.
void TableRelay::offerDelta(WatchEntry &entry, const rows::TableDelta &delta, TimePoint sentNotBefore, bool isFromStoreReader)
{
    const bool isFromOtherEra = delta.version.era != entry.watch->version().era;
    if (isFromStoreReader || isFromOtherEra || !entry.watch->hasGap(delta)) {
        entry.watch->applyDelta(delta, sentNotBefore);
        return;
    }
    if (entry.undeliveredVersion <= entry.watch->version()) {
        entry.undeliveredVersion = {delta.version.era, delta.changedAt};
        entry.undeliveredSince = loop_.now();
    }
}

bool TableRelay::lacksUndeliveredChange(const rows::RowWatch &watch) const
{
    const auto entry = std::find_if(watches_.begin(), watches_.end(), [&watch](const WatchEntry &entry) { return entry.watch.get() == &watch; });
    return entry != watches_.end() && entry->undeliveredVersion > watch.version() && loop_.now() - entry->undeliveredSince > UndeliveredChangeWait;
}

} // namespace cardamomlift::presence
