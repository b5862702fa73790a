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

/// The operator's newest rollout order of each service, as far as this VM has read them.
class OrderCache
{
public:
    static std::shared_ptr<OrderCache> create();

    /// An older order than the known one came late and is passed over. After a restore of the store, so is one of the older
    /// copy, and the known one that was written again stays the same order.
    void put(Order order);
    void remove(std::string_view service);
    /// The whole table was read: orders that it lacks were withdrawn.
    void replaceAll(std::span<const Order> orders);
    /// All orders with a row version up to @p rowVersion are known.
    void noteKnownUpTo(rows::StoreVersion rowVersion);

    const Order *find(std::string_view service) const;
    const std::map<std::string, Order, std::less<>> &all() const;
    rows::StoreVersion knownUpTo() const;
    /// Called with each order that is new.
    void onOrder(std::function<void(const Order &order)> handler);

private:
    OrderCache() = default;
    bool isKnown(const Order &order);
    std::map<std::string, Order, std::less<>> orders_; ///< By service.
    std::map<std::string, rows::StoreVersion, std::less<>> readAs_; ///< By service: the version in which its order stands now.
    rows::StoreVersion knownUpTo_;
    std::vector<std::function<void(const Order &)>> handlers_;
};

} // namespace cardamomlift::rollout
