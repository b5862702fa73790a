#include "presence/tablerelay.h"

#include <algorithm>

namespace cardamomlift::presence {

namespace {

/// VMs that follow the store at a time: with three, two may be cut off from it or stop in the same second.
constexpr std::size_t Followers = 3;
/// A VM whose own knowledge is older than this does not count as one that follows.
constexpr Duration FollowerAge = std::chrono::milliseconds(2500);
constexpr Duration HeardWithin = std::chrono::milliseconds(1500);
/// An outage that ended longer ago says nothing of the entries that are missing now.
constexpr Duration OutageTold = std::chrono::seconds(4);

bool isFresh(const Status &status)
{
    const auto oldest = std::max_element(status.tables.begin(), status.tables.end(), [](const auto &a, const auto &b) { return a.second.age < b.second.age; });
    return oldest != status.tables.end() && oldest->second.age <= FollowerAge;
}

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
    relay->presence_->contribute([weak](Status &status) {
        if (const auto self = weak.lock()) {
            self->fill(status);
        }
    });
    relay->presence_->onStatus([weak](const Status &status, std::optional<TimePoint> provenAt) {
        if (const auto self = weak.lock()) {
            self->takeStatus(status, provenAt);
        }
    });
    relay->presence_->setFast([weak] {
        const auto self = weak.lock();
        return self && self->follows();
    });
    return relay;
}

void TableRelay::add(std::shared_ptr<rows::RowWatch> watch, Duration askAfter)
{
    const std::weak_ptr<rows::RowWatch> weakWatch = watch;
    watch->setGate([weak = weak_from_this(), weakWatch, askAfter] {
        const auto self = weak.lock();
        const auto own = weakWatch.lock();
        if (!self || !own) {
            return false;
        }
        const auto confirmed = own->confirmedAt();
        return !confirmed || self->loop_.now() - *confirmed > askAfter || self->follows();
    });
    watch->onNews([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->presence_->sendNow();
        }
    });
    watches_.push_back(std::move(watch));
}

void TableRelay::onOutage(std::function<void(TimePoint backAt)> handler)
{
    outage_ = std::move(handler);
}

// The first by hash among those that are heard and know the store's state themselves.
bool TableRelay::follows() const
{
    const TimePoint now = loop_.now();
    const std::uint64_t own = nameHash(presence_->instance());
    std::size_t before = 0;
    for (const auto &[instance, peer] : presence_->peers()) {
        const bool counts = peer.heardAt && now - *peer.heardAt <= HeardWithin && peer.status && isFresh(*peer.status) && !peer.status->isDraining;
        before += counts && nameHash(instance) < own ? 1 : 0;
    }
    return before < Followers;
}

void TableRelay::fill(Status &status) const
{
    for (const auto &watch : watches_) {
        if (auto news = watch->news()) {
            status.tables[watch->table()] = std::move(*news);
        }
        const auto lostUntil = watch->lostUntil();
        if (!lostUntil || loop_.now() - *lostUntil > OutageTold) {
            continue;
        }
        const Duration back = loop_.now() - *lostUntil;
        status.storeBack = status.storeBack ? std::min(*status.storeBack, back) : back;
    }
}

void TableRelay::takeStatus(const Status &status, std::optional<TimePoint> provenAt)
{
    // Before its news: what is missing there may have lapsed in the outage.
    if (status.storeBack && outage_) {
        outage_(loop_.now() - *status.storeBack);
    }
    if (!provenAt) {
        return;
    }
    for (const auto &watch : watches_) {
        const auto found = status.tables.find(watch->table());
        if (found != status.tables.end()) {
            watch->offer(found->second, *provenAt);
        }
    }
}

} // namespace cardamomlift::presence
