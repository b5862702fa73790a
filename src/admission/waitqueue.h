#pragma once

#include "contract/contracttypes.h"
#include "kernel/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace cardamomlift::admission {

/// One request that waits for room.
struct WaitEntry {
    std::uint64_t ticket = 0;
    std::string customer;
    contract::Priority priority = contract::Priority::Normal;
    TimePoint deadline; ///< When its wait is over.
    std::int64_t tokens = 1; ///< Its share of the room, in tokens.
};

inline constexpr std::size_t PriorityCount = 3;

/// The requests of one customer in one priority, the earliest deadline first.
struct CustomerQueue {
    std::multimap<TimePoint, WaitEntry> entries;
    std::int64_t startTag = 0; ///< Tokens let in so far, as start-time fair queueing counts them.
};

/// The requests of one priority, by customer.
struct PriorityQueue {
    std::map<std::string, CustomerQueue> customers; ///< Only those with entries.
    std::int64_t virtualTime = 0; ///< Of the customer served last: where a new one starts.
};

/// The requests that wait for room at one model or service.
struct WaitQueue {
    std::array<PriorityQueue, PriorityCount> priorities;
    std::size_t size = 0;
};

void enqueue(WaitQueue &queue, WaitEntry entry);
/// The request to let in next: by priority, then the customer that had the fewest tokens, then the earliest deadline.
/// Priorities for which @p mayServe is false are passed over.
std::optional<WaitEntry> dequeue(WaitQueue &queue, const std::array<bool, PriorityCount> &isAllowed);
/// Forgets a request; says whether it waited.
bool removeEntry(WaitQueue &queue, const WaitEntry &entry);
/// How many wait that will be let in before a new one of @p priority.
std::size_t countAhead(const WaitQueue &queue, contract::Priority priority);

} // namespace cardamomlift::admission
