#include "admission/waitqueue.h"

#include <algorithm>

namespace cardamomlift::admission {

void enqueue(WaitQueue &queue, WaitEntry entry)
{
    FairQueue &fairQueue = queue.priorities[static_cast<std::size_t>(entry.priority)];
    const auto [customer, isNew] = fairQueue.customers.try_emplace(entry.customer);
    if (isNew) {
        customer->second.startTag = fairQueue.virtualTime;
    }
    customer->second.entries.emplace(entry.deadline, std::move(entry));
    queue.size++;
}

std::optional<WaitEntry> dequeue(WaitQueue &queue, const std::array<bool, PriorityCount> &isAllowed)
{
    for (std::size_t i = 0; i < PriorityCount; i++) {
        FairQueue &fairQueue = queue.priorities[i];
        if (!isAllowed[i] || fairQueue.customers.empty()) {
            continue;
        }
        const auto customer = std::min_element(
            fairQueue.customers.begin(), fairQueue.customers.end(), [](const auto &a, const auto &b) { return a.second.startTag < b.second.startTag; });
        CustomerQueue &customerQueue = customer->second;
        WaitEntry entry = std::move(customerQueue.entries.begin()->second);
        customerQueue.entries.erase(customerQueue.entries.begin());
        fairQueue.virtualTime = customerQueue.startTag;
        customerQueue.startTag += std::max<std::int64_t>(1, entry.tokens);
        if (customerQueue.entries.empty()) {
            fairQueue.customers.erase(customer);
        }
        queue.size--;
        return entry;
    }
    return std::nullopt;
}

bool removeEntry(WaitQueue &queue, const WaitEntry &entry)
{
    FairQueue &fairQueue = queue.priorities[static_cast<std::size_t>(entry.priority)];
    const auto customer = fairQueue.customers.find(entry.customer);
    if (customer == fairQueue.customers.end()) {
        return false;
    }
    auto &entries = customer->second.entries;
    const auto [first, last] = entries.equal_range(entry.deadline);
    const auto found = std::find_if(first, last, [&entry](const auto &other) { return other.second.ticket == entry.ticket; });
    if (found == last) {
        return false;
    }
    entries.erase(found);
    if (entries.empty()) {
        fairQueue.customers.erase(customer);
    }
    queue.size--;
    return true;
}

std::size_t countAhead(const WaitQueue &queue, contract::Priority priority)
{
    std::size_t ahead = 0;
    for (std::size_t i = 0; i <= static_cast<std::size_t>(priority); i++) {
        for (const auto &[name, customer] : queue.priorities[i].customers) {
            ahead += customer.entries.size();
        }
    }
    return ahead;
}

} // namespace cardamomlift::admission
