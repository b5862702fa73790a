#include "balancing/shortlist.h"

#include "balancing/choose.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::balancing {

namespace {

void addCachingServers(std::vector<std::size_t> &indices, std::span<const directory::ServerPtr> servers, std::span<const std::uint64_t> cachingServers)
{
    for (std::size_t i = 0; i < servers.size(); i++) {
        if (std::binary_search(cachingServers.begin(), cachingServers.end(), servers[i]->hash)) {
            indices.push_back(i);
        }
    }
}

void addAffinityServers(std::vector<std::size_t> &indices, std::span<const directory::ServerPtr> servers, std::string_view affinity, std::size_t count)
{
    const RendezvousRanker ranker(affinity);
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(servers.size());
    for (std::size_t i = 0; i < servers.size(); i++) {
        ranked.emplace_back(ranker.rank(servers[i]->server.instance), i);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::transform(ranked.begin(), end, std::back_inserter(indices), [](const auto &entry) { return entry.second; });
}

// Takes servers at even distances. They are ordered by instance, a random name, so neighbours are unrelated.
void addSample(std::vector<std::size_t> &indices, std::size_t servers, std::size_t sampleSize, std::uint64_t salt)
{
    const std::size_t first = salt % servers;
    for (std::size_t i = 0; i < sampleSize; i++) {
        indices.push_back((first + i * servers / sampleSize) % servers);
    }
}

} // namespace

std::vector<directory::ServerPtr> shortList(std::span<const directory::ServerPtr> servers, const ShortListInput &input, const ShortListParameters &parameters)
{
    if (servers.size() <= parameters.samplingThreshold) {
        return {servers.begin(), servers.end()};
    }
    std::vector<std::size_t> indices;
    addSample(indices, servers.size(), parameters.sampleSize, input.salt);
    if (!input.cachingServers.empty()) {
        addCachingServers(indices, servers, input.cachingServers);
    } else if (!input.affinity.empty()) {
        addAffinityServers(indices, servers, input.affinity, parameters.affinityServers);
    }
    std::sort(indices.begin(), indices.end());
    indices.erase(std::unique(indices.begin(), indices.end()), indices.end());
    std::vector<directory::ServerPtr> list;
    list.reserve(indices.size());
    std::transform(indices.begin(), indices.end(), std::back_inserter(list), [&servers](std::size_t index) { return servers[index]; });
    return list;
}

} // namespace cardamomlift::balancing
