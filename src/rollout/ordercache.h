#pragma once

#include "rollout/rollouttypes.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::rollout {

/// The operator's newest rollout order of each service, as read from the store by this VM.
class OrderCache
{
public:
    static std::shared_ptr<OrderCache> create();

    /// Adds an order and calls the handlers. Ignores an order that is older than the known one and was delivered late. After a
    /// restore of the store, also ignores an older order from the copy; a known order that is written again keeps its id.
    void put(Order order);
    void remove(std::string_view service);
    /// Takes over the contents of the whole table: removes orders that are not among @p orders, since they were withdrawn.
    void replaceAll(std::span<const Order> orders);
    /// All orders with a row version up to @p rowVersion have been read.
    void noteKnownUpTo(rows::StoreVersion rowVersion);

    const Order *find(std::string_view service) const;
    const std::map<std::string, Order, std::less<>> &all() const;
    rows::StoreVersion knownUpTo() const;
    /// @p handler is called with each new order.
    void onOrder(std::function<void(const Order &order)> handler);

private:
    OrderCache() = default;
    /// Whether @p order is outdated or the known one. Updates the row version of a known order that was written again.
    bool isOutdatedOrKnown(const Order &order);
    std::map<std::string, Order, std::less<>> orders_; ///< By service.
    std::map<std::string, rows::StoreVersion, std::less<>> rowVersions_; ///< By service: the current row version of its order.
    rows::StoreVersion knownUpTo_;
    std::vector<std::function<void(const Order &)>> handlers_;
};

} // namespace cardamomlift::rollout
