#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace cardamomlift::admission {

/// A request that waits for capacity.
struct WaitEntry {
    std::uint64_t ticket = 0;
    std::string customer;
    int priority = 0; ///< The smallest is the most urgent.
    TimePoint deadline; ///< When it stops waiting.
    std::int64_t tokens = 1; ///< Its cost in fair queueing: estimated prompt and output tokens.
};

/// The requests of one customer in one priority, earliest deadline first.
struct CustomerQueue {
    std::multimap<TimePoint, WaitEntry> entries;
    std::int64_t startTag = 0; ///< Of its next request, in start-time fair queueing: grows by the tokens of each admitted one.
};

/// The requests of one priority, shared fairly between customers.
struct FairQueue {
    std::map<std::string, CustomerQueue> customers; ///< Only customers with waiting requests.
    std::int64_t virtualTime = 0; ///< Start tag of the request admitted last, and of the first one of a new customer.
};

/// The requests that wait for capacity at one model or service.
struct WaitQueue {
    std::map<int, FairQueue> priorities;
    std::size_t size = 0;
};

void enqueue(WaitQueue &queue, WaitEntry entry);
/// Removes and returns the request to admit next: of the highest priority, of the customer with the smallest start tag,
/// with the earliest deadline. Skips the priorities for which @p isAllowed is false.
std::optional<WaitEntry> dequeue(WaitQueue &queue, const std::function<bool(int priority)> &isAllowed);
/// Removes and returns the request with the earliest deadline of one customer and priority.
std::optional<WaitEntry> dequeueOf(WaitQueue &queue, int priority, const std::string &customer);
/// Removes a request. Returns false if it was not waiting.
bool removeEntry(WaitQueue &queue, const WaitEntry &entry);
/// Returns the number of waiting requests that will be admitted before a new one of @p priority.
std::size_t countAhead(const WaitQueue &queue, int priority);

} // namespace cardamomlift::admission
