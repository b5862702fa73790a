#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace cardamomlift::prefixindex {

/// The beginning of a prompt that other requests may share: its first parts, in order.
struct Prefix {
    std::uint64_t hash = 0; ///< Of all its parts; see prefixesOf().
    std::int64_t tokens = 0; ///< Of all its parts together.
};

/// What a server is believed to keep of one prompt.
struct PrefixMatch {
    std::uint64_t server = 0; ///< presence::nameHash() of the instance.
    std::int64_t tokens = 0; ///< Of the longest prefix that it keeps.
};

/// A server that is believed to keep a prefix in its cache.
struct CachingServer {
    std::uint64_t server = 0; ///< presence::nameHash() of the instance.
    TimePoint usedAt; ///< When a request with the prefix went there last.
};

} // namespace cardamomlift::prefixindex
