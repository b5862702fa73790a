#pragma once

#include "directory/directory.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace cardamomlift::balancing {

/// The properties of a request that its short list of servers depends on.
struct ShortListInput {
    std::string_view affinity; ///< See ChoiceInput.
    std::span<const std::uint64_t> cachingServers; ///< Hashes of servers that cache a prefix of its prompt, in ascending order.
    std::uint64_t salt = 0; ///< Seed of the sample.
};

/// The size of a short list.
struct ShortListParameters {
    /// A service with at most this many servers is not sampled: all of them are considered.
    std::size_t samplingThreshold = 256;
    /// Number of servers sampled from a larger service: enough that each failure domain has some idle ones among them.
    std::size_t sampleSize = 128;
    /// Number of affinity servers added to the sample: more than ChoiceParameters::affinityServers, as some may be outliers.
    std::size_t affinityServers = 4;
};

/// Selects the servers of @p servers to consider for one request, so that the time per request does not grow with their
/// number. Of a large service, these are an even sample and the servers that cache a prefix of the prompt or, if there are
/// none, the affinity servers.
std::vector<directory::ServerPtr> shortList(std::span<const directory::ServerPtr> servers, const ShortListInput &input, const ShortListParameters &parameters);

} // namespace cardamomlift::balancing
