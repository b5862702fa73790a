#include "directory/directory.h"

#include <gtest/gtest.h>

namespace cardamomlift::directory {

namespace {

using std::chrono::milliseconds;

const TimePoint Start(std::chrono::hours(1));

BackendServer server(const std::string &instance, ServerState state = ServerState::Ready)
{
    BackendServer result;
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

TEST(Directory, LeavingIsNeverTakenBack)
{
    const auto directory = Directory::create();
    std::vector<std::string> left;
    directory->onLeaving([&left](const ServerPtr &known) { left.push_back(known->server.instance); });
    directory->put(server("a"));
    directory->put(server("a", ServerState::Draining));
    EXPECT_EQ(usableCount(*directory), 0U);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "an older entry that comes late";
    directory->remove("a", Start);
    directory->put(server("a"));
    EXPECT_EQ(usableCount(*directory), 0U) << "even after its entry went";
    EXPECT_EQ(left.front(), "a");
}

TEST(Directory, AnEntryThatWentIsGoneAtOnceWhileTheStoreIsSound)
{
    const auto directory = Directory::create();
    directory->put(server("a"));
    directory->remove("a", Start);
    EXPECT_EQ(usableCount(*directory), 0U);
}

TEST(Directory, AnEntryThatLapsedInAnOutageStaysUsableUntilItMustBeBack)
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

TEST(Directory, AServerThatSaidItLeavesIsForgottenInAnOutageToo)
{
    const auto directory = Directory::create();
    directory->put(server("a", ServerState::Draining));
    directory->noteStoreReachable(false, Start);
    directory->remove("a", Start + milliseconds(10));
    EXPECT_EQ(directory->find("a"), nullptr);
}

TEST(Directory, AWholeListComparesWithWhatWasKnown)
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
