#include "limits/grantrules.h"
#include "limits/limitkeeper.h"
#include "peers/localtransport.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::limits;

namespace {

constexpr int PerSecond = 100;
constexpr int Open = 20;
constexpr int TokensPerMinute = 60000;
constexpr Duration Step = std::chrono::milliseconds(10);

std::string contractText()
{
    return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [{{"name": "quick", "priority": "urgent", "firstTokenMs": 500}}],
        "models": [{{"model": "m", "class": "quick", "maxOutputTokens": 100}}],
        "limits": {{"requestsPerSecond": {}, "openRequests": {}, "tokensPerMinute": {}}},
        "spending": {{"perDayCents": 100, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1}}}})",
        PerSecond,
        Open,
        TokensPerMinute);
}

struct TestVm {
    std::string instance;
    std::shared_ptr<contract::ContractSet> contracts = contract::ContractSet::create();
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<LimitKeeper> keeper;
    int taken = 0;
    int open = 0;
    std::map<metrics::RefusalReason, int> refused;
    int allRefused = 0;
};

class FleetOfLimits : public testing::Test
{
protected:
    void start(std::size_t vms)
    {
        for (std::size_t i = 0; i < vms; i++) {
            list_.push_back({fmt::format("entry-{}", i), "127.0.0.1", 1, 1, "zone-1"});
        }
        for (const membership::Vm &vm : list_) {
            auto &entry = vms_.emplace_back(std::make_unique<TestVm>());
            entry->instance = vm.instance;
            entry->contracts->offer({"shop", 1, 1, contractText(), "tester", "edit", 0});
            entry->members = membership::Members::create(vm.instance);
            entry->members->applyList(list_);
            entry->transport = peers::LocalTransport::create(*loop_, network_, vm.instance);
            entry->keeper = LimitKeeper::create({loop_.get(), entry->contracts, entry->members, entry->transport, nullptr});
        }
        pass(std::chrono::seconds(3));
    }

    std::size_t grantorIndex() const
    {
        std::vector<std::string> names;
        for (const auto &vm : vms_) {
            names.push_back(vm->instance);
        }
        const std::string_view name = grantorOf("shop", names);
        return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
    }

    void pass(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            loop_->runDue();
            loop_->runDue();
        }
    }

    /// One request that ends at once, unless @p stays.
    void request(std::size_t index, std::int64_t tokens = 0, bool stays = false)
    {
        TestVm &vm = *vms_[index];
        vm.keeper->take(*vm.contracts->find("shop"), tokens, [&vm, stays](const TakeResult &result) {
            if (!result.taken) {
                vm.refused[result.reason]++;
                vm.allRefused++;
                return;
            }
            vm.taken++;
            vm.open++;
            if (!stays) {
                vm.open--;
                vm.keeper->release("shop", 0);
            }
        });
    }

    /// Sends @p perSecond requests a second to each of @p targets for @p time, evenly.
    void load(const std::vector<std::size_t> &targets, int perSecond, Duration time)
    {
        double due = 0;
        for (Duration passed{0}; passed < time; passed += Step) {
            for (due += perSecond * std::chrono::duration<double>(Step).count(); due >= 1; due--) {
                for (const std::size_t target : targets) {
                    request(target);
                }
            }
            pass(Step);
        }
    }

    void cut(std::size_t index)
    {
        for (const auto &vm : vms_) {
            network_->cuts.insert({vm->instance, vms_[index]->instance});
            network_->cuts.insert({vms_[index]->instance, vm->instance});
        }
    }

    int takenByAll() const
    {
        int sum = 0;
        for (const auto &vm : vms_) {
            sum += vm->taken;
        }
        return sum;
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<peers::LocalNetwork> network_ = std::make_shared<peers::LocalNetwork>();
    std::vector<membership::Vm> list_;
    std::vector<std::unique_ptr<TestVm>> vms_;
};

} // namespace

TEST_F(FleetOfLimits, OneVmMayUseTheWholeRate)
{
    start(4);
    const std::size_t other = (grantorIndex() + 1) % 4;
    load({other}, PerSecond * 95 / 100, std::chrono::seconds(10));
    EXPECT_EQ(vms_[other]->allRefused, 0);
    EXPECT_GE(vms_[other]->taken, PerSecond * 94 / 10);
}

TEST_F(FleetOfLimits, TheSumOfTheRatesHolds)
{
    start(4);
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(10));
    RecordProperty("taken", takenByAll());
    EXPECT_LE(takenByAll(), PerSecond * 11) << "ten seconds' worth and one second's burst";
    EXPECT_GE(takenByAll(), PerSecond * 95 / 10);
}

TEST_F(FleetOfLimits, OpenRequestsAreCountedOverAllVms)
{
    start(4);
    for (int i = 0; i < Open; i++) {
        request(1, 0, true);
        pass(Step);
    }
    EXPECT_EQ(vms_[1]->open, Open);
    request(2, 0, true);
    pass(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[2]->refused[metrics::RefusalReason::TooManyOpen], 1);
    vms_[1]->keeper->release("shop", 0);
    pass(std::chrono::milliseconds(100));
    request(2, 0, true);
    pass(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[2]->open, 1) << "a slot that is free at one VM serves another";
}

TEST_F(FleetOfLimits, TokensThatWereNotUsedComeBack)
{
    start(3);
    pass(std::chrono::minutes(1));
    for (int i = 0; i < 100; i++) {
        TestVm &vm = *vms_[1];
        vm.keeper->take(*vm.contracts->find("shop"), TokensPerMinute / 20, [&vm](const TakeResult &result) {
            vm.taken += result.taken ? 1 : 0;
            if (result.taken) {
                vm.keeper->release("shop", TokensPerMinute / 20 - 10);
            }
        });
        pass(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(vms_[1]->taken, 100);
    request(1, TokensPerMinute + 1);
    pass(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[1]->refused[metrics::RefusalReason::TokenLimit], 1);
}

TEST_F(FleetOfLimits, ADeadGrantorIsReplacedBeforeTheListShowsIt)
{
    start(4);
    const std::size_t dead = grantorIndex();
    const std::size_t other = (dead + 1) % 4;
    load({other}, PerSecond / 2, std::chrono::seconds(2));
    cut(dead);
    load({other}, PerSecond / 2, std::chrono::seconds(3));
    const int refusedAtFirst = vms_[other]->allRefused;
    RecordProperty("refusedAtFirst", refusedAtFirst);
    load({other}, PerSecond / 2, std::chrono::seconds(10));
    EXPECT_EQ(vms_[other]->allRefused, refusedAtFirst) << "half of the limit is more than the own share of a quarter";
}

TEST_F(FleetOfLimits, ACutOffVmPassesTheLimitByItsShareAtMost)
{
    start(4);
    const std::size_t alone = (grantorIndex() + 1) % 4;
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(2));
    cut(alone);
    const int before = takenByAll();
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(20));
    const int taken = takenByAll() - before;
    RecordProperty("taken", taken);
    EXPECT_LE(taken, PerSecond * 20 * 5 / 4 + PerSecond * 2) << "the share of one VM of four, and two bursts while the view changes";
}

TEST_F(FleetOfLimits, TwoHalvesThatAreCutFromEachOtherShareTheLimit)
{
    start(4);
    for (const auto &[from, to] : std::vector<std::pair<int, int>>{{0, 2}, {0, 3}, {1, 2}, {1, 3}}) {
        network_->cuts.insert({vms_[from]->instance, vms_[to]->instance});
        network_->cuts.insert({vms_[to]->instance, vms_[from]->instance});
    }
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(5));
    const int before = takenByAll();
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(10));
    const int taken = takenByAll() - before;
    RecordProperty("taken", taken);
    EXPECT_LE(taken, PerSecond * 11);
    EXPECT_GE(taken, PerSecond * 9) << "each VM goes on with its share";
}

TEST_F(FleetOfLimits, SlotsOfACutOffVmStayTaken)
{
    start(4);
    const std::size_t alone = (grantorIndex() + 1) % 4;
    const std::size_t other = (grantorIndex() + 2) % 4;
    for (int i = 0; i < Open; i++) {
        request(alone, 0, true);
        pass(Step);
    }
    cut(alone);
    request(other, 0, true);
    pass(std::chrono::seconds(3));
    EXPECT_EQ(vms_[other]->open, 0);
    list_.erase(list_.begin() + static_cast<std::ptrdiff_t>(alone));
    for (const auto &vm : vms_) {
        vm->members->applyList(list_);
    }
    pass(std::chrono::seconds(3));
    request(other, 0, true);
    pass(std::chrono::seconds(1));
    EXPECT_EQ(vms_[other]->open, 1) << "a VM that is gone runs nothing";
}

TEST_F(FleetOfLimits, MessagesStayFewAndIdleVmsSendNone)
{
    start(4);
    const std::size_t other = (grantorIndex() + 1) % 4;
    load({other}, PerSecond / 2, std::chrono::seconds(10));
    const auto sent = vms_[other]->transport->counters().callsSent;
    const auto bytes = vms_[other]->transport->counters().bytesSent;
    RecordProperty("callsPerSecond", static_cast<int>(sent / 10));
    RecordProperty("bytesPerCall", static_cast<int>(bytes / sent));
    EXPECT_LE(sent, 100U) << "for " << vms_[other]->taken << " requests";
    pass(std::chrono::seconds(20));
    const auto after = vms_[other]->transport->counters().callsSent;
    pass(std::chrono::minutes(1));
    EXPECT_EQ(vms_[other]->transport->counters().callsSent, after);
    EXPECT_LE(vms_[grantorIndex()]->transport->counters().callsSent, 100U) << "a probe a second";
}
