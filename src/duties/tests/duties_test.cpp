#include "duties/tests/dutiestest.h"
#include "presence/statusformat.h"

namespace cardamomlift::duties {

namespace {

TEST_F(DutiesTest, ExactlyOneVmHoldsTheLease)
{
    const Vm one = start("1");
    const Vm two = start("2");
    const Vm three = start("3");
    pass(seconds(20), [&] { EXPECT_LE(one.lease->isHeld() + two.lease->isHeld() + three.lease->isHeld(), 1); });
    EXPECT_EQ(one.lease->isHeld() + two.lease->isHeld() + three.lease->isHeld(), 1);
}

// Guards against VMs that start together and each try the lease, as none has yet heard one that has run longer.
TEST_F(DutiesTest, NoVmTriesTheLeaseBeforeItCanHaveHeardItsPeers)
{
    const Vm one = start("1");
    const Vm two = start("2");
    pass(milliseconds(700));
    EXPECT_TRUE(rows_->read("duties", {}, 1).rows.empty());
    pass(milliseconds(700));
    EXPECT_TRUE(one.lease->isHeld() || two.lease->isHeld());
}

TEST_F(DutiesTest, AHolderThatIsCutOffStopsBeforeAnotherActs)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->isHeld());
    const Vm two = start("2");
    pass(seconds(2));
    EXPECT_FALSE(two.lease->isHeld());
    one.store->faults.silent = true;
    TimePoint stopped;
    TimePoint taken;
    pass(seconds(15), [&] {
        EXPECT_FALSE(one.lease->isHeld() && two.lease->isHeld());
        stopped = one.lease->isHeld() ? loop_->now() : stopped;
        taken = two.lease->isHeld() && taken == TimePoint() ? loop_->now() : taken;
    });
    EXPECT_TRUE(two.lease->isHeld());
    EXPECT_GT(taken, stopped);
    EXPECT_GT(two.lease->fence(), one.lease->fence());
}

// The holder can no longer reach the store, but its peers still hear it: they must not wait for it to renew the lease.
TEST_F(DutiesTest, AVmThatTheStoreRefusesDoesNotBlockATakeover)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->isHeld());
    const Vm two = start("2");
    one.datagrams->connected = {two.datagrams.get()};
    two.datagrams->connected = {one.datagrams.get()};
    pass(seconds(2));
    one.store->faults.down = true;
    pass(Lease * 3, [&] { EXPECT_FALSE(one.lease->isHeld() && two.lease->isHeld()); });
    EXPECT_TRUE(two.lease->isHeld());
    one.store->faults.down = false;
    pass(seconds(5), [&] { EXPECT_FALSE(one.lease->isHeld() && two.lease->isHeld()); });
    EXPECT_TRUE(two.lease->isHeld()) << "the new holder keeps the lease";
}

TEST_F(DutiesTest, AHolderThatStartsAgainTakesItsLeaseAtOnce)
{
    Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->isHeld());
    const std::uint64_t fence = one.lease->fence();
    one = Vm();
    const Vm again = start("1");
    pass(seconds(2));
    EXPECT_TRUE(again.lease->isHeld()) << "nobody else can hold the lease yet, and the earlier process of this VM has ended";
    EXPECT_GT(again.lease->fence(), fence);
}

// The holder is killed and restarts. The VM that kept running takes the lease, as it has received the usage counts of both.
TEST_F(DutiesTest, TheVmThatRanLongestTakesTheLeaseOver)
{
    Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    const auto connect = [](const Vm &a, const Vm &b) {
        a.datagrams->connected = {b.datagrams.get()};
        b.datagrams->connected = {a.datagrams.get()};
    };
    connect(one, two);
    pass(seconds(5));
    ASSERT_TRUE(one.lease->isHeld());
    two.datagrams->connected.clear();
    one = Vm();
    one = start("1");
    connect(one, two);
    pass(seconds(6), [&] { EXPECT_FALSE(one.lease->isHeld()); });
    EXPECT_TRUE(two.lease->isHeld());
}

TEST_F(DutiesTest, AHolderThatWasSuspendedSeesThatItsLeaseExpired)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->isHeld());
    clock_.advance(Lease);
    EXPECT_FALSE(one.lease->isHeld()) << "no timer has run since";
}

TEST_F(DutiesTest, LostAnswersOfRenewalsDoNotMakeTwoHolders)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    one.store->faults.loseAnswers = true;
    pass(seconds(8), [&] { EXPECT_FALSE(one.lease->isHeld() && two.lease->isHeld()); });
    one.store->faults.loseAnswers = false;
    pass(seconds(8), [&] { EXPECT_FALSE(one.lease->isHeld() && two.lease->isHeld()); });
    EXPECT_EQ(one.lease->isHeld() + two.lease->isHeld(), 1);
}

TEST_F(DutiesTest, AReleasedLeaseIsTakenWithoutWaiting)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(1));
    one.lease->release();
    pass(seconds(4));
    EXPECT_FALSE(one.lease->isHeld());
    EXPECT_TRUE(two.lease->isHeld());
}

TEST_F(DutiesTest, ALeaseThatCouldNotBeReleasedInAnOutageIsReleasedAfterIt)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(2));
    ASSERT_TRUE(one.lease->isHeld());
    one.store->faults.down = true;
    two.store->faults.down = true;
    one.lease->release();
    pass(seconds(2));
    EXPECT_FALSE(one.lease->isHeld());
    one.store->faults.down = false;
    two.store->faults.down = false;
    pass(seconds(1));
    EXPECT_TRUE(two.lease->isHeld());
    EXPECT_FALSE(one.lease->isHeld());
}

TEST_F(DutiesTest, AVmThatReleasedTheLeaseDoesNotAdvertiseIt)
{
    const Vm one = start("1");
    pass(seconds(1));
    const Vm two = start("2");
    pass(seconds(1));
    ASSERT_TRUE(presence::decodeStatus(one.datagrams->last)->status.holdsLease);
    one.store->faults.down = true;
    one.lease->release();
    pass(seconds(1));
    EXPECT_FALSE(presence::decodeStatus(one.datagrams->last)->status.holdsLease);
}

TEST_F(DutiesTest, EachWindowIsReportedWithOneCountOnly)
{
    Vm one = start("1");
    startReports(one);
    for (int i = 0; i < 200; i++) {
        one.usage->noteStarted("customer");
        pass(milliseconds(100));
    }
    pass(seconds(10));
    EXPECT_GE(record_.reports.size(), 4U);
    for (const auto &[window, reports] : record_.reports) {
        EXPECT_EQ(reports.size(), 1U) << window;
    }
}

TEST_F(DutiesTest, AReportWhoseAnswerWasLostIsRepeatedUnchangedAlsoByTheNextHolder)
{
    Vm one = start("1");
    startReports(one);
    for (int i = 0; i < 80; i++) {
        one.usage->noteStarted("customer");
        pass(milliseconds(100));
    }
    record_.losesAnswers = true;
    pass(seconds(6));
    one.store->faults.silent = true;
    Vm two = start("2");
    startReports(two);
    pass(seconds(12));
    record_.losesAnswers = false;
    pass(seconds(10));
    EXPECT_GT(two.lease->fence(), 1U);
    for (const auto &[window, reports] : record_.reports) {
        for (const UsageReport &report : reports) {
            EXPECT_EQ(report.counts, reports.front().counts) << window;
        }
    }
    EXPECT_TRUE(std::is_sorted(record_.fences.begin(), record_.fences.end()));
}

TEST_F(DutiesTest, ANewHolderRepeatsOnlyReportsThatMayNotHaveArrived)
{
    Vm one = start("1");
    startReports(one);
    pass(seconds(25));
    ASSERT_GE(record_.reports.size(), 3U);
    const auto reportedBefore = record_.reports;
    one.lease->release();
    Vm two = start("2");
    startReports(two);
    pass(seconds(3));
    EXPECT_TRUE(two.lease->isHeld());
    for (const auto &[window, reports] : reportedBefore) {
        EXPECT_EQ(record_.reports[window].size(), reports.size()) << window;
    }
}

// The load: 88 VMs in groups, whose leader is lost under traffic: VMs of other groups have told their counts to the leader before only.
TEST_F(DutiesTest, ANewHolderWaitsForTheCountsOfVmsThatDidNotKnowIt)
{
    Vm one = start("1");
    startReports(one, true);
    pass(seconds(1));
    Vm two = start("2");
    startReports(two, true);
    while (record_.reports.size() < 3) {
        pass(milliseconds(100));
    }
    // The next window is due every five seconds.
    pass(milliseconds(4500));
    one.lease->release();
    std::optional<TimePoint> takenAt;
    std::optional<TimePoint> reportedAt;
    pass(seconds(14), [&] {
        if (two.lease->isHeld()) {
            takenAt = takenAt.value_or(loop_->now());
        }
        if (record_.reports.size() > 3) {
            reportedAt = reportedAt.value_or(loop_->now());
        }
    });
    ASSERT_TRUE(takenAt && reportedAt);
    EXPECT_GE(*reportedAt - *takenAt, seconds(3));
    EXPECT_LE(*reportedAt - *takenAt, seconds(6)) << "a window is due ten seconds after its end";
}

TEST_F(DutiesTest, WindowsThatWaitedOutAnOutageAreReportedTogether)
{
    Vm one = start("1");
    startReports(one);
    pass(seconds(12));
    record_.losesAnswers = true;
    pass(seconds(16));
    record_.losesAnswers = false;
    const std::size_t before = record_.reports.size();
    pass(milliseconds(1600));
    EXPECT_GE(record_.reports.size(), before + 2);
}

TEST_F(DutiesTest, AReporterWaitsWhileTheLeaseIsBeingWritten)
{
    Vm one = start("1");
    startReports(one);
    // Guards against a report that comes due while a renewal is unanswered: the reporter used to retry the refused write
    // recursively until the stack overflowed.
    for (int i = 0; i < 40; i++) {
        one.store->faults.loseAnswers = true;
        pass(milliseconds(1700));
        one.store->faults.loseAnswers = false;
        pass(milliseconds(800));
    }
    EXPECT_FALSE(record_.reports.empty());
}

TEST(LeaseRow, KeepsAllFieldsWhenEncodedAndDecoded)
{
    LeaseRow row;
    row.holder = "vm";
    row.incarnation = 0xffff'ffff'ffff'ffffULL;
    row.fence = 3;
    row.era = 4;
    row.lacksReports = true;
    row.reportedWindow = 7;
    row.arrivedWindow = 6;
    row.reports = {{7, {{"customer", 12}}}};
    LeaseRow read;
    ASSERT_TRUE(decodeLease(encodeLease(row), read));
    EXPECT_EQ(read.incarnation, row.incarnation);
    EXPECT_EQ(read.era, 4U);
    EXPECT_TRUE(read.lacksReports);
    EXPECT_EQ(read.arrivedWindow, 6);
    EXPECT_EQ(read.reports[0].counts["customer"], 12U);
    EXPECT_FALSE(decodeLease("{}", read));
    EXPECT_FALSE(decodeLease("nonsense", read));
}

} // namespace

} // namespace cardamomlift::duties
