#include "claims/writebatcher.h"
#include "table/memorytable.h"

#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::claims;
using table::WriteOutcome;

namespace {

class WriteBatcherTest : public ::testing::Test
{
protected:
    void submit(const std::string &key, table::ConditionKind condition = table::ConditionKind::ItemAbsent, bool isWanted = true)
    {
        table::Write write;
        write.item.key = {key, "s"};
        write.condition.kind = condition;
        const std::size_t index = outcomes.size();
        outcomes.emplace_back();
        batcher->submit(
            write, [isWanted] { return isWanted; }, [this, index](const table::WriteResult &result) { outcomes[index] = result.outcome; });
    }

    void run()
    {
        for (int i = 0; i < 10; i++) {
            loop->runDue();
        }
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop = std::move(EventLoop::create(clock).value());
    std::shared_ptr<table::MemoryRows> rows = std::make_shared<table::MemoryRows>();
    std::shared_ptr<table::MemoryTable> table = table::MemoryTable::create(*loop, rows);
    std::shared_ptr<WriteBatcher> batcher = WriteBatcher::create(*loop, table);
    std::vector<std::optional<WriteOutcome>> outcomes;
};

} // namespace

TEST_F(WriteBatcherTest, BatchesWritesOfOneLoopIteration)
{
    for (int i = 0; i < 250; i++) {
        submit("key-" + std::to_string(i));
    }
    run();
    EXPECT_EQ(table->counters().writeRequests, 3U);
    EXPECT_EQ(rows->size(), 250U);
}

TEST_F(WriteBatcherTest, ReportsFailedWritesAndResendsTheOthers)
{
    submit("taken");
    run();
    submit("a");
    submit("taken");
    submit("b");
    run();
    EXPECT_EQ(outcomes[1], WriteOutcome::Written);
    EXPECT_EQ(outcomes[2], WriteOutcome::ConditionFailed);
    EXPECT_EQ(outcomes[3], WriteOutcome::Written);
}

TEST_F(WriteBatcherTest, KeepsTheOrderOfOneKey)
{
    submit("key");
    submit("key");
    submit("other");
    run();
    EXPECT_EQ(outcomes[0], WriteOutcome::Written);
    EXPECT_EQ(outcomes[1], WriteOutcome::ConditionFailed);
    EXPECT_EQ(outcomes[2], WriteOutcome::Written);
}

TEST_F(WriteBatcherTest, SendsNoWriteThatIsNoLongerNeeded)
{
    submit("key", table::ConditionKind::ItemAbsent, false);
    run();
    EXPECT_EQ(outcomes[0], WriteOutcome::NotWritten);
    EXPECT_EQ(table->counters().writeRequests, 0U);
}

TEST_F(WriteBatcherTest, LostAnswerIsUnknownForAll)
{
    table->faults.loseAnswers = true;
    submit("a");
    submit("b");
    run();
    EXPECT_EQ(outcomes[0], WriteOutcome::Unknown);
    EXPECT_EQ(outcomes[1], WriteOutcome::Unknown);
}
