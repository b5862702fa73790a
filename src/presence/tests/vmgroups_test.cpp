#include "presence/presence.h"
#include "presence/statussummary.h"
#include "presence/tests/testnetwork.h"
#include "presence/vmgroups.h"
#include "rows/memoryrowstore.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

namespace cardamomlift::presence {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t Customer = 7;

/// Many VMs in some zones, each of which admits 100 tokens a second of one customer, on a manual clock.
class VmGroupsTest : public testing::Test
{
protected:
    struct Vm {
        std::shared_ptr<TestDatagramSocket> socket;
        std::shared_ptr<Presence> presence;
        bool holdsLease = false;
        std::map<std::string, std::uint32_t> usage; ///< Counts received from the other VMs, by VM.
    };

    /// @p apart: time between the starts of two VMs.
    void start(std::size_t count, std::size_t zones, Duration apart = Duration(0))
    {
        log_ = eventlog::EventLog::create(clock_, "test", [](std::string_view) { return true; });
        for (std::size_t i = 0; i < count; i++) {
            vms_.push_back(std::make_unique<Vm>());
            startVm(*vms_.back(), i, zones);
            advance(apart);
        }
    }

    void startVm(Vm &vm, std::size_t index, std::size_t zones)
    {
        PresenceTools tools;
        tools.loop = loop_.get();
        tools.store = rows::MemoryRowStore::create(*loop_, rows_);
        tools.log = log_;
        tools.instance = "vm-" + std::to_string(index);
        tools.zone = "zone-" + std::to_string(index % zones);
        tools.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
        tools.incarnation = 1'000'000 * (index + 1);
        vm.socket = std::make_shared<TestDatagramSocket>(network_, tools.endpoint);
        tools.socket = vm.socket;
        vm.presence = Presence::start(std::move(tools));
        vm.presence->addStatusContributor([this, &vm](Status &status) {
            status.demands.push_back({Customer, 100, admittedTotal()});
            status.usage.push_back({1, Customer, 3});
            status.holdsLease = vm.holdsLease;
        });
        vm.presence->onStatus([&vm](const Status &status, std::optional<TimePoint>) {
            for (const UsageCount &usage : status.usage) {
                vm.usage[status.instance] = usage.count;
            }
        });
    }

    double admittedTotal() const
    {
        return std::chrono::duration<double>(loop_->now() - beganAt_).count() * 100;
    }

    void advance(Duration time)
    {
        for (Duration passed(0); passed < time; passed += milliseconds(10)) {
            loop_->runDue();
            clock_.advance(milliseconds(10));
        }
        loop_->runDue();
    }

    /// The admitted total of all other VMs as known to @p vm, as a fraction of the real one.
    double knownFraction(const Vm &vm, Duration age) const
    {
        double sum = 0;
        for (const Peer *peer : vm.presence->recentlyHeard(age)) {
            for (const CustomerDemand &demand : peer->status->demands) {
                sum += demand.admittedTotal;
            }
        }
        return sum / (admittedTotal() * static_cast<double>(vms_.size() - 1));
    }

    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    TimePoint beganAt_ = loop_->now();
    std::shared_ptr<eventlog::EventLog> log_;
    std::shared_ptr<rows::MemoryRows> rows_ = std::make_shared<rows::MemoryRows>();
    TestNetwork network_;
    std::vector<std::unique_ptr<Vm>> vms_;
};

TEST(VmGroups, FewVmsAreOneGroup)
{
    EXPECT_EQ(layoutFor(24, 4), GroupLayout());
    EXPECT_EQ(groupOf(layoutFor(9, 4), "vm", "zone"), "");
}

TEST(VmGroups, TrafficOfAVmGrowsWithTheSquareRootOfTheVms)
{
    for (const std::size_t vms : {25U, 90U, 295U, 380U, 1000U, 3000U}) {
        for (const std::size_t zones : {1U, 3U, 6U, 11U}) {
            const std::size_t groups = layoutFor(vms, zones).groupsPerZone * zones;
            const double contacts = static_cast<double>(vms) / static_cast<double>(groups) + 2 * static_cast<double>(groups);
            EXPECT_LT(contacts, 4.2 * std::sqrt(static_cast<double>(vms)) + 2 * static_cast<double>(zones)) << vms << " VMs in " << zones << " zones";
        }
    }
}

TEST(VmGroups, LayoutIsUnchangedWithThreeQuartersMoreVms)
{
    EXPECT_EQ(layoutFor(295, 6), layoutFor(516, 6));
}

TEST(StatusSummary, SumsDemandsAndKeepsTheNewestObservations)
{
    Status one;
    one.instance = "one";
    one.incarnation = 1;
    one.uptime = seconds(5);
    one.demands = {{Customer, 10, 1000}};
    one.outcomes = {{9, 2, 1, 2, milliseconds(400), milliseconds(900)}};
    one.services = {{5, 100, 3, 0.5, 10}};
    Status two = one;
    two.instance = "two";
    two.holdsLease = true;
    two.uptime = seconds(9);
    two.outcomes = {{9, 4, 1, 0, milliseconds(0), milliseconds(600)}};
    two.services = {{5, 300, 1, 1.5, 30}};
    const Status sum = summarize("g", std::vector<MemberStatus>{{&one, milliseconds(100)}, {&two, milliseconds(0)}});
    EXPECT_EQ(sum.summaryOf, "g");
    EXPECT_DOUBLE_EQ(sum.demands.at(0).admittedTotal, 2000);
    EXPECT_EQ(sum.leaseHolder, "two");
    EXPECT_EQ(sum.uptime, seconds(9));
    EXPECT_DOUBLE_EQ(sum.outcomes.at(0).answered, 6);
    // The failures of the first VM came after the last answer that any member had.
    EXPECT_EQ(sum.outcomes.at(0).failedInARow, 2);
    EXPECT_EQ(sum.outcomes.at(0).sinceFailure, milliseconds(500));
    EXPECT_EQ(sum.outcomes.at(0).sinceAnswer, milliseconds(600));
    EXPECT_DOUBLE_EQ(sum.services.at(0).latencyRatio, 1.25);
    two.incarnation = 2;
    EXPECT_NE(summarize("g", std::vector<MemberStatus>{{&one, milliseconds(0)}, {&two, milliseconds(0)}}).membersHash, sum.membersHash);
}

TEST(StatusSummary, TellsTheMeanLagOfTheMembersThatTellTheirs)
{
    Status first;
    Status second;
    Status silent;
    first.loopLag = std::chrono::milliseconds(10);
    second.loopLag = std::chrono::milliseconds(90);
    silent.loopLag = std::chrono::milliseconds(900);
    const Status untold;
    const std::vector<MemberStatus> members{{&first, {}}, {&second, {}}, {&untold, {}}, {&silent, std::chrono::minutes(1)}};
    EXPECT_EQ(summarize("group", members).loopLag, std::chrono::milliseconds(50));
    EXPECT_EQ(summarize("group", {}).loopLag, std::nullopt);
}

TEST(StatusSummary, KeepsTheNewestLimitOfEachServer)
{
    Status one;
    one.limits = {{7, true, 1, milliseconds(100)}, {8, true, 3, milliseconds(50)}};
    Status two;
    two.limits = {{7, false, 0, milliseconds(300)}};
    const auto first = summarize("g", std::vector<MemberStatus>{{&one, milliseconds(100)}, {&two, milliseconds(0)}});
    ASSERT_EQ(first.limits.size(), 2U);
    EXPECT_EQ(first.limits[0].server, 8U);
    EXPECT_EQ(first.limits[0].age, milliseconds(150));
    EXPECT_TRUE(first.limits[1].isLimited);
    EXPECT_EQ(first.limits[1].age, milliseconds(200)) << "includes the age of the status that reported it";
    const auto second = summarize("g", std::vector<MemberStatus>{{&one, milliseconds(500)}, {&two, milliseconds(0)}});
    EXPECT_EQ(second.limits.at(0).server, 7U);
    EXPECT_FALSE(second.limits.at(0).isLimited);
}

TEST(StatusSummary, SumsThePaceOfServersThatAreOffTheMean)
{
    const auto work = [](double factor) {
        return pace::WorkSums{factor, factor, 50};
    };
    Status one;
    for (std::uint32_t server = 1; server <= 16; server++) {
        one.paces.push_back({server, 5, work(1), std::nullopt, Duration(0)});
    }
    one.paces[1].announced = 4;
    one.paces[1].announcedAge = milliseconds(30);
    one.paces[3].work = work(5);
    one.paces.push_back({99, 6, work(20), std::nullopt, Duration(0)});
    one.firstBytes = {{5, {10, 1000, 1, 200'000, 150}}};
    Status two = one;
    two.paces[1].announced = 2;
    two.paces[1].announcedAge = milliseconds(60);
    const Status sum = summarize("g", std::vector<MemberStatus>{{&one, milliseconds(100)}, {&two, milliseconds(0)}});
    ASSERT_EQ(sum.paces.size(), 2U) << "only those off the mean of their service";
    EXPECT_EQ(sum.paces[0].server, 4U);
    EXPECT_LT(sum.paces[0].work.units, 100) << "observations fade on the way";
    EXPECT_GT(sum.paces[0].work.units, 90);
    EXPECT_EQ(sum.paces[1].server, 2U);
    EXPECT_EQ(sum.paces[1].announced, 2);
    EXPECT_EQ(sum.paces[1].announcedAge, milliseconds(60)) << "the youngest announcement";
    ASSERT_EQ(sum.firstBytes.size(), 1U);
    EXPECT_GT(sum.firstBytes[0].sums.count, 19);
}

TEST(StatusSummary, KeepsThePaceOfABoundedNumberOfServers)
{
    Status status;
    for (std::uint32_t i = 1; i <= 200; i++) {
        status.paces.push_back({i, 5, {i % 3 == 0 ? 1 + 0.02 * i : 1, 1, 50}, std::nullopt, Duration(0)});
    }
    const Status sum = summarize("g", std::vector<MemberStatus>{{&status, milliseconds(0)}});
    ASSERT_EQ(sum.paces.size(), 24U);
    EXPECT_EQ(sum.paces[0].server, 198U) << "the farthest off";
}

TEST(StatusSummary, OmitsTheLeaseOfASilentMember)
{
    Status holder;
    holder.instance = "holder";
    holder.holdsLease = true;
    EXPECT_TRUE(summarize("g", std::vector<MemberStatus>{{&holder, milliseconds(1000)}}).holdsLease);
    EXPECT_FALSE(summarize("g", std::vector<MemberStatus>{{&holder, milliseconds(2000)}}).holdsLease);
}

TEST_F(VmGroupsTest, EachVmKnowsTheTotalFromFewDatagrams)
{
    network_.loss = 0.025;
    start(90, 3);
    advance(seconds(5));
    const std::size_t before = network_.sentCount;
    advance(seconds(5));
    for (const auto &vm : vms_) {
        EXPECT_EQ(vm->presence->groups().size(), 5U);
        EXPECT_NEAR(knownFraction(*vm, seconds(2)), 0.95, 0.06) << vm->presence->instance();
    }
    // If each VM sent to each other one, 250 datagrams a second would give the same age.
    EXPECT_LT((network_.sentCount - before) / vms_.size() / 5, 90U) << "datagrams per VM and second";
}

// The load: 88 VMs on links that carry ten megabits a second, whose queues are short beside a round of large statuses.
TEST_F(VmGroupsTest, DatagramsOfARoundAreNotSentAtOnce)
{
    network_.loop = loop_.get();
    start(88, 4, milliseconds(10));
    advance(seconds(4));
    std::size_t most = 0;
    std::size_t total = 0;
    for (int step = 0; step < 200; step++) {
        std::vector<std::size_t> before;
        for (const auto &vm : vms_) {
            before.push_back(vm->socket->sentCount);
        }
        advance(milliseconds(10));
        for (std::size_t i = 0; i < vms_.size(); i++) {
            const std::size_t sent = vms_[i]->socket->sentCount - before[i];
            most = std::max(most, sent);
            total += sent;
        }
    }
    EXPECT_GT(total, 88U * 2 * 30) << "each VM tells the others three times a second";
    EXPECT_LE(most, 12U) << "a slot of a round, with the answers to other groups that came together with it";
}

TEST_F(VmGroupsTest, SummariesAreRequestedFromAnotherVmWhenOneIsSilent)
{
    start(90, 3);
    advance(seconds(4));
    // Half of all VMs stop at the same time.
    for (std::size_t i = 0; i < vms_.size(); i += 2) {
        vms_[i]->socket->isCut = true;
    }
    advance(seconds(4));
    for (std::size_t i = 1; i < vms_.size(); i += 2) {
        const auto &groups = vms_[i]->presence->groups();
        const auto isHeard = [this](const auto &entry) {
            return entry.second.heardAt && loop_->now() - *entry.second.heardAt < seconds(1);
        };
        EXPECT_TRUE(std::all_of(groups.begin(), groups.end(), isHeard)) << vms_[i]->presence->instance();
    }
}

TEST_F(VmGroupsTest, TheLeaseHolderGetsTheUsageOfEachVm)
{
    network_.loss = 0.025;
    start(90, 3);
    vms_[17]->holdsLease = true;
    advance(seconds(6));
    EXPECT_EQ(vms_[17]->usage.size(), 89U);
}

TEST_F(VmGroupsTest, VmsAreNotCountedTwiceWhenTheLayoutChanges)
{
    start(24, 2);
    advance(seconds(3));
    EXPECT_NEAR(knownFraction(*vms_[0], seconds(1)), 0.95, 0.06);
    for (std::size_t i = 24; i < 40; i++) {
        vms_.push_back(std::make_unique<Vm>());
        startVm(*vms_.back(), i, 2);
    }
    advance(seconds(3));
    for (const auto &vm : vms_) {
        EXPECT_LT(knownFraction(*vm, seconds(2)), 1.01) << vm->presence->instance();
        EXPECT_GT(knownFraction(*vm, seconds(2)), 0.85) << vm->presence->instance();
    }
}

} // namespace

} // namespace cardamomlift::presence
