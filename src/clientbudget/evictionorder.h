#pragma once

#include "clientbudget/clientbudgettypes.h"

#include <span>
#include <vector>

namespace cardamomlift::clientbudget {

/// The connections to close so that @p excess bytes become free, as indices of @p uses, and some more as long as that costs no idle client and no request
/// that is being served. First those that have held most for longest without completing a
/// request or reading an answer, then those without a request; requests that are being served come last. Frees less than @p excess only if all connections
/// together hold less.
std::vector<std::size_t> evictForMemory(std::span<const ConnectionUse> uses, std::size_t excess, std::size_t headroom, TimePoint now);

/// The same for file descriptors: connections without a request first, then incomplete requests, then unread answers, each the oldest first.
/// Connections whose request is being served are not closed.
std::vector<std::size_t> evictForDescriptors(std::span<const ConnectionUse> uses, std::size_t excess);

/// How many of @p limits' bytes a connection that holds @p bytes may bring the total to. A part is left to small requests.
std::size_t memoryLimitFor(const ClientLimits &limits, std::size_t bytes);

} // namespace cardamomlift::clientbudget
