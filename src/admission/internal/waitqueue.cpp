#include "admission/waitqueue.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::admission {

namespace {

WaitEntry takeFirst(WaitQueue &queue, FairQueue &fairQueue, std::map<std::string, CustomerQueue>::iterator customer)
{
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

} // namespace

void enqueue(WaitQueue &queue, WaitEntry entry)
{
    FairQueue &fairQueue = queue.priorities[entry.priority];
    const auto [customer, isNew] = fairQueue.customers.try_emplace(entry.customer);
    if (isNew) {
        customer->second.startTag = fairQueue.virtualTime;
    }
    const TimePoint deadline = entry.deadline;
    customer->second.entries.emplace(deadline, std::move(entry));
    queue.size++;
}

std::optional<WaitEntry> dequeue(WaitQueue &queue, const std::function<bool(int priority)> &isAllowed)
{
    for (auto &[priority, fairQueue] : queue.priorities) {
        if (fairQueue.customers.empty() || !isAllowed(priority)) {
            continue;
        }
        const auto customer = std::min_element(
            fairQueue.customers.begin(), fairQueue.customers.end(), [](const auto &a, const auto &b) { return a.second.startTag < b.second.startTag; });
        return takeFirst(queue, fairQueue, customer);
    }
    return std::nullopt;
}

std::optional<WaitEntry> dequeueOf(WaitQueue &queue, int priority, const std::string &customer)
{
    const auto fairQueue = queue.priorities.find(priority);
    if (fairQueue == queue.priorities.end()) {
        return std::nullopt;
    }
    const auto found = fairQueue->second.customers.find(customer);
    if (found == fairQueue->second.customers.end()) {
        return std::nullopt;
    }
    return takeFirst(queue, fairQueue->second, found);
}

bool removeEntry(WaitQueue &queue, const WaitEntry &entry)
{
    const auto fairQueue = queue.priorities.find(entry.priority);
    if (fairQueue == queue.priorities.end()) {
        return false;
    }
    const auto customer = fairQueue->second.customers.find(entry.customer);
    if (customer == fairQueue->second.customers.end()) {
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
        fairQueue->second.customers.erase(customer);
    }
    queue.size--;
    return true;
}

std::size_t countAhead(const WaitQueue &queue, int priority)
{
    std::size_t ahead = 0;
    for (const auto &[other, fairQueue] : queue.priorities) {
        if (other > priority) {
            break;
        }
        for (const auto &[name, customer] : fairQueue.customers) {
            ahead += customer.entries.size();
        }
    }
    return ahead;
}

} // namespace cardamomlift::admission
