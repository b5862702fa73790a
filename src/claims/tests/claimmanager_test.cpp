#include "claims/claimmanager.h"
#include "peers/localtransport.h"
#include "table/memorytable.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::claims;

namespace {

/// Two entry VMs that share one table.
class ClaimManagerTest : public ::testing::Test
{
protected:
    ClaimManagerTest()
    {
        first = createManager("entry-1");
        second = createManager("entry-2");
    }

    std::shared_ptr<ClaimManager> createManager(const std::string &instance)
    {
        transports.push_back(peers::LocalTransport::create(*loop, network, instance));
        auto members = membership::Members::create(instance);
        std::vector<membership::Vm> list(2);
        list[0].instance = "entry-1";
        list[1].instance = "entry-2";
        members->applyList(list);
        return ClaimManager::create({loop.get(), table, transports.back(), members, {instance, "boot-" + instance}});
    }

    std::shared_ptr<BeginResult> begin(ClaimManager &at)
    {
        auto result = std::make_shared<BeginResult>();
        result->outcome = BeginOutcome::StillRunning;
        at.begin({"shop", "key", "hash"}, [result](BeginResult given) { *result = std::move(given); });
        run();
        return result;
    }

    void run(Duration time = Duration(0))
    {
        const Duration tick = std::chrono::milliseconds(100);
        for (Duration passed{0}; passed <= time; passed += tick) {
            for (int i = 0; i < 10; i++) {
                loop->runDue();
            }
            clock.advance(passed < time ? tick : Duration(0));
        }
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create(clock).value());
    std::shared_ptr<peers::LocalNetwork> network = std::make_shared<peers::LocalNetwork>();
    std::shared_ptr<table::MemoryTable> table = table::MemoryTable::create(*loop, std::make_shared<table::MemoryRows>());
    std::vector<std::shared_ptr<peers::LocalTransport>> transports;
    std::shared_ptr<ClaimManager> first;
    std::shared_ptr<ClaimManager> second;
};

} // namespace

TEST_F(ClaimManagerTest, RepeatedRequestClaimsKeyReleasedAfterALongWait)
{
    const auto holder = begin(*first);
    ASSERT_EQ(holder->outcome, BeginOutcome::Run);
    const auto repeat = begin(*second);
    run(std::chrono::seconds(5));
    EXPECT_EQ(repeat->outcome, BeginOutcome::StillRunning);
    EXPECT_FALSE(first->mayDispatch(holder->claim));
    first->finish(holder->claim, Outcome::NotRun, {});
    run(std::chrono::milliseconds(100));
    EXPECT_EQ(repeat->outcome, BeginOutcome::Run);
    EXPECT_TRUE(second->mayDispatch(repeat->claim));
}

TEST_F(ClaimManagerTest, WaitingRequestReadsTheTableOnce)
{
    begin(*first);
    const auto repeat = begin(*second);
    run(std::chrono::seconds(12));
    EXPECT_EQ(repeat->outcome, BeginOutcome::StillRunning);
    EXPECT_EQ(table->counters().reads, 1U);
    EXPECT_LE(transports[1]->counters().callsSent, 11U);
}

TEST_F(ClaimManagerTest, LargeResponseIsStoredWithoutItsBody)
{
    const auto holder = begin(*first);
    first->finish(holder->claim, Outcome::Answered, {200, "text/plain", std::string(300 * 1024, 'x')});
    run();
    const auto repeat = begin(*second);
    EXPECT_EQ(repeat->outcome, BeginOutcome::Replay);
    EXPECT_EQ(repeat->response.status, 200);
    EXPECT_FALSE(repeat->response.hasBody);
}

TEST_F(ClaimManagerTest, TableOutageGivesNotRunAndClaimIsDeletedLater)
{
    table->faults.loseAnswers = true;
    const auto holder = begin(*first);
    run(std::chrono::seconds(1));
    EXPECT_EQ(holder->outcome, BeginOutcome::NotRun);
    EXPECT_FALSE(holder->keyLookedUp);
    EXPECT_EQ(first->unsettledCount(), 1U);
    table->faults.loseAnswers = false;
    run(std::chrono::seconds(6));
    EXPECT_EQ(first->unsettledCount(), 0U);
    EXPECT_EQ(begin(*second)->outcome, BeginOutcome::Run);
}
