#include "duties/tests/dutiestest.h"
#include "http/tests/spoiltjson.h"

#include <algorithm>
#include <random>

namespace cardamomlift::duties {

namespace {

/// Tests the lease and the usage reports when the store is restored from an older copy.
class RestoredLeaseTest : public DutiesTest
{
protected:
    /// Advances the clock and checks that one VM at a time holds the lease, and that each holder's fence is unique and no lower
    /// than those before.
    void passCheckingHolders(Duration time, const std::vector<const Vm *> &vms)
    {
        pass(time, [&] {
            int acting = 0;
            for (const Vm *vm : vms) {
                if (!vm->lease->isHeld()) {
                    continue;
                }
                acting++;
                const std::uint64_t fence = vm->lease->fence();
                EXPECT_GE(fence, latestFence_);
                latestFence_ = std::max(latestFence_, fence);
                EXPECT_EQ(holders_.try_emplace(fence, vm).first->second, vm) << "two holders of fence " << fence;
            }
            EXPECT_LE(acting, 1);
        });
    }

    /// Advances the clock while requests of a customer start at @p vm.
    void passWithUsage(Duration time, const Vm &vm)
    {
        for (Duration passed(0); passed < time; passed += milliseconds(100)) {
            vm.usage->noteStarted("customer");
            pass(milliseconds(100));
        }
    }

    void expectOneCountForEachWindow() const
    {
        for (const auto &[window, reports] : record_.reports) {
            for (const UsageReport &report : reports) {
                EXPECT_EQ(report.counts, reports.front().counts) << window;
            }
        }
    }

    std::map<std::uint64_t, const Vm *> holders_; ///< By fence.
    std::uint64_t latestFence_ = 0;
};

// The VM that the copy names as holder must not act beside the one that has taken the lease since.
TEST_F(RestoredLeaseTest, TheHolderThatTheCopyNamesDoesNotActBesideTheCurrentOne)
{
    const Vm one = start("1");
    pass(seconds(1));
    ASSERT_TRUE(one.lease->isHeld());
    const Vm two = start("2");
    const rows::MemoryRows copy = *rows_;
    one.store->faults.silent = true;
    passCheckingHolders(seconds(6), {&one, &two});
    ASSERT_TRUE(two.lease->isHeld());
    one.store->faults.silent = false;
    rows_->restore(copy);
    passCheckingHolders(seconds(10), {&one, &two});
    EXPECT_EQ(one.lease->isHeld() + two.lease->isHeld(), 1);
}

// A lease that is released in the copy may have been taken since by a VM that still holds it.
TEST_F(RestoredLeaseTest, ALeaseThatIsFreeInTheCopyIsNotTakenFromItsHolder)
{
    const Vm one = start("1");
    const Vm two = start("2");
    pass(seconds(1));
    const Vm three = start("3");
    pass(seconds(1));
    (one.lease->isHeld() ? one : two).lease->release();
    pass(milliseconds(30));
    const rows::MemoryRows copy = *rows_;
    passCheckingHolders(seconds(4), {&one, &two, &three});
    ASSERT_EQ(one.lease->isHeld() + two.lease->isHeld() + three.lease->isHeld(), 1);
    const Vm &holder = three.lease->isHeld() ? three : one.lease->isHeld() ? one : two;
    holder.store->faults.silent = true;
    rows_->restore(copy);
    passCheckingHolders(seconds(8), {&one, &two, &three});
    EXPECT_EQ(one.lease->isHeld() + two.lease->isHeld() + three.lease->isHeld(), 1);
}

// Reports that the copy lacks were sent: the next holder must not report their windows again with counts of its own.
TEST_F(RestoredLeaseTest, ANewHolderDoesNotReportWindowsThatWereReportedAfterTheCopy)
{
    Vm one = start("1");
    startReports(one);
    passWithUsage(seconds(7), one);
    const rows::MemoryRows copy = *rows_;
    Vm two = start("2");
    startReports(two);
    passWithUsage(seconds(8), one);
    const std::size_t before = record_.reports.size();
    ASSERT_GE(before, 2U);
    one = Vm();
    rows_->restore(copy);
    passWithUsage(seconds(20), two);
    expectOneCountForEachWindow();
    EXPECT_GE(record_.reports.size(), before + 2) << "later windows are reported";
}

// The holder knows its reports from memory, which is newer than the copy.
TEST_F(RestoredLeaseTest, TheHolderKeepsItsRecordOfReportsOverARestore)
{
    Vm one = start("1");
    startReports(one);
    const Vm two = start("2");
    passWithUsage(seconds(7), one);
    ASSERT_TRUE(one.lease->isHeld());
    const rows::MemoryRows copy = *rows_;
    passWithUsage(seconds(8), one);
    const std::uint64_t fence = one.lease->fence();
    const auto reportedBefore = record_.reports;
    rows_->restore(copy);
    passCheckingHolders(seconds(2), {&one, &two});
    EXPECT_TRUE(one.lease->isHeld());
    EXPECT_EQ(one.lease->fence(), fence);
    passWithUsage(seconds(10), one);
    for (const auto &[window, reports] : reportedBefore) {
        EXPECT_EQ(record_.reports[window].size(), reports.size()) << window;
    }
    expectOneCountForEachWindow();
    EXPECT_GT(record_.reports.size(), reportedBefore.size());
}

/// Restores the store while VMs restart or are cut off from it, at random by seed.
class RestoredLeaseSeeds : public RestoredLeaseTest, public testing::WithParamInterface<unsigned>
{
protected:
    Duration draw(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
    }

    Vm &drawVm()
    {
        return *vms_[random_() % vms_.size()];
    }

    void startVm(std::size_t index)
    {
        *vms_[index] = Vm();
        *vms_[index] = start(std::to_string(index));
        startReports(*vms_[index]);
    }

    void passWithRandomUsage(Duration time)
    {
        std::vector<const Vm *> vms;
        for (const auto &vm : vms_) {
            vms.push_back(vm.get());
        }
        for (Duration passed(0); passed < time; passed += milliseconds(200)) {
            drawVm().usage->noteStarted("customer");
            passCheckingHolders(milliseconds(200), vms);
        }
    }

    /// In most cases the holder of the lease, otherwise any VM.
    std::size_t drawFaultyVm()
    {
        const auto holder = std::find_if(vms_.begin(), vms_.end(), [](const auto &vm) { return vm->lease->isHeld(); });
        const bool isOther = holder == vms_.end() || random_() % 4 == 0;
        return isOther ? random_() % vms_.size() : static_cast<std::size_t>(holder - vms_.begin());
    }

    void injectFault()
    {
        const std::size_t index = drawFaultyVm();
        switch (random_() % 3) {
        case 0:
            startVm(index);
            break;
        case 1:
            vms_[index]->store->faults.silent = true;
            break;
        default:
            vms_[index]->store->faults.loseAnswers = true;
            break;
        }
    }

    void clearFaults()
    {
        for (const auto &vm : vms_) {
            vm->store->faults = {};
        }
    }

    std::vector<std::unique_ptr<Vm>> vms_;

private:
    std::mt19937 random_{GetParam()};
};

// Whatever the copy lacks, one VM at a time holds the lease, under fences of its own, and no window is reported with two
// different counts.
TEST_P(RestoredLeaseSeeds, OneHolderAtATimeAndOneCountForEachWindow)
{
    constexpr int Restores = 10;
    for (std::size_t i = 0; i < 3; i++) {
        vms_.push_back(std::make_unique<Vm>());
        startVm(i);
    }
    passWithRandomUsage(seconds(6));
    for (int i = 0; i < Restores; i++) {
        const rows::MemoryRows copy = *rows_;
        injectFault();
        passWithRandomUsage(draw(milliseconds(200), seconds(10)));
        if (i % 2 == 0) {
            clearFaults();
        }
        rows_->restore(copy);
        passWithRandomUsage(draw(milliseconds(200), seconds(3)));
        clearFaults();
        passWithRandomUsage(draw(seconds(1), seconds(8)));
    }
    passWithRandomUsage(seconds(12));
    expectOneCountForEachWindow();
    const auto acting = std::count_if(vms_.begin(), vms_.end(), [](const auto &vm) { return vm->lease->isHeld(); });
    EXPECT_EQ(acting, 1);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RestoredLeaseSeeds, testing::Range(1U, 31U));

// Guards against a value of an unexpected type in the row of the lease that ends the process.
TEST(LeaseRow, OddValuesAreSurvived)
{
    LeaseRow row;
    row.holder = "front-1";
    row.reports.push_back({7, {{"customer", 3}}});
    const std::string text = encodeLease(row);
    LeaseRow read;
    ASSERT_TRUE(decodeLease(text, read));
    EXPECT_EQ(read.reports[0].counts.at("customer"), 3U);
    http::forEachSpoiltText(text, [&read](const std::string &spoilt) { decodeLease(spoilt, read); });
}

} // namespace

} // namespace cardamomlift::duties
