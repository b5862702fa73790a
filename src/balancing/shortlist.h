#pragma once

#include "directory/directory.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cardamomlift::balancing {

/// What matters of a request for the servers that are weighed for it.
struct ShortListInput {
    std::string_view affinity; ///< See ChoiceInput.
    std::span<const std::uint64_t> cachingServers; ///< Hashes of servers that keep the beginning of its prompt, in order.
    std::uint64_t salt = 0; ///< Draws the sample.
};

/// How many servers are weighed.
struct ShortListParameters {
    /// A service with no more servers than this has all of them weighed.
    std::size_t samplingThreshold = 256;
    /// Of more, so many are drawn: enough of each failure domain that some have nothing to do.
    std::size_t sample = 128;
    /// Home servers beside these, some of which may be outliers.
    std::size_t homes = 4;
};

/// The servers out of @p servers that are weighed for one request, so that its cost does not grow with the servers. Of many
/// these are the cachingServers, or where there are none the homes of its affinity, and an even sample.
std::vector<directory::ServerPtr> shortList(std::span<const directory::ServerPtr> servers, const ShortListInput &input, const ShortListParameters &figures);

} // namespace cardamomlift::balancing
