#include "rollout/ordercache.h"

#include <algorithm>

namespace cardamomlift::rollout {

std::shared_ptr<OrderCache> OrderCache::create()
{
    return std::shared_ptr<OrderCache>(new OrderCache);
}

void OrderCache::put(Order order)
{
    if (isOutdatedOrKnown(order)) {
        return;
    }
    rowVersions_[order.service] = order.id;
    Order &place = orders_[order.service];
    place = std::move(order);
    for (const auto &handler : handlers_) {
        handler(place);
    }
}

bool OrderCache::isOutdatedOrKnown(const Order &order)
{
    const Order *known = find(order.service);
    if (!known) {
        return false;
    }
    rows::StoreVersion &rowVersion = rowVersions_[order.service];
    if (order.id.era <= rowVersion.era) {
        return order.id <= rowVersion;
    }
    const bool isWrittenAgain = order.toVersion == known->toVersion && order.timeLimit == known->timeLimit;
    if (isWrittenAgain) {
        rowVersion = order.id;
    }
    // NOTE In the era after a restore, rows from the copy keep the numbers that they were written with.
    return isWrittenAgain || order.id.number <= rowVersion.number;
}

void OrderCache::remove(std::string_view service)
{
    if (const auto found = orders_.find(service); found != orders_.end()) {
        orders_.erase(found);
    }
}

void OrderCache::replaceAll(std::span<const Order> orders)
{
    std::erase_if(orders_, [orders](const auto &entry) {
        return std::none_of(orders.begin(), orders.end(), [&entry](const Order &order) { return order.service == entry.first; });
    });
    for (const Order &order : orders) {
        put(order);
    }
}

void OrderCache::noteKnownUpTo(rows::StoreVersion rowVersion)
{
    knownUpTo_ = std::max(knownUpTo_, rowVersion);
}

const Order *OrderCache::find(std::string_view service) const
{
    const auto found = orders_.find(service);
    return found == orders_.end() ? nullptr : &found->second;
}

const std::map<std::string, Order, std::less<>> &OrderCache::all() const
{
    return orders_;
}

rows::StoreVersion OrderCache::knownUpTo() const
{
    return knownUpTo_;
}

void OrderCache::onOrder(std::function<void(const Order &order)> handler)
{
    handlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::rollout
