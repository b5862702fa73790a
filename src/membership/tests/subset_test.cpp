#include "membership/subset.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>

using namespace cardamomlift;
using namespace cardamomlift::membership;

namespace {

std::vector<std::string> names(const std::string &prefix, int count)
{
    std::vector<std::string> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; i++) {
        result.push_back(fmt::format("{}-{}", prefix, i));
    }
    return result;
}

using Subsets = std::map<std::string, std::vector<std::string>>;

Subsets subsetsOf(const std::vector<std::string> &servers, const std::vector<std::string> &entries)
{
    Subsets subsets;
    for (const std::string &entry : entries) {
        subsets[entry] = chooseSubset(servers, entries, entry);
    }
    return subsets;
}

struct Balance {
    std::size_t smallest = SIZE_MAX;
    std::size_t largest = 0;
    std::size_t fewestEntries = SIZE_MAX;
    double highestShare = 0; ///< Load of the busiest server relative to the mean, if entry VMs spread requests evenly over their subsets.
};

Balance balanceOf(const Subsets &subsets, const std::vector<std::string> &servers)
{
    Balance balance;
    std::map<std::string, std::size_t> entryCounts;
    std::map<std::string, double> share;
    for (const auto &[entry, subset] : subsets) {
        balance.smallest = std::min(balance.smallest, subset.size());
        balance.largest = std::max(balance.largest, subset.size());
        for (const std::string &server : subset) {
            entryCounts[server]++;
            share[server] += 1.0 / static_cast<double>(subset.size());
        }
    }
    for (const std::string &server : servers) {
        balance.fewestEntries = std::min(balance.fewestEntries, entryCounts[server]);
        balance.highestShare = std::max(balance.highestShare, share[server] * static_cast<double>(servers.size()) / static_cast<double>(subsets.size()));
    }
    return balance;
}

std::size_t differences(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    std::vector<std::string> result;
    std::set_symmetric_difference(a.begin(), a.end(), b.begin(), b.end(), std::back_inserter(result));
    return result.size();
}

} // namespace

TEST(Subset, ASmallFleetUsesAllServers)
{
    const auto servers = names("engine", 12);
    EXPECT_EQ(chooseSubset(servers, names("entry", 9), "entry-1").size(), 12U);
    EXPECT_TRUE(chooseSubset({}, names("entry", 9), "entry-1").empty());
}

TEST(Subset, IsBalancedAtFullSize)
{
    const auto servers = names("engine", 1100);
    const auto entries = names("entry", 380);
    const Subsets subsets = subsetsOf(servers, entries);
    const Balance balance = balanceOf(subsets, servers);
    fmt::print("subsets of {} to {} servers, at least {} entry VMs per server, highest load {:.2f} of the mean\n",
        balance.smallest,
        balance.largest,
        balance.fewestEntries,
        balance.highestShare);
    EXPECT_GE(balance.smallest, SubsetSize / 2);
    EXPECT_LE(balance.largest, SubsetSize * 3 / 2);
    EXPECT_GE(balance.fewestEntries, 6U);
    EXPECT_LE(balance.highestShare, 1.6);
    // The choice ignores zones. With the servers spread over 11 zones, each subset covers several of them anyway.
    std::size_t fewestZones = 11;
    for (const auto &[entry, subset] : subsets) {
        std::set<std::size_t> zones;
        for (const std::string &server : subset) {
            zones.insert(std::stoul(server.substr(7)) % 11);
        }
        fewestZones = std::min(fewestZones, zones.size());
    }
    EXPECT_GE(fewestZones, 4U);
}

TEST(Subset, RemovingOneVmChangesFewAssignments)
{
    const auto servers = names("engine", 1100);
    const auto entries = names("entry", 380);
    const Subsets before = subsetsOf(servers, entries);
    const std::vector<std::string> fewerEntries(entries.begin() + 1, entries.end());
    const Subsets afterEntry = subsetsOf(servers, fewerEntries);
    const std::vector<std::string> fewerServers(servers.begin() + 1, servers.end());
    const Subsets afterServer = subsetsOf(fewerServers, entries);
    std::size_t assignments = 0;
    std::size_t changedByEntry = 0;
    std::size_t changedByServer = 0;
    for (const std::string &entry : fewerEntries) {
        assignments += before.at(entry).size();
        changedByEntry += differences(before.at(entry), afterEntry.at(entry));
        changedByServer += differences(before.at(entry), afterServer.at(entry));
    }
    fmt::print("{} assignments; removing one entry VM changes {}, removing one server {}\n", assignments, changedByEntry, changedByServer);
    EXPECT_LE(changedByEntry, assignments / 20);
    EXPECT_LE(changedByServer, assignments / 20);
}
