#include "balancing/choose.h"
#include "balancing/shortlist.h"
#include "presence/presencetypes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>

namespace cardamomlift::balancing {

namespace {

using std::chrono::milliseconds;

constexpr int Slots = 12;

/// Servers of one service in four failure domains, ordered by their instances, which are random names.
std::vector<directory::ServerPtr> serversOf(std::size_t count)
{
    std::mt19937_64 random(1);
    std::map<std::string, directory::ServerPtr> servers;
    while (servers.size() < count) {
        const auto known = std::make_shared<directory::KnownServer>();
        known->server.instance = "i-" + std::to_string(random());
        known->server.zone = "zone-" + std::to_string(servers.size() % 4);
        known->server.slots = Slots;
        known->hash = presence::nameHash(known->server.instance);
        servers[known->server.instance] = known;
    }
    std::vector<directory::ServerPtr> list;
    list.reserve(servers.size());
    for (const auto &[instance, known] : servers) {
        list.push_back(known);
    }
    return list;
}

bool holds(std::span<const directory::ServerPtr> list, const directory::ServerPtr &server)
{
    return std::find(list.begin(), list.end(), server) != list.end();
}

TEST(ShortList, FewServersAreAllConsidered)
{
    const auto servers = serversOf(256);
    EXPECT_EQ(shortList(servers, {"part", {}, 7}, {}), servers);
    EXPECT_TRUE(shortList({}, {}, {}).empty());
}

// Guards against a time per request that grows with the number of servers.
TEST(ShortList, OfManyServersAFixedNumberIsConsidered)
{
    for (const std::size_t count : {257U, 1000U, 3000U, 10'000U}) {
        const auto servers = serversOf(count);
        const auto list = shortList(servers, {"part", {}, 7}, {});
        EXPECT_LE(list.size(), 132U);
        EXPECT_GE(list.size(), 128U);
        EXPECT_TRUE(std::is_sorted(list.begin(), list.end(), [](const auto &a, const auto &b) { return a->server.instance < b->server.instance; }));
    }
}

TEST(ShortList, HoldsTheAffinityServersWhateverTheSample)
{
    const auto servers = serversOf(3000);
    const RendezvousRanker ranker("part");
    const auto affinityServer = *std::max_element(
        servers.begin(), servers.end(), [&ranker](const auto &a, const auto &b) { return ranker.rank(a->server.instance) < ranker.rank(b->server.instance); });
    for (std::uint64_t salt = 0; salt < 50; salt++) {
        EXPECT_TRUE(holds(shortList(servers, {"part", {}, salt * 7919}, {}), affinityServer));
    }
}

TEST(ShortList, HoldsTheServersThatCacheThePrompt)
{
    const auto servers = serversOf(3000);
    std::vector<std::uint64_t> cachingServers{servers[5]->hash, servers[1700]->hash, servers[2999]->hash};
    std::sort(cachingServers.begin(), cachingServers.end());
    const auto list = shortList(servers, {"part", cachingServers, 1}, {});
    for (const std::size_t index : {5U, 1700U, 2999U}) {
        EXPECT_TRUE(holds(list, servers[index]));
    }
}

TEST(ShortList, ServersAreSampledEvenly)
{
    const auto servers = serversOf(1000);
    std::mt19937_64 random(2);
    std::map<const directory::KnownServer *, int> counts;
    constexpr int Requests = 5000;
    for (int i = 0; i < Requests; i++) {
        for (const auto &server : shortList(servers, {{}, {}, random()}, {})) {
            counts[server.get()]++;
        }
    }
    EXPECT_EQ(counts.size(), servers.size());
    for (const auto &[server, count] : counts) {
        EXPECT_NEAR(count, Requests * 128 / 1000, 150);
    }
}

/// Many VMs in all failure domains that share 600 servers. Each knows its own open requests, and the load that the servers
/// reported in the step before. Requests arrive at two thirds of the servers' capacity.
class ShortListSeeds : public testing::TestWithParam<unsigned>
{
protected:
    /// Returns the highest number of concurrent requests at any server.
    int mostConcurrent(const ShortListParameters &parameters) const
    {
        constexpr std::size_t Vms = 100;
        constexpr int Steps = 250;
        constexpr int RequestsPerStep = 48;
        constexpr int StepsPerRequest = 100;
        const auto servers = serversOf(600);
        std::mt19937_64 random(GetParam());
        std::map<const directory::KnownServer *, int> open;
        std::vector<std::map<const directory::KnownServer *, int>> own(Vms);
        std::deque<std::vector<std::pair<std::size_t, const directory::KnownServer *>>> running;
        int most = 0;
        for (int step = 0; step < Steps; step++) {
            std::vector<std::pair<std::size_t, const directory::KnownServer *>> started;
            for (int i = 0; i < RequestsPerStep; i++) {
                const std::size_t vm = random() % Vms;
                ChoiceInput input;
                const std::string zone = "zone-" + std::to_string(vm % 4);
                input.zone = zone;
                input.salt = random();
                const auto list = shortList(servers, {{}, {}, input.salt}, parameters);
                std::vector<Candidate> candidates;
                for (const auto &server : list) {
                    Candidate candidate;
                    candidate.server = server.get();
                    const auto mine = own[vm].find(server.get());
                    candidate.load.localOpenRequests = mine == own[vm].end() ? 0 : mine->second;
                    candidate.load.reportedRequests = open[server.get()];
                    candidate.load.reportedAt = TimePoint(milliseconds(0));
                    candidates.push_back(candidate);
                }
                const directory::KnownServer *chosen = candidates[*choose(candidates, input, {}, TimePoint(milliseconds(200)))].server;
                own[vm][chosen]++;
                started.emplace_back(vm, chosen);
            }
            for (const auto &[vm, server] : started) {
                most = std::max(most, ++open[server]);
            }
            running.push_back(std::move(started));
            if (running.size() > StepsPerRequest) {
                for (const auto &[vm, server] : running.front()) {
                    own[vm][server]--;
                    open[server]--;
                }
                running.pop_front();
            }
        }
        return most;
    }
};

// Guards against sampling that concentrates load: no server may get more concurrent requests than when every request
// considers all servers.
TEST_P(ShortListSeeds, NoServerGetsMoreRequestsThanWithoutSampling)
{
    const int unsampled = mostConcurrent({100'000, 128, 4});
    const int sampled = mostConcurrent({});
    RecordProperty("whole", unsampled);
    RecordProperty("sampled", sampled);
    EXPECT_LE(sampled, unsampled);
}

INSTANTIATE_TEST_SUITE_P(Seeds, ShortListSeeds, testing::Range(1U, 6U));

} // namespace

} // namespace cardamomlift::balancing
