#include "presence/tablerelay.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::presence {

namespace {

/// Number of store readers at a time: with three, two may lose the store or stop in the same second.
constexpr std::size_t StoreReaders = 3;
/// A peer does not count as a possible store reader if neither a status nor its row was received for this long. With many VMs,
/// a peer that is no store reader sends its status only every second or two, and some of these datagrams are lost. If the time
/// is too short, more VMs than needed become store readers.
constexpr Duration HeardWithin = std::chrono::seconds(5);
/// A store reader sends to all VMs of its group three times a second; after four rounds without a datagram it has stopped or is
/// cut off.
constexpr Duration StoreReaderTimeout = std::chrono::milliseconds(1400);
/// A VM that receives nothing from a store reader polls the store itself when its knowledge is this old. A draining server may
/// get new requests for at most two seconds after the store has it as draining; with the usual maximum age the VMs learned of
/// that too late when all store readers had stopped at once.
constexpr Duration MaxAgeWithoutStoreReader = std::chrono::milliseconds(900);
/// How long to wait for a change that another VM knows before the store is polled for it. A store reader sends a change in each
/// round until the receiver knows it, unless it is too large for a datagram.
constexpr Duration UndeliveredChangeWait = std::chrono::milliseconds(450);
/// An outage of the store is reported in statuses for this long after its end. Entries that are missing later than that are
/// not missing because of it.
constexpr Duration OutageReportedFor = std::chrono::seconds(4);

/// Number of VMs of a group that poll the store as often as usual while it is unavailable for all of them. The others poll it seldom,
/// and are told by these when it is back.
constexpr std::size_t OutagePollers = 3;
constexpr Duration OutagePollInterval = std::chrono::seconds(4);

/// A VM for which the store is unavailable, or was less than this long ago, is not chosen as a store reader.
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
        const bool isDue = !confirmed || self->loop_.now() - *confirmed > bound || self->isStoreReader();
        return self->mayPollNow(*own, isDue);
    });
    watch->onStoreChanges([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->presence_->scheduleChangeBroadcast(BroadcastScope::All);
        }
    });
    watches_.push_back({std::move(watch), maxAge});
}

bool TableRelay::mayPollNow(const rows::RowWatch &watch, bool isDue)
{
    const auto entry = std::find_if(watches_.begin(), watches_.end(), [&watch](const WatchEntry &entry) { return entry.watch.get() == &watch; });
    const TimePoint now = loop_.now();
    // A few VMs make few calls, also while the store is unavailable.
    if (entry == watches_.end() || presence_->groups().empty()) {
        return isDue;
    }
    if (watch.lastUnreachableAt() != now) {
        entry->isHeldUp = false;
        return isDue;
    }
    const bool isLeftToOthers = leavesOutageToOthers();
    entry->isHeldUp = entry->isHeldUp || isDue;
    // When the outage ends, changes may come from other VMs first. The store is polled nevertheless, to learn that it is back.
    const bool isOver = entry->isHeldUp && !isDue;
    const bool isOverdue = now - entry->polledInOutageAt >= OutagePollInterval;
    if (!isOverdue && (isLeftToOthers || !(isDue || isOver))) {
        return false;
    }
    entry->isHeldUp = isDue;
    entry->polledInOutageAt = now;
    return true;
}

bool TableRelay::leavesOutageToOthers() const
{
    const std::uint64_t own = nameHash(presence_->instance());
    const TimePoint now = loop_.now();
    const auto &peers = presence_->peers();
    const auto pollers = std::count_if(peers.begin(), peers.end(), [&](const auto &entry) {
        const Peer &peer = entry.second;
        const bool isHeard = peer.status && peer.heardAt && now - *peer.heardAt <= storeReaderTimeout();
        const bool isInOutage = isHeard && !peer.status->isDraining && peer.status->sinceStoreOutage == Duration(0);
        return isInOutage && peer.group == presence_->group() && nameHash(entry.first) < own;
    });
    return static_cast<std::size_t>(pollers) >= OutagePollers;
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

// Store readers are the first by hash among the VMs that were heard from recently and know the state of the store: the first
// three VMs if all VMs are one group, otherwise the first VM of each of the first three groups.
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

// A VM that has lost the store, or whose knowledge of a table is too old, can't supply the others with changes.
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
    for (const WatchEntry &entry : watches_) {
        const auto &watch = entry.watch;
        if (auto delta = watch->delta()) {
            status.tables[watch->table()] = std::move(*delta);
        }
        const auto lastUnreachableAt = watch->lastUnreachableAt();
        if (!lastUnreachableAt || loop_.now() - *lastUnreachableAt > OutageReportedFor) {
            continue;
        }
        const Duration sinceOutage = loop_.now() - *lastUnreachableAt;
        status.sinceStoreOutage = status.sinceStoreOutage ? std::min(*status.sinceStoreOutage, sinceOutage) : sinceOutage;
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
    // NOTE Only if the status has new changes: the store may be unavailable for the sender alone, and then the entries known
    // from other VMs are not in doubt.
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

// NOTE A peer that knows a newer version but has not sent the change is no reason to poll the store: a store reader sends the
// change within a round. The store is polled only for a change that is too large for a datagram, after a delay.
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
