// Real daemons before a store that is restored from an older copy.

#include "support/routefleet.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using test::RouteFleet;

namespace {

constexpr int Entries = 3;
constexpr int StatusOk = 200;
constexpr int StatusUnauthorized = 401;

class RestoredStore : public testing::Test
{
protected:
    RestoredStore()
        : fleet_(Entries, 2)
    {
        fleet_.waitReady();
        fleet_.waitKnown();
    }

    int statusOf(int vm, const std::string &key)
    {
        return fleet_.caller.call(fleet_.request(vm, "/safe/1", fmt::format("id-{}", asked_++), key))->status;
    }

    bool waitForStatus(int status, const std::string &key)
    {
        bool isSo = true;
        for (int vm = 1; vm <= Entries; vm++) {
            isSo = fleet_.caller.waitUntil([&] { return statusOf(vm, key) == status; }, "the status changes") && isSo;
        }
        return isSo;
    }

    /// Whether requests at all VMs bring @p worker some.
    bool getsWork(const std::string &worker)
    {
        const auto runs = fleet_.controlWorker(worker)["runs"].size();
        for (int i = 0; i < 12 * Entries; i++) {
            statusOf(i % Entries + 1, "key-1");
        }
        return runs < fleet_.controlWorker(worker)["runs"].size();
    }

    /// Writes go to the restored store before any VM reaches it again, more than were lost.
    template<typename Write>
    void restoreAndCatchUp(const Write &write)
    {
        fleet_.setStoreFault("down");
        fleet_.restoreStore();
        write();
        fleet_.useUpVersions(40);
        fleet_.setStoreFault("");
    }

    RouteFleet fleet_;
    int asked_ = 0;
};

// A server that says it leaves under a version that was given out before would get work for ever.
TEST_F(RestoredStore, AServerThatLeavesGetsNoMoreWork)
{
    fleet_.copyStore();
    fleet_.useUpVersions(20);
    fleet_.addWorker("worker-3");
    ASSERT_TRUE(fleet_.caller.waitUntil([this] { return getsWork("worker-3"); }, "the new server is known"));
    restoreAndCatchUp([this] {
        fleet_.listWorker("worker-1", "draining");
        fleet_.listWorker("worker-3", "ready");
    });
    EXPECT_TRUE(fleet_.caller.waitUntil([this] { return !getsWork("worker-1"); }, "the leaving server gets nothing"));
    EXPECT_TRUE(getsWork("worker-3"));
}

// A key that a manifest with a version given out before takes away would stay valid for ever.
TEST_F(RestoredStore, AKeyThatIsTakenAwayStopsToWork)
{
    fleet_.copyStore();
    fleet_.useUpVersions(20);
    fleet_.putManifest(2, {"key-1", "key-2"});
    ASSERT_TRUE(waitForStatus(StatusOk, "key-2"));
    restoreAndCatchUp([this] { fleet_.putManifest(3, {"key-1"}); });
    EXPECT_TRUE(waitForStatus(StatusUnauthorized, "key-2"));
    EXPECT_TRUE(waitForStatus(StatusOk, "key-1"));
}

} // namespace
