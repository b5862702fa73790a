#include "directory/directory.h"
#include "presence/presencetypes.h"

#include <gtest/gtest.h>

#include <random>

namespace cardamomlift::directory {

namespace {

using std::chrono::milliseconds;

const TimePoint Start(std::chrono::hours(1));

BackendServer server(const std::string &instance, ServerState state = ServerState::Ready)
{
    BackendServer result;
    result.name = instance;
    result.instance = instance;
    result.service = "models";
    result.endpoint = {"10.0.0.1", 80};
    result.state = state;
    return result;
}

std::size_t usableCount(const Directory &directory)
{
    return directory.usable("models").size();
}

TEST(Directory, ALeavingServerStaysUnusable)
{
    const auto directory = Directory::create();
    std::vector<std::string> left;
    directory->onLeaving([&left](const ServerPtr &known) { left.push_back(known->server.instance); });
    directory->put(server("a"));
    directory->put(server("a", ServerState::Draining));
    EXPECT_EQ(usableCount(*directory), 0U);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "a late copy of an older entry";
    directory->remove("a", Start);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "even after its entry was removed";
    EXPECT_EQ(left.front(), "a");
}

// Guards against an announcement in an answer that later knowledge of the list undoes.
TEST(Directory, AServerThatAnnouncedItsLeavingInAnAnswerStaysUnusable)
{
    const auto directory = Directory::create();
    directory->put(server("a"));
    EXPECT_TRUE(directory->markLeaving("a"));
    EXPECT_FALSE(directory->markLeaving("a")) << "known already";
    EXPECT_EQ(usableCount(*directory), 0U);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "its entry is written again";
    const std::vector<BackendServer> list{server("a")};
    directory->replaceAll(list, Start);
    EXPECT_EQ(usableCount(*directory), 0U) << "the list is read anew";
    BackendServer laterEra = server("a");
    laterEra.entryVersion = {1, 7};
    directory->put(laterEra);
    EXPECT_EQ(usableCount(*directory), 0U) << "an entry of a restored store";
    directory->noteStoreReachable(false, Start);
    directory->remove("a", Start);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "its entry expired in an outage, and is back";
    directory->noteStoreReachable(true, Start);
    directory->remove("a", Start + std::chrono::minutes(1));
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "its entry was removed, and is back";
}

TEST(Directory, AnAnnouncementOfAnUnknownInstanceIsRemembered)
{
    const auto directory = Directory::create();
    EXPECT_TRUE(directory->markLeaving("a"));
    EXPECT_FALSE(directory->markLeaving("a"));
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U);
}

TEST(Directory, AnAnnouncementHoldsForTheInstanceOnly)
{
    const auto directory = Directory::create();
    BackendServer first = server("a");
    first.startedAt = 1;
    first.instance = instanceId("a", 1);
    directory->put(first);
    directory->markLeaving(first.instance);
    BackendServer second = server("a");
    second.startedAt = 2;
    second.instance = instanceId("a", 2);
    directory->put(second);
    EXPECT_EQ(usableCount(*directory), 1U);
    directory->markLeaving(first.instance);
    EXPECT_EQ(usableCount(*directory), 1U) << "a late answer of the earlier instance";
}

TEST(Directory, TheEntryOfAServerThatAnnouncedItsLeavingIsReportedToo)
{
    const auto directory = Directory::create();
    std::vector<std::optional<TimePoint>> ends;
    directory->onLeaving([&ends](const ServerPtr &known) { ends.push_back(known->server.endsAt); });
    directory->put(server("a"));
    directory->markLeaving("a");
    BackendServer draining = server("a", ServerState::Draining);
    draining.endsAt = Start;
    directory->put(draining);
    directory->put(draining);
    EXPECT_EQ(ends, (std::vector<std::optional<TimePoint>>{std::nullopt, Start}));
}

/// Checks that usable() and findByHash() agree with all().
void expectListsMatch(const Directory &directory)
{
    std::vector<std::string> expected;
    for (const auto &[instance, known] : directory.all()) {
        if (!known->isLeaving && known->server.service == "models") {
            expected.push_back(instance);
        }
        ASSERT_EQ(directory.findByHash(presence::nameHash(instance)), known);
    }
    std::vector<std::string> usable;
    for (const ServerPtr &known : directory.usable("models")) {
        usable.push_back(known->server.instance);
        ASSERT_EQ(known, directory.find(known->server.instance)) << "an outdated entry of the server";
    }
    ASSERT_EQ(usable, expected);
}

class DirectoryListSeeds : public testing::TestWithParam<unsigned>
{
};

// Guards against a list of usable servers that no longer matches the known entries after single entries have changed.
TEST_P(DirectoryListSeeds, ListsMatchTheEntriesAfterEachChange)
{
    std::mt19937 random(GetParam());
    const auto directory = Directory::create();
    TimePoint now = Start;
    for (int step = 0; step < 400 && !testing::Test::HasFatalFailure(); step++) {
        const std::string name = "i-" + std::to_string(random() % 12);
        const auto startedAt = static_cast<std::int64_t>(1 + random() % 3);
        BackendServer next = server(name, random() % 5 == 0 ? ServerState::Draining : ServerState::Ready);
        next.service = random() % 4 == 0 ? "plain" : "models";
        next.startedAt = startedAt;
        next.instance = instanceId(name, startedAt);
        now += milliseconds(random() % 900);
        switch (random() % 6) {
        case 0:
            directory->remove(name, now);
            break;
        case 1:
            directory->removeInvalid(name);
            break;
        case 2:
            directory->noteStoreReachable(random() % 2 == 0, now);
            break;
        default:
            directory->put(next);
            break;
        }
        directory->tick(now);
        expectListsMatch(*directory);
    }
    directory->noteStoreReachable(true, now);
    directory->tick(now + std::chrono::hours(1));
    for (const auto &[instance, known] : directory->all()) {
        EXPECT_FALSE(known->missingSince) << instance;
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, DirectoryListSeeds, testing::Range(1U, 21U));

TEST(Directory, ARemovedEntryIsGoneAtOnceWithoutAStoreOutage)
{
    const auto directory = Directory::create();
    directory->put(server("a"));
    directory->remove("a", Start);
    EXPECT_EQ(usableCount(*directory), 0U);
}

TEST(Directory, AnEntryThatExpiredInAnOutageStaysUsableForTheGracePeriod)
{
    const auto directory = Directory::create();
    directory->put(server("back"));
    directory->put(server("gone"));
    directory->noteStoreReachable(false, Start);
    directory->noteStoreReachable(true, Start + milliseconds(4000));
    directory->remove("back", Start + milliseconds(4010));
    directory->remove("gone", Start + milliseconds(4010));
    EXPECT_EQ(usableCount(*directory), 2U);
    directory->put(server("back"));
    directory->tick(Start + milliseconds(6000));
    EXPECT_EQ(usableCount(*directory), 2U);
    directory->tick(Start + milliseconds(6600));
    ASSERT_EQ(usableCount(*directory), 1U);
    EXPECT_EQ(directory->usable("models")[0]->server.instance, "back");
}

TEST(Directory, ADrainingServerIsRemovedDuringAnOutageToo)
{
    const auto directory = Directory::create();
    directory->put(server("a", ServerState::Draining));
    directory->noteStoreReachable(false, Start);
    directory->remove("a", Start + milliseconds(10));
    EXPECT_EQ(directory->find("a"), nullptr);
}

BackendServer instanceOf(const std::string &name, std::int64_t startedAt, ServerState state = ServerState::Ready)
{
    BackendServer result = server(name, state);
    result.startedAt = startedAt;
    result.instance = instanceId(name, startedAt);
    return result;
}

TEST(Directory, ALaterInstanceUnderANameIsAnotherServer)
{
    const auto directory = Directory::create();
    std::vector<std::string> left;
    directory->onLeaving([&left](const ServerPtr &known) { left.push_back(known->server.instance); });
    directory->put(instanceOf("a", 1000));
    directory->put(instanceOf("a", 1000, ServerState::Draining));
    directory->put(instanceOf("a", 5000));
    ASSERT_EQ(usableCount(*directory), 1U) << "only the earlier instance was draining";
    EXPECT_EQ(directory->usable("models")[0]->server.instance, "a@5000");
    EXPECT_EQ(directory->find("a@1000"), nullptr);
    EXPECT_EQ(left, (std::vector<std::string>{"a@1000", "a@1000"})) << "reported when it starts to leave and when it is removed";
    directory->remove("a", Start);
    EXPECT_EQ(usableCount(*directory), 0U) << "removing the entry of a name removes its known instance";
}

TEST(Directory, ALateEntryOfAnEarlierInstanceIsIgnored)
{
    const auto directory = Directory::create();
    directory->put(instanceOf("a", 5000));
    directory->put(instanceOf("a", 1000, ServerState::Draining));
    ASSERT_EQ(usableCount(*directory), 1U);
    EXPECT_EQ(directory->usable("models")[0]->server.instance, "a@5000");
}

TEST(Directory, AnEntryWithoutTheKnownStartTimeRemovesTheServer)
{
    const auto directory = Directory::create();
    directory->put(instanceOf("a", 5000));
    directory->put(instanceOf("b", 5000));
    directory->put(server("a"));
    ASSERT_EQ(usableCount(*directory), 1U);
    directory->put(instanceOf("a", 5000));
    EXPECT_EQ(usableCount(*directory), 2U) << "its own entry adds it again";
}

TEST(Directory, AnInvalidEntryIsRemovedDuringAnOutageToo)
{
    const auto directory = Directory::create();
    directory->put(server("a"));
    directory->put(server("b"));
    directory->noteStoreReachable(false, Start);
    directory->removeInvalid("a");
    ASSERT_EQ(usableCount(*directory), 1U);
    EXPECT_EQ(directory->usable("models")[0]->server.instance, "b");
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 2U);
}

BackendServer serverAtVersion(const std::string &name, rows::StoreVersion version)
{
    BackendServer result = server(name);
    result.entryVersion = version;
    return result;
}

// A store that was restored from an older copy still lists servers that have ended since the copy was made.
TEST(Directory, ARemovedServerIsNotAddedByAnOlderCopyOfTheStore)
{
    const auto directory = Directory::create();
    directory->put(serverAtVersion("a", {1, 30}));
    directory->put(serverAtVersion("b", {1, 31}));
    directory->put(serverAtVersion("b", {1, 40}));
    directory->remove("a", Start);
    directory->remove("b", Start);
    directory->replaceAll(std::vector<BackendServer>{serverAtVersion("a", {2, 30}), serverAtVersion("b", {2, 31})}, Start);
    EXPECT_EQ(usableCount(*directory), 0U);
    directory->put(serverAtVersion("b", {2, 52}));
    ASSERT_EQ(usableCount(*directory), 1U) << "it wrote its entry after the restore";
    EXPECT_EQ(directory->usable("models")[0]->server.instance, "b");
}

TEST(Directory, ARemovedServerMayBeListedAgainInTheSameEra)
{
    const auto directory = Directory::create();
    directory->put(serverAtVersion("a", {1, 30}));
    directory->remove("a", Start);
    directory->put(serverAtVersion("a", {1, 40}));
    EXPECT_EQ(usableCount(*directory), 1U);
}

TEST(Directory, ReplacingTheListRemovesMissingServers)
{
    const auto directory = Directory::create();
    directory->put(server("a"));
    directory->put(server("b"));
    const std::vector<BackendServer> listed{server("b"), server("c")};
    directory->replaceAll(listed, Start);
    EXPECT_EQ(directory->find("a"), nullptr);
    EXPECT_EQ(usableCount(*directory), 2U);
}

} // namespace

} // namespace cardamomlift::directory
