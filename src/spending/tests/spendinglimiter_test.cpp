#include "peers/localtransport.h"
#include "spending/spendinglimiter.h"
#include "spending/spendingrules.h"
#include "table/memorytable.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::spending;

namespace {

constexpr Micros MicrosPerCent = 10000;

std::string contractText(std::int64_t perDayCents)
{
    return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [{{"name": "quick", "priority": "urgent", "firstTokenMs": 500}}],
        "models": [{{"model": "m", "class": "quick", "maxOutputTokens": 100}}],
        "limits": {{"requestsPerSecond": 10, "openRequests": 20, "tokensPerMinute": 30000}},
        "spending": {{"perDayCents": {}, "centsPerMillionTokens": 100, "centsPerThousandCalls": 1}}}})",
        perDayCents);
}

/// The parts of an entry VM that a SpendingLimiter needs.
struct TestVm {
    std::shared_ptr<table::MemoryTable> table;
    std::shared_ptr<contract::ContractSet> contracts = contract::ContractSet::create();
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<SpendingLimiter> limiter;
    std::vector<Reservation> reserved;
    Micros spent = 0;
    std::map<ReserveOutcome, int> outcomes;
};

class SpendingLimiterTest : public testing::Test
{
protected:
    void start(int vms, std::int64_t perDayCents)
    {
        std::vector<membership::Vm> list;
        list.reserve(static_cast<std::size_t>(vms));
        for (int i = 0; i < vms; i++) {
            list.push_back({fmt::format("entry-{}", i), "127.0.0.1", 1, 1, "zone-1"});
        }
        for (const membership::Vm &vm : list) {
            auto &entry = vms_.emplace_back(std::make_unique<TestVm>());
            entry->table = table::MemoryTable::create(*loop_, rows_);
            entry->members = membership::Members::create(vm.instance);
            entry->members->applyList(list);
            entry->transport = peers::LocalTransport::create(*loop_, network_, vm.instance);
            entry->limiter = SpendingLimiter::create({loop_.get(), vm.instance, entry->table, entry->contracts, entry->members, entry->transport, nullptr});
        }
        putInForce(1, perDayCents);
    }

    void putInForce(std::uint64_t version, std::int64_t perDayCents)
    {
        for (const auto &vm : vms_) {
            vm->contracts->applyIfNewer({"shop", version, version, contractText(perDayCents), "tester", fmt::format("edit-{}", version), 0});
        }
    }

    void advance(Duration time)
    {
        constexpr Duration Step = std::chrono::milliseconds(10);
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            loop_->runDue();
        }
    }

    void reserve(std::size_t index, Micros micros)
    {
        TestVm &vm = *vms_[index];
        vm.limiter->reserve(*vm.contracts->find("shop"), micros, [&vm](const ReserveResult &result) {
            vm.outcomes[result.outcome]++;
            if (result.outcome == ReserveOutcome::Reserved) {
                vm.reserved.push_back(result.reservation);
            }
        });
    }

    /// Ends the oldest reservation of a VM, having spent @p percent of it.
    void settle(std::size_t index, Micros percent)
    {
        TestVm &vm = *vms_[index];
        if (vm.reserved.empty()) {
            return;
        }
        const Reservation reservation = vm.reserved.front();
        vm.reserved.erase(vm.reserved.begin());
        vm.spent += reservation.micros * percent / 100;
        vm.limiter->settle(reservation, reservation.micros * percent / 100);
    }

    /// What was spent and what running requests may still spend.
    Micros committed() const
    {
        Micros sum = 0;
        for (const auto &vm : vms_) {
            sum += vm->spent;
            for (const Reservation &reservation : vm->reserved) {
                sum += reservation.micros;
            }
        }
        return sum;
    }

    AllotmentItem stored()
    {
        const auto item = rows_->get(itemKey({"shop", dayOf(clock_.wallNow())}));
        return item ? fromTableItem(*item).value_or(AllotmentItem()) : AllotmentItem();
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<table::MemoryRows> rows_ = std::make_shared<table::MemoryRows>();
    std::shared_ptr<peers::LocalNetwork> network_ = std::make_shared<peers::LocalNetwork>();
    std::vector<std::unique_ptr<TestVm>> vms_;
};

constexpr Duration ShortTime = std::chrono::milliseconds(100);

} // namespace

TEST_F(SpendingLimiterTest, OneVmMaySpendTheWholeBound)
{
    start(3, 10);
    const Micros piece = 10 * MicrosPerCent / 100;
    for (int i = 0; i < 101; i++) {
        reserve(0, piece);
        advance(ShortTime);
        settle(0, 100);
    }
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::Reserved], 100);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::BoundReached], 1);
    EXPECT_EQ(committed(), 10 * MicrosPerCent);
}

TEST_F(SpendingLimiterTest, MoneyHeldByOtherVmsIsReturnedOnRequest)
{
    start(3, 10);
    const Micros piece = 10 * MicrosPerCent / 10;
    for (std::size_t i = 0; i < 3; i++) {
        reserve(i, piece * 2);
    }
    advance(ShortTime);
    settle(0, 0);
    settle(1, 0);
    settle(2, 0);
    // Now three VMs hold two tenths each, unspent; entry-2 needs all of it.
    for (int i = 0; i < 10; i++) {
        reserve(2, piece);
        advance(ShortTime);
    }
    EXPECT_EQ(vms_[2]->outcomes[ReserveOutcome::Reserved], 11);
    EXPECT_EQ(committed(), 10 * MicrosPerCent);
}

TEST_F(SpendingLimiterTest, MoneyOfACrashedVmIsLostAndNeverSpentTwice)
{
    start(2, 10);
    reserve(0, 4 * MicrosPerCent);
    advance(ShortTime);
    network_->blockedLinks = {{"entry-0", "entry-1"}, {"entry-1", "entry-0"}};
    reserve(1, 7 * MicrosPerCent);
    advance(std::chrono::seconds(2));
    EXPECT_EQ(vms_[1]->outcomes[ReserveOutcome::BoundReached], 1);
    reserve(1, 6 * MicrosPerCent);
    advance(ShortTime);
    EXPECT_EQ(vms_[1]->outcomes[ReserveOutcome::Reserved], 1);
}

TEST_F(SpendingLimiterTest, TableDownIsReportedOnlyAfterHeldMoneyIsReserved)
{
    start(1, 1000);
    reserve(0, 1000);
    advance(ShortTime);
    const Micros held = vms_[0]->limiter->view({"shop", dayOf(clock_.wallNow())}).held;
    ASSERT_GT(held, 0);
    vms_[0]->table->faults.down = true;
    reserve(0, held);
    reserve(0, 1000);
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::Reserved], 2);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::TableDown], 1);
    vms_[0]->table->faults.down = false;
    advance(std::chrono::seconds(1));
    reserve(0, 1000);
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::Reserved], 3);
}

TEST_F(SpendingLimiterTest, LoweredBoundAppliesToUnreservedMoney)
{
    start(2, 100);
    reserve(0, 40 * MicrosPerCent);
    advance(ShortTime);
    settle(0, 0);
    reserve(0, 10 * MicrosPerCent);
    putInForce(2, 20);
    // The ten cents are reserved and stay so; of the thirty cents that are held only ten may be reserved.
    reserve(0, 15 * MicrosPerCent);
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::BoundReached], 1);
    reserve(1, 10 * MicrosPerCent);
    advance(ShortTime);
    EXPECT_EQ(vms_[1]->outcomes[ReserveOutcome::Reserved], 1);
    EXPECT_EQ(committed(), 20 * MicrosPerCent);
}

TEST_F(SpendingLimiterTest, DrainedAndIdleVmsReturnAllMoney)
{
    start(2, 100);
    reserve(0, MicrosPerCent);
    reserve(1, MicrosPerCent);
    advance(ShortTime);
    settle(0, 50);
    vms_[0]->limiter->drain();
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->limiter->pendingReturns(), 0U);
    settle(1, 100);
    advance(std::chrono::seconds(150));
    EXPECT_EQ(stored().allotted, MicrosPerCent * 3 / 2);
    EXPECT_FALSE(stored().holders["entry-0"].mayHold);
}

TEST_F(SpendingLimiterTest, UnspentMoneyExpiresWithTheDay)
{
    start(1, 10);
    reserve(0, 6 * MicrosPerCent);
    advance(ShortTime);
    clock_.advance(std::chrono::hours(24));
    reserve(0, 10 * MicrosPerCent);
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::Reserved], 2);
    settle(0, 50);
    reserve(0, MicrosPerCent);
    advance(ShortTime);
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::BoundReached], 1) << "yesterday's rest must not be spent today";
}

TEST_F(SpendingLimiterTest, TableWritesAreRare)
{
    start(2, 100000);
    const std::uint64_t requests = 6000;
    for (std::uint64_t i = 0; i < requests; i++) {
        reserve(i % 2, 1000);
        advance(std::chrono::milliseconds(10));
        settle(i % 2, 60);
    }
    std::uint64_t writes = 0;
    for (const auto &vm : vms_) {
        EXPECT_EQ(vm->outcomes[ReserveOutcome::Reserved], static_cast<int>(requests / 2));
        writes += vm->table->counters().writeRequests;
    }
    RecordProperty("writes", static_cast<int>(writes));
    EXPECT_LE(writes, 12U) << "for " << requests << " requests in a minute";
}

TEST_F(SpendingLimiterTest, HeldMoneyBridgesATableOutage)
{
    start(1, 100000);
    const auto oneSecond = [this] {
        reserve(0, 1000);
        advance(std::chrono::seconds(1));
        settle(0, 100);
    };
    for (int i = 0; i < 60; i++) {
        oneSecond();
    }
    vms_[0]->table->faults.down = true;
    for (int i = 0; i < 900; i++) {
        oneSecond();
    }
    EXPECT_EQ(vms_[0]->outcomes[ReserveOutcome::TableDown], 0) << "a quarter of an hour";
}
