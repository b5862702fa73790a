#include "rows/memoryrowstore.h"
#include "rows/rowwatch.h"

#include <gtest/gtest.h>

namespace cardamomlift::rows {

namespace {

using std::chrono::milliseconds;

/// Watches table "t" on a manual clock.
class RowWatchTest : public testing::Test
{
protected:
    RowWatchTest()
    {
        loop_ = std::move(EventLoop::create(clock_).value());
        store_ = MemoryRowStore::create(*loop_, rows_);
        log_ = eventlog::EventLog::create(clock_, "test", [](std::string_view) { return true; });
    }

    void start()
    {
        WatchHandlers handlers;
        handlers.onSnapshot = [this](const TableSnapshot &snapshot) {
            snapshots_++;
            known_.clear();
            apply(snapshot.rows);
        };
        handlers.onChanges = [this](const std::vector<Row> &rows) {
            apply(rows);
        };
        handlers.onConfirmed = [this](TimePoint sentAt) {
            confirmedAt_ = sentAt;
        };
        handlers.onReachabilityChanged = [this](bool reachable, StoreFailure) {
            reachable_ = reachable;
        };
        watch_ = RowWatch::start({loop_.get(), store_, log_}, "t", milliseconds(1500), std::move(handlers));
    }

    void apply(const std::vector<Row> &rows)
    {
        for (const Row &row : rows) {
            if (row.isDeleted) {
                known_.erase(row.key);
            } else {
                known_[row.key] = row.value;
            }
        }
    }

    void put(const std::string &key, const std::string &value)
    {
        RowWrite write;
        write.table = "t";
        write.key = key;
        write.value = value;
        rows_->transact({write});
    }

    void pass(milliseconds time)
    {
        constexpr milliseconds Step(20);
        for (milliseconds passed(0); passed < time; passed += Step) {
            loop_->runDue();
            clock_.advance(Step);
        }
        loop_->runDue();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_;
    std::shared_ptr<MemoryRows> rows_ = std::make_shared<MemoryRows>();
    std::shared_ptr<MemoryRowStore> store_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<RowWatch> watch_;
    std::map<std::string, std::string> known_;
    std::optional<TimePoint> confirmedAt_;
    int snapshots_ = 0;
    bool reachable_ = true;
};

// A change every 40 ms for two seconds after a pause, as when servers are ordered and leave.
TEST_F(RowWatchTest, ManyChangesArriveInFewResponsesAndTheFirstAtOnce)
{
    start();
    pass(milliseconds(2000));
    const std::uint64_t before = store_->calls;
    put("key", "first");
    pass(milliseconds(60));
    EXPECT_EQ(known_["key"], "first");
    for (int i = 0; i < 50; i++) {
        put("key", std::to_string(i));
        pass(milliseconds(40));
    }
    pass(milliseconds(300));
    EXPECT_EQ(known_["key"], "49");
    EXPECT_LE(store_->calls - before, 12U);
}

TEST_F(RowWatchTest, DeliversASnapshotThenChanges)
{
    put("a", "1");
    start();
    pass(milliseconds(100));
    EXPECT_EQ(known_["a"], "1");
    put("b", "2");
    pass(milliseconds(100));
    EXPECT_EQ(known_["b"], "2");
    EXPECT_EQ(snapshots_, 1);
}

TEST_F(RowWatchTest, ReadsALongTableInPages)
{
    store_->pageSize = 3;
    for (int i = 0; i < 10; i++) {
        put("key" + std::to_string(i), "v");
    }
    start();
    pass(milliseconds(200));
    EXPECT_EQ(known_.size(), 10U);
}

TEST_F(RowWatchTest, ConfirmsTheTimeOfTheRequestNotOfTheResponse)
{
    start();
    pass(milliseconds(100));
    const TimePoint sentAt = *confirmedAt_;
    pass(milliseconds(1000));
    EXPECT_EQ(*confirmedAt_, sentAt) << "a pending long poll confirms nothing until it is answered";
    pass(milliseconds(600));
    EXPECT_EQ(*confirmedAt_, sentAt) << "the response came now, but its request is as old as the snapshot";
    pass(milliseconds(1500));
    EXPECT_GT(*confirmedAt_, sentAt);
    EXPECT_LE(*confirmedAt_, loop_->now() - milliseconds(1500));
}

// Guards against an outdated manifest being confirmed as the latest because a response held only the changes before the next
// one.
TEST_F(RowWatchTest, AResponseWithOnlyAPartOfTheChangesConfirmsNothing)
{
    start();
    pass(milliseconds(100));
    store_->pageSize = 10;
    store_->faults.down = true;
    pass(milliseconds(3000));
    for (int i = 0; i < 35; i++) {
        put("key-" + std::to_string(i), "1");
    }
    const TimePoint changedAt = loop_->now();
    store_->faults.down = false;
    bool isConsistent = true;
    for (int i = 0; i < 300; i++) {
        pass(milliseconds(1));
        isConsistent = isConsistent && (known_.size() == 35 || confirmedAt_ <= changedAt);
    }
    EXPECT_TRUE(isConsistent);
    pass(milliseconds(2000));
    EXPECT_EQ(known_.size(), 35U);
    EXPECT_GT(confirmedAt_, changedAt);
}

// Guards against a VM that keeps using an outdated row because a delta from another VM left its change out.
TEST_F(RowWatchTest, ReloadsWhenAnotherVmHasDifferentRowsAtTheSameVersion)
{
    put("a", "1");
    start();
    pass(milliseconds(100));
    const auto other = RowWatch::start({loop_.get(), MemoryRowStore::create(*loop_, rows_), log_},
        "t",
        milliseconds(1500),
        {[](const TableSnapshot &) {},
            [](const std::vector<Row> &) {},
            [](TimePoint) {},
            [](bool, StoreFailure) {
            }});
    pass(milliseconds(100));
    // From here on this watch gets changes from other VMs only.
    watch_->setPollCondition([] { return false; });
    pass(milliseconds(3000));
    put("a", "2");
    pass(milliseconds(1000));
    TableDelta delta = *other->delta();
    EXPECT_EQ(delta.changes.size(), 1U);
    delta.changes.clear();
    const auto before = confirmedAt_;
    watch_->applyDelta(delta, loop_->now());
    EXPECT_EQ(confirmedAt_, before);
    pass(milliseconds(200));
    EXPECT_EQ(known_["a"], "2");
    EXPECT_EQ(snapshots_, 2);
    watch_->applyDelta(*other->delta(), loop_->now());
    EXPECT_EQ(snapshots_, 2) << "both have the same rows";
    // If this watch is right and the other is wrong, the table is not reloaded over and over.
    delta = *other->delta();
    *delta.digest += 1;
    for (int i = 0; i < 10; i++) {
        watch_->applyDelta(delta, loop_->now());
        pass(milliseconds(100));
    }
    EXPECT_EQ(snapshots_, 2);
}

TEST_F(RowWatchTest, ReloadsWhenHistoryIsLost)
{
    put("a", "1");
    start();
    pass(milliseconds(100));
    RowWrite removal;
    removal.table = "t";
    removal.key = "a";
    removal.removes = true;
    rows_->transact({removal});
    rows_->compact();
    pass(milliseconds(300));
    EXPECT_EQ(snapshots_, 2);
    EXPECT_TRUE(known_.empty());
}

// The versions of the restored store pass the version known here before the next poll.
TEST_F(RowWatchTest, ChangesAreKnownAfterTheStoreWasRestoredAndItsVersionsCaughtUp)
{
    put("a", "1");
    put("b", "1");
    start();
    pass(milliseconds(100));
    const MemoryRows copy = *rows_;
    put("b", "lost");
    put("c", "lost");
    pass(milliseconds(100));
    store_->faults.down = true;
    pass(milliseconds(100));
    rows_->restore(copy);
    put("a", "2");
    put("c", "2");
    put("d", "2");
    store_->faults.down = false;
    pass(milliseconds(2000));
    const std::map<std::string, std::string> expected{{"a", "2"}, {"b", "1"}, {"c", "2"}, {"d", "2"}};
    EXPECT_EQ(known_, expected);
}

TEST_F(RowWatchTest, ReportsWhenTheStoreBecomesUnreachableAndReachable)
{
    start();
    pass(milliseconds(100));
    store_->faults.down = true;
    pass(milliseconds(2000));
    EXPECT_FALSE(reachable_);
    const TimePoint before = *confirmedAt_;
    store_->faults.down = false;
    // The first poll after an outage does not wait at the store, so that the knowledge here is confirmed at once.
    pass(milliseconds(900));
    EXPECT_TRUE(reachable_);
    EXPECT_GT(*confirmedAt_, before);
}

// Whether a revoked key may still be accepted depends on the age of what is known, so a delta with a gap must not reset it.
TEST_F(RowWatchTest, ADeltaWithAGapConfirmsNothingAndTriggersAPoll)
{
    put("a", "1");
    start();
    bool mayPoll = true;
    watch_->setPollCondition([&mayPoll] { return mayPoll; });
    pass(milliseconds(2000));
    mayPoll = false;
    pass(milliseconds(2000));
    const auto calls = store_->calls;
    const auto version = watch_->version();
    const auto confirmed = watch_->confirmedAt();
    TableDelta delta;
    delta.version = {version.era, version.number + 10};
    delta.since = delta.version;
    delta.changedAt = version.number;
    EXPECT_TRUE(watch_->hasGap(delta)) << "whatever the delta says of the last change";
    watch_->applyDelta(delta, loop_->now());
    EXPECT_EQ(watch_->version(), version);
    EXPECT_EQ(watch_->confirmedAt(), confirmed);
    pass(milliseconds(300));
    EXPECT_EQ(store_->calls, calls + 1);
}

TEST_F(RowWatchTest, RecoversAfterAStoreThatDidNotAnswer)
{
    start();
    pass(milliseconds(100));
    store_->faults.silent = true;
    pass(milliseconds(4000));
    EXPECT_FALSE(reachable_);
    store_->faults.silent = false;
    put("a", "1");
    pass(milliseconds(4000));
    EXPECT_EQ(known_["a"], "1");
}

TEST(MemoryRows, RefusesATransactionWhoseConditionFails)
{
    MemoryRows rows;
    RowWrite write;
    write.table = "t";
    write.key = "k";
    write.value = "1";
    write.isConditional = true;
    EXPECT_EQ(rows.transact({write}).outcome, WriteOutcome::Written);
    EXPECT_EQ(rows.transact({write}).outcome, WriteOutcome::Conflict);
}

} // namespace

} // namespace cardamomlift::rows
