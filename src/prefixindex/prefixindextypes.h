#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace cardamomlift::prefixindex {

/// A prefix of a prompt, made of its first parts, that other requests may share.
struct Prefix {
    std::uint64_t hash = 0; ///< Of all its parts; see prefixesOf().
    std::int64_t tokens = 0; ///< Of all its parts together.
};

/// The longest prefix of one prompt that a server is expected to have in its cache.
struct PrefixMatch {
    std::uint64_t server = 0; ///< presence::nameHash() of the instance.
    std::int64_t tokens = 0; ///< Length of the prefix.
};

/// A server that is expected to have a prefix in its cache.
struct CachingServer {
    std::uint64_t server = 0; ///< presence::nameHash() of the instance.
    TimePoint usedAt; ///< When a request with the prefix was last sent to it.
    TimePoint toldAt; ///< When this VM last told the others of such a request, or heard of it from one.
};

} // namespace cardamomlift::prefixindex
