#include "membership/subset.h"

#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::membership {

namespace {

constexpr std::size_t MinEntriesPerServer = 3;
// Maximum servers per entry VM, in percent of the mean. With a higher limit fewer assignments change when a VM goes; with a
// lower one the servers are spread more evenly.
constexpr std::size_t CapacityPercent = 125;

struct Ranked {
    std::uint64_t hash = 0;
    std::size_t index = 0;

    bool operator<(const Ranked &other) const
    {
        return hash != other.hash ? hash < other.hash : index < other.index;
    }
};

std::vector<std::uint64_t> hashesOf(std::span<const std::string> names)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(names.size());
    for (const std::string &name : names) {
        hashes.push_back(text::stableHash(name));
    }
    return hashes;
}

/// Combines two hashes with the finaliser of SplitMix64. It is cheap, as it runs for each pair of a server and an entry VM at
/// each change of the list.
std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t value = a + b * 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// The rendezvous hash of each of @p hashes with @p ownHash, in the order of @p hashes. A lower hash ranks higher.
std::vector<Ranked> rank(std::uint64_t ownHash, std::span<const std::uint64_t> hashes)
{
    std::vector<Ranked> ranked;
    ranked.reserve(hashes.size());
    for (std::size_t i = 0; i < hashes.size(); i++) {
        ranked.push_back({mix(ownHash, hashes[i]), i});
    }
    return ranked;
}

/// Picks the first @p count entry VMs in rank order that are assigned to fewer than @p maxServersPerEntry servers, and counts
/// the assignment.
void pickEntries(
    std::vector<Ranked> ranked, std::size_t count, std::size_t maxServersPerEntry, std::vector<std::size_t> &assigned, std::vector<std::size_t> &picked)
{
    std::make_heap(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return b < a; });
    while (!ranked.empty() && picked.size() < count) {
        std::pop_heap(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) { return b < a; });
        const std::size_t entry = ranked.back().index;
        ranked.pop_back();
        if (assigned[entry] < maxServersPerEntry) {
            assigned[entry]++;
            picked.push_back(entry);
        }
    }
}

std::vector<std::string> sorted(std::span<const std::string> names)
{
    std::vector<std::string> result(names.begin(), names.end());
    std::sort(result.begin(), result.end());
    return result;
}

/// Adds the servers that @p self ranks highest until @p subset has @p minimum of them.
void addOwnPicks(std::vector<std::string> &subset, std::span<const std::string> servers, const std::string &self, std::size_t minimum)
{
    std::vector<Ranked> ranked = rank(text::stableHash(self), hashesOf(servers));
    std::sort(ranked.begin(), ranked.end());
    for (const Ranked &next : ranked) {
        if (subset.size() >= minimum) {
            return;
        }
        if (std::find(subset.begin(), subset.end(), servers[next.index]) == subset.end()) {
            subset.push_back(servers[next.index]);
        }
    }
}

} // namespace

std::size_t entriesPerServer(std::size_t servers, std::size_t entries, std::size_t size)
{
    if (servers == 0) {
        return 0;
    }
    return std::min(entries, std::max(MinEntriesPerServer, (size * entries + servers - 1) / servers));
}

std::vector<std::string> chooseSubset(std::span<const std::string> servers, std::span<const std::string> entries, const std::string &self, std::size_t size)
{
    const std::vector<std::string> sortedServers = sorted(servers);
    if (servers.size() <= size) {
        return sortedServers;
    }
    const std::vector<std::string> sortedEntries = sorted(entries);
    const std::vector<std::uint64_t> entryHashes = hashesOf(sortedEntries);
    const std::vector<std::uint64_t> serverHashes = hashesOf(sortedServers);
    const std::size_t picksPerServer = entriesPerServer(servers.size(), entries.size(), size);
    const std::size_t maxServersPerEntry =
        (picksPerServer * servers.size() * CapacityPercent / 100 + entries.size()) / std::max<std::size_t>(1, entries.size());
    std::vector<std::size_t> assigned(sortedEntries.size());
    std::vector<std::string> subset;
    for (std::size_t i = 0; i < sortedServers.size(); i++) {
        std::vector<std::size_t> picked;
        pickEntries(rank(serverHashes[i], entryHashes), picksPerServer, maxServersPerEntry, assigned, picked);
        const bool isPicked = std::any_of(picked.begin(), picked.end(), [&](std::size_t entry) { return sortedEntries[entry] == self; });
        if (isPicked) {
            subset.push_back(sortedServers[i]);
        }
    }
    addOwnPicks(subset, sortedServers, self, size / 2);
    std::sort(subset.begin(), subset.end());
    return subset;
}

} // namespace cardamomlift::membership
