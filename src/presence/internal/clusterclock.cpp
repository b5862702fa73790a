#include "presence/clusterclock.h"

#include <algorithm>

namespace cardamomlift::presence {

namespace {

/// Offsets of VMs from which nothing was received for longer are left out: their clocks may have been set since.
constexpr Duration MaxOffsetAge = std::chrono::seconds(10);

} // namespace

std::optional<Duration> medianOffset(std::vector<Duration> offsets)
{
    if (offsets.empty()) {
        return std::nullopt;
    }
    const auto median = offsets.begin() + static_cast<std::ptrdiff_t>((offsets.size() - 1) / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    return *median;
}

ClusterClock::ClusterClock(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence)
    : loop_(loop)
    , store_(std::move(store))
    , presence_(std::move(presence))
{
}

std::shared_ptr<ClusterClock> ClusterClock::create(EventLoop &loop, std::shared_ptr<rows::RowStore> store, std::shared_ptr<Presence> presence)
{
    std::shared_ptr<ClusterClock> clock(new ClusterClock(loop, std::move(store), std::move(presence)));
    clock->presence_->addStatusContributor([weak = std::weak_ptr<ClusterClock>(clock)](Status &status) {
        if (const auto self = weak.lock()) {
            status.clockOffset = self->ownOffset();
        }
    });
    return clock;
}

std::optional<Duration> ClusterClock::storeNow() const
{
    return store_->timeAt(loop_.now());
}

std::optional<Duration> ClusterClock::ownOffset() const
{
    const auto store = storeNow();
    if (!store) {
        return std::nullopt;
    }
    return loop_.clock().wallNow().time_since_epoch() - *store;
}

std::optional<WallTime> ClusterClock::now() const
{
    const auto store = storeNow();
    const auto own = ownOffset();
    if (!store || !own) {
        return std::nullopt;
    }
    std::vector<Duration> offsets{*own};
    const TimePoint now = loop_.now();
    for (const auto &[instance, peer] : presence_->peers()) {
        if (peer.heardAt && now - *peer.heardAt <= MaxOffsetAge && peer.status && peer.status->clockOffset) {
            offsets.push_back(*peer.status->clockOffset);
        }
    }
    return WallTime(*store + *medianOffset(std::move(offsets)));
}

} // namespace cardamomlift::presence
