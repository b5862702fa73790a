#include "balancing/choose.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::balancing {

namespace {

using std::chrono::milliseconds;

const TimePoint Now(std::chrono::hours(1));

/// Servers s0, s1 … with 10 slots in zone "here".
struct Fleet {
    explicit Fleet(std::size_t count)
        : servers(count)
    {
        for (std::size_t i = 0; i < count; i++) {
            servers[i].server.instance = "s" + std::to_string(i);
            servers[i].server.slots = 10;
            servers[i].server.zone = "here";
        }
        loads.resize(count);
    }

    std::vector<Candidate> candidates() const
    {
        std::vector<Candidate> result;
        for (std::size_t i = 0; i < servers.size(); i++) {
            result.push_back({.server = &servers[i], .load = loads[i], .isOutlier = outliers.contains(i)});
        }
        return result;
    }

    std::size_t pick(std::string_view affinity, std::uint64_t salt = 0) const
    {
        ChoiceInput input;
        input.zone = "here";
        input.affinity = affinity;
        input.salt = salt;
        return *choose(candidates(), input, {}, Now);
    }

    std::vector<directory::KnownServer> servers;
    std::vector<ServerLoad> loads;
    std::set<std::size_t> outliers;
};

TEST(Choose, NoCandidateIsNoChoice)
{
    EXPECT_FALSE(choose({}, {}, {}, Now));
}

TEST(Choose, OneAffinityGoesToOneServerOnAllVms)
{
    const Fleet fleet(12);
    std::map<std::size_t, int> uses;
    for (int i = 0; i < 600; i++) {
        const std::string affinity = "part" + std::to_string(i);
        const std::size_t first = fleet.pick(affinity, 1);
        EXPECT_EQ(fleet.pick(affinity, 2), first);
        uses[first]++;
    }
    EXPECT_EQ(uses.size(), 12U);
    for (const auto &[server, count] : uses) {
        EXPECT_LT(count, 100) << "twice the even share";
    }
}

TEST(Choose, AddingOrRemovingAServerMovesOnlyItsOwnAffinities)
{
    const Fleet before(12);
    Fleet after(12);
    after.servers.pop_back();
    after.loads.pop_back();
    int moved = 0;
    for (int i = 0; i < 600; i++) {
        const std::string affinity = "part" + std::to_string(i);
        const std::size_t first = before.pick(affinity);
        moved += first != 11 && after.pick(affinity) != first ? 1 : 0;
    }
    EXPECT_EQ(moved, 0);
}

TEST(Choose, AHotAffinitySpillsOverToOtherServers)
{
    Fleet fleet(4);
    std::set<std::size_t> used;
    for (int i = 0; i < 24; i++) {
        const std::size_t server = fleet.pick("hot");
        used.insert(server);
        fleet.loads[server].localOpenRequests++;
    }
    EXPECT_EQ(used.size(), 4U);
    for (const ServerLoad &load : fleet.loads) {
        EXPECT_LE(load.localOpenRequests, 9);
    }
}

TEST(Choose, WithoutAffinityTheLeastLoadedServerIsChosen)
{
    Fleet fleet(3);
    fleet.loads[0].localOpenRequests = 3;
    fleet.loads[1].localOpenRequests = 2;
    fleet.loads[2].localOpenRequests = 1;
    EXPECT_EQ(fleet.pick(""), 2U);
}

TEST(Choose, VmsThatKnowTheSameLoadsDoNotAllChooseTheSameServer)
{
    const Fleet fleet(6);
    std::set<std::size_t> used;
    for (std::uint64_t salt = 0; salt < 60; salt++) {
        used.insert(fleet.pick("", salt));
    }
    EXPECT_EQ(used.size(), 6U);
}

TEST(Choose, AFreshReportCountsAnOldOneDoesNot)
{
    ServerLoad load;
    load.reportedRequests = 8;
    load.reportedAt = Now - milliseconds(200);
    EXPECT_EQ(estimatedOpenRequests(load, {}, Now), 8);
    load.sentSinceReport = 2;
    EXPECT_EQ(estimatedOpenRequests(load, {}, Now), 10);
    load.reportedAt = Now - std::chrono::seconds(10);
    EXPECT_EQ(estimatedOpenRequests(load, {}, Now), 0);
}

/// A long prompt whose first 20,000 tokens are cached at server 0.
struct CachedPrompt {
    CachedPrompt()
        : fleet(3)
    {
        input.zone = "here";
        input.affinity = "dossier";
        input.promptTokens = 24'000;
        input.fetchableTokens = 20'000;
    }

    std::size_t pick() const
    {
        auto candidates = fleet.candidates();
        candidates[0].cachedTokens = 20'000;
        return *choose(candidates, input, {}, Now);
    }

    Fleet fleet;
    ChoiceInput input;
};

TEST(Choose, ACachedPromptGoesWhereItIsCached)
{
    EXPECT_EQ(CachedPrompt().pick(), 0U);
}

TEST(Choose, ACachedPromptIsCopiedWhenItsServerHasMoreToPrefillThanTheCopyCosts)
{
    CachedPrompt prompt;
    prompt.fleet.loads[0].localWaitingTokens = 7'000;
    EXPECT_EQ(prompt.pick(), 0U) << "copying 20,000 tokens costs more";
    prompt.fleet.loads[0].peerWaitingTokens = 3'000;
    EXPECT_NE(prompt.pick(), 0U) << "prompts that other VMs sent there are ahead of it too";
}

// With few open requests the slots don't matter, but the prefill of a prompt of 40,000 tokens takes a second.
TEST(Choose, WaitingPromptTokensOutweighOpenRequests)
{
    Fleet fleet(2);
    fleet.loads[0].localOpenRequests = 4;
    fleet.loads[1].localOpenRequests = 1;
    fleet.loads[1].localWaitingTokens = 40'000;
    EXPECT_EQ(fleet.pick(""), 0U);
}

TEST(Choose, AnOutlierIsChosenOnlyWhenNoOtherServerIsLeft)
{
    Fleet fleet(2);
    fleet.outliers = {0};
    fleet.loads[1].localOpenRequests = 20;
    EXPECT_EQ(fleet.pick(""), 1U);
    fleet.servers.pop_back();
    fleet.loads.pop_back();
    EXPECT_EQ(fleet.pick(""), 0U);
}

TEST(Choose, ServersInTheSameZoneArePreferredAmongEquals)
{
    Fleet fleet(4);
    for (std::size_t i = 0; i < 3; i++) {
        fleet.servers[i].server.zone = "there";
    }
    for (std::uint64_t salt = 0; salt < 20; salt++) {
        EXPECT_EQ(fleet.pick("", salt), 3U);
    }
}

} // namespace

} // namespace cardamomlift::balancing
