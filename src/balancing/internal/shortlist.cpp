#include "balancing/shortlist.h"

#include "balancing/choose.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::balancing {

namespace {

void addHolders(std::vector<std::size_t> &places, std::span<const directory::ServerPtr> servers, std::span<const std::uint64_t> cachingServers)
{
    for (std::size_t i = 0; i < servers.size(); i++) {
        if (std::binary_search(cachingServers.begin(), cachingServers.end(), servers[i]->hash)) {
            places.push_back(i);
        }
    }
}

void addHomes(std::vector<std::size_t> &places, std::span<const directory::ServerPtr> servers, std::string_view affinity, std::size_t most)
{
    const RendezvousRanker ranker(affinity);
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    ranked.reserve(servers.size());
    for (std::size_t i = 0; i < servers.size(); i++) {
        ranked.emplace_back(ranker.rank(servers[i]->server.instance), i);
    }
    const auto end = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(most, ranked.size()));
    std::partial_sort(ranked.begin(), end, ranked.end(), std::greater<>());
    std::transform(ranked.begin(), end, std::back_inserter(places), [](const auto &entry) { return entry.second; });
}

// Instances are named at random, so neighbours in their order have nothing in common.
void addSample(std::vector<std::size_t> &places, std::size_t servers, std::size_t sample, std::uint64_t salt)
{
    const std::size_t first = salt % servers;
    for (std::size_t i = 0; i < sample; i++) {
        places.push_back((first + i * servers / sample) % servers);
    }
}

} // namespace

std::vector<directory::ServerPtr> shortList(std::span<const directory::ServerPtr> servers, const ShortListInput &input, const ShortListParameters &figures)
{
    if (servers.size() <= figures.samplingThreshold) {
        return {servers.begin(), servers.end()};
    }
    std::vector<std::size_t> places;
    addSample(places, servers.size(), figures.sample, input.salt);
    if (!input.cachingServers.empty()) {
        addHolders(places, servers, input.cachingServers);
    } else if (!input.affinity.empty()) {
        addHomes(places, servers, input.affinity, figures.homes);
    }
    std::sort(places.begin(), places.end());
    places.erase(std::unique(places.begin(), places.end()), places.end());
    std::vector<directory::ServerPtr> list;
    list.reserve(places.size());
    std::transform(places.begin(), places.end(), std::back_inserter(list), [&servers](std::size_t place) { return servers[place]; });
    return list;
}

} // namespace cardamomlift::balancing
