#include "limits/customerlimiter.h"
#include "limits/grantrules.h"
#include "peers/localtransport.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

using namespace cardamomlift;
using namespace cardamomlift::limits;

namespace {

constexpr int PerSecond = 100;
constexpr int OpenRequests = 20;
constexpr int TokensPerMinute = 60000;
constexpr Duration Step = std::chrono::milliseconds(10);

std::string contractText()
{
    return fmt::format(R"({{"customer": "shop", "keys": [], "classes": [{{"name": "quick", "priority": "urgent", "firstTokenMs": 500}}],
        "models": [{{"model": "m", "class": "quick", "maxOutputTokens": 100}}],
        "limits": {{"requestsPerSecond": {}, "openRequests": {}, "tokensPerMinute": {}}},
        "spending": {{"perDayCents": 100, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1}}}})",
        PerSecond,
        OpenRequests,
        TokensPerMinute);
}

struct TestVm {
    std::string instance;
    std::shared_ptr<contract::ContractSet> contracts = contract::ContractSet::create();
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<CustomerLimiter> limiter;
    int acquired = 0;
    int open = 0;
    std::map<metrics::RefusalReason, int> refused;
    int totalRefused = 0;
};

class CustomerLimiterTest : public testing::Test
{
protected:
    void start(std::size_t vms)
    {
        for (std::size_t i = 0; i < vms; i++) {
            vmList_.push_back({fmt::format("entry-{}", i), "127.0.0.1", 1, 1, "zone-1"});
        }
        for (const membership::Vm &vm : vmList_) {
            auto &testVm = vms_.emplace_back(std::make_unique<TestVm>());
            testVm->instance = vm.instance;
            testVm->contracts->applyIfNewer({"shop", 1, 1, contractText(), "tester", "edit", 0});
            testVm->members = membership::Members::create(vm.instance);
            testVm->members->applyList(vmList_);
            testVm->transport = peers::LocalTransport::create(*loop_, network_, vm.instance);
            testVm->limiter = CustomerLimiter::create({loop_.get(), testVm->contracts, testVm->members, testVm->transport, nullptr});
        }
        advance(std::chrono::seconds(3));
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

    void advance(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += Step) {
            clock_.advance(Step);
            loop_->runDue();
            loop_->runDue();
        }
    }

    /// Sends one request, which ends at once unless @p staysOpen.
    void request(std::size_t index, std::int64_t tokens = 0, bool staysOpen = false)
    {
        TestVm &vm = *vms_[index];
        vm.limiter->acquire(*vm.contracts->find("shop"), tokens, [&vm, staysOpen](const AcquireResult &result) {
            if (!result.acquired) {
                vm.refused[result.reason]++;
                vm.totalRefused++;
                return;
            }
            vm.acquired++;
            vm.open++;
            if (!staysOpen) {
                vm.open--;
                vm.limiter->release("shop", 0);
            }
        });
    }

    /// Sends @p perSecond requests per second, evenly spaced, to each of @p targets for @p time.
    void load(const std::vector<std::size_t> &targets, int perSecond, Duration time)
    {
        double due = 0;
        for (Duration passed{0}; passed < time; passed += Step) {
            for (due += perSecond * std::chrono::duration<double>(Step).count(); due >= 1; due--) {
                for (const std::size_t target : targets) {
                    request(target);
                }
            }
            advance(Step);
        }
    }

    void partition(std::size_t index)
    {
        for (const auto &vm : vms_) {
            network_->blockedLinks.insert({vm->instance, vms_[index]->instance});
            network_->blockedLinks.insert({vms_[index]->instance, vm->instance});
        }
    }

    int totalAcquired() const
    {
        int sum = 0;
        for (const auto &vm : vms_) {
            sum += vm->acquired;
        }
        return sum;
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<peers::LocalNetwork> network_ = std::make_shared<peers::LocalNetwork>();
    std::vector<membership::Vm> vmList_;
    std::vector<std::unique_ptr<TestVm>> vms_;
};

} // namespace

TEST_F(CustomerLimiterTest, OneVmCanUseTheWholeRate)
{
    start(4);
    const std::size_t other = (grantorIndex() + 1) % 4;
    load({other}, PerSecond * 95 / 100, std::chrono::seconds(10));
    EXPECT_EQ(vms_[other]->totalRefused, 0);
    EXPECT_GE(vms_[other]->acquired, PerSecond * 94 / 10);
}

TEST_F(CustomerLimiterTest, TheSumOfTheRatesStaysWithinTheLimit)
{
    start(4);
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(10));
    RecordProperty("taken", totalAcquired());
    EXPECT_LE(totalAcquired(), PerSecond * 11) << "ten seconds at the limit plus a burst of one second";
    EXPECT_GE(totalAcquired(), PerSecond * 95 / 10);
}

TEST_F(CustomerLimiterTest, OpenRequestsAreCountedAcrossAllVms)
{
    start(4);
    for (int i = 0; i < OpenRequests; i++) {
        request(1, 0, true);
        advance(Step);
    }
    EXPECT_EQ(vms_[1]->open, OpenRequests);
    request(2, 0, true);
    advance(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[2]->refused[metrics::RefusalReason::TooManyOpen], 1);
    vms_[1]->limiter->release("shop", 0);
    advance(std::chrono::milliseconds(100));
    request(2, 0, true);
    advance(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[2]->open, 1) << "a slot that one VM frees can be used by another";
}

TEST_F(CustomerLimiterTest, UnusedTokensAreReturned)
{
    start(3);
    advance(std::chrono::minutes(1));
    for (int i = 0; i < 100; i++) {
        TestVm &vm = *vms_[1];
        vm.limiter->acquire(*vm.contracts->find("shop"), TokensPerMinute / 20, [&vm](const AcquireResult &result) {
            vm.acquired += result.acquired ? 1 : 0;
            if (result.acquired) {
                vm.limiter->release("shop", TokensPerMinute / 20 - 10);
            }
        });
        advance(std::chrono::milliseconds(50));
    }
    EXPECT_EQ(vms_[1]->acquired, 100);
    request(1, TokensPerMinute + 1);
    advance(std::chrono::milliseconds(100));
    EXPECT_EQ(vms_[1]->refused[metrics::RefusalReason::TokenLimit], 1);
}

TEST_F(CustomerLimiterTest, AFailedGrantorIsReplacedBeforeTheVmListChanges)
{
    start(4);
    const std::size_t failed = grantorIndex();
    const std::size_t other = (failed + 1) % 4;
    load({other}, PerSecond / 2, std::chrono::seconds(2));
    partition(failed);
    load({other}, PerSecond / 2, std::chrono::seconds(3));
    const int refusedBefore = vms_[other]->totalRefused;
    RecordProperty("refusedAtFirst", refusedBefore);
    load({other}, PerSecond / 2, std::chrono::seconds(10));
    EXPECT_EQ(vms_[other]->totalRefused, refusedBefore) << "the load is half of the limit, more than an own share of a quarter";
}

TEST_F(CustomerLimiterTest, APartitionedVmExceedsTheLimitByAtMostItsOwnShare)
{
    start(4);
    const std::size_t partitioned = (grantorIndex() + 1) % 4;
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(2));
    partition(partitioned);
    const int before = totalAcquired();
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(20));
    const int acquired = totalAcquired() - before;
    RecordProperty("taken", acquired);
    EXPECT_LE(acquired, PerSecond * 20 * 5 / 4 + PerSecond * 2)
        << "the limit plus the own share of one VM of four, and two bursts while the VMs detect the partition";
}

TEST_F(CustomerLimiterTest, TwoPartitionedHalvesStayWithinTheLimit)
{
    start(4);
    for (const auto &[from, to] : std::vector<std::pair<int, int>>{{0, 2}, {0, 3}, {1, 2}, {1, 3}}) {
        network_->blockedLinks.insert({vms_[from]->instance, vms_[to]->instance});
        network_->blockedLinks.insert({vms_[to]->instance, vms_[from]->instance});
    }
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(5));
    const int before = totalAcquired();
    load({0, 1, 2, 3}, PerSecond, std::chrono::seconds(10));
    const int acquired = totalAcquired() - before;
    RecordProperty("taken", acquired);
    EXPECT_LE(acquired, PerSecond * 11);
    EXPECT_GE(acquired, PerSecond * 9) << "each VM continues with its own share";
}

TEST_F(CustomerLimiterTest, APartitionedVmKeepsItsSlots)
{
    start(4);
    const std::size_t partitioned = (grantorIndex() + 1) % 4;
    const std::size_t other = (grantorIndex() + 2) % 4;
    for (int i = 0; i < OpenRequests; i++) {
        request(partitioned, 0, true);
        advance(Step);
    }
    partition(partitioned);
    request(other, 0, true);
    advance(std::chrono::seconds(3));
    EXPECT_EQ(vms_[other]->open, 0);
    vmList_.erase(vmList_.begin() + static_cast<std::ptrdiff_t>(partitioned));
    for (const auto &vm : vms_) {
        vm->members->applyList(vmList_);
    }
    advance(std::chrono::seconds(3));
    request(other, 0, true);
    advance(std::chrono::seconds(1));
    EXPECT_EQ(vms_[other]->open, 1) << "a VM that is no longer listed runs no requests";
}

TEST_F(CustomerLimiterTest, MessagesAreFewAndIdleVmsSendNone)
{
    start(4);
    const std::size_t other = (grantorIndex() + 1) % 4;
    load({other}, PerSecond / 2, std::chrono::seconds(10));
    const auto sent = vms_[other]->transport->counters().callsSent;
    const auto bytes = vms_[other]->transport->counters().bytesSent;
    RecordProperty("callsPerSecond", static_cast<int>(sent / 10));
    RecordProperty("bytesPerCall", static_cast<int>(bytes / sent));
    EXPECT_LE(sent, 100U) << "for " << vms_[other]->acquired << " requests";
    advance(std::chrono::seconds(20));
    const auto after = vms_[other]->transport->counters().callsSent;
    advance(std::chrono::minutes(1));
    EXPECT_EQ(vms_[other]->transport->counters().callsSent, after);
    EXPECT_LE(vms_[grantorIndex()]->transport->counters().callsSent, 100U) << "one probe per second";
}
