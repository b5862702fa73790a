#include "fleet/fleetkeeper.h"
#include "fleet/fleetplan.h"
#include "fleet/leasedecision.h"
#include "table/memorytable.h"

#include <gtest/gtest.h>

#include <set>

using namespace cardamomlift;
using namespace cardamomlift::fleet;

namespace {

constexpr Duration Lease = std::chrono::seconds(9);

/// Four zones with two prices each; on demand costs three times as much.
std::vector<Offer> fourZones()
{
    std::vector<Offer> offers;
    for (int zone = 1; zone <= 4; zone++) {
        offers.push_back({"zone-" + std::to_string(zone), "small", true, 300'000 + zone * 10'000, 1000});
        offers.push_back({"zone-" + std::to_string(zone), "small", false, 900'000, 1000});
    }
    return offers;
}

/// Puts the plan's orders into the view until there are none; the number of rounds is bounded.
void settle(FleetView &view)
{
    for (int round = 0; round < 100; round++) {
        const auto orders = planFleet(view, FleetPolicy());
        if (orders.empty()) {
            return;
        }
        for (const FleetOrder &order : orders) {
            if (order.kind == FleetOrderKind::Create) {
                view.vms.push_back({"vm-" + std::to_string(round) + "-" + std::to_string(view.vms.size()), order.model, order.offer, FleetVmState::Live});
            } else {
                std::erase_if(view.vms, [&](const FleetVm &vm) { return vm.name == order.name; });
            }
        }
    }
    FAIL() << "the plan swings";
}

/// A cloud in memory, shared by the keepers of several VMs.
struct FakeCloud : Cloud {
    EventLoop *loop = nullptr;
    std::vector<Offer> sold = fourZones();
    std::map<std::string, FleetVm> vms;
    bool loseAnswers = false;
    std::vector<std::function<void()>> held; ///< Orders under way while hold is set.
    bool hold = false;
    int inserts = 0;

    void list(std::function<void(Result<std::vector<FleetVm>>)> handler) override
    {
        loop->post([this, handler] {
            std::vector<FleetVm> all;
            for (const auto &[name, vm] : vms) {
                all.push_back(vm);
            }
            handler(all);
        });
    }

    void offers(std::function<void(Result<std::vector<Offer>>)> handler) override
    {
        loop->post([this, handler] { handler(sold); });
    }

    void create(const CreateOrder &order, std::function<void(CloudAnswer)> handler) override
    {
        auto run = [this, order, handler] {
            inserts += vms.contains(order.name) ? 0 : 1;
            vms[order.name] = {order.name, order.model, order.offer, FleetVmState::Live};
            handler(loseAnswers ? CloudAnswer::Unknown : CloudAnswer::Done);
        };
        if (hold) {
            held.push_back(run);
        } else {
            loop->post(run);
        }
    }

    void remove(const FleetVm &vm, std::function<void(CloudAnswer)> handler) override
    {
        loop->post([this, name = vm.name, handler] {
            vms.erase(name);
            handler(CloudAnswer::Done);
        });
    }
};

/// Two entry VMs that stand for the lease, over one table and one cloud.
struct TwoKeepers {
    TwoKeepers()
    {
        loop = std::move(EventLoop::create(clock).value());
        cloud->loop = loop.get();
        rows = std::make_shared<table::MemoryRows>();
        for (int i = 0; i < 2; i++) {
            tables[i] = table::MemoryTable::create(*loop, rows);
            leases[i] = FleetLease::create(*loop, tables[i], "entry-" + std::to_string(i), Lease);
            KeeperTools tools{loop.get(),
                leases[i],
                cloud,
                [] {
                    return std::vector<ModelDemand>{{"m", 1000, 3000}};
                },
                [](const EngineOrder &) {
                }};
            keepers[i] = FleetKeeper::create(tools, FleetPolicy());
            leases[i]->start();
        }
    }

    void run(int seconds, std::set<int> stepping)
    {
        for (int i = 0; i < seconds; i++) {
            clock.advance(std::chrono::seconds(1));
            drain();
            for (const int keeper : stepping) {
                keepers[keeper]->step();
            }
            drain();
        }
    }

    void drain()
    {
        for (int i = 0; i < 8; i++) {
            loop->runDue();
        }
    }

    int holder() const
    {
        return leases[0]->isHeld() ? 0 : 1;
    }

    ManualClock clock;
    std::unique_ptr<EventLoop> loop;
    std::shared_ptr<FakeCloud> cloud = std::make_shared<FakeCloud>();
    std::shared_ptr<table::MemoryRows> rows;
    std::shared_ptr<table::MemoryTable> tables[2];
    std::shared_ptr<FleetLease> leases[2];
    std::shared_ptr<FleetKeeper> keepers[2];
};

} // namespace

TEST(FleetPlan, UrgentDemandSurvivesTheLossOfAnyZone)
{
    FleetView view{fourZones(), {{"m", 4000, 6000}}, {}, {}, {}};
    settle(view);
    for (const char *zone : {"zone-1", "zone-2", "zone-3", "zone-4"}) {
        std::int64_t left = 0;
        for (const FleetVm &vm : view.vms) {
            left += vm.offer.zone == zone ? 0 : vm.offer.tokensPerSecond;
        }
        EXPECT_GE(left, 4000) << zone;
    }
    std::int64_t allOnDemand = 8 * 900'000;
    EXPECT_LT(microsPerHour(view.vms), allOnDemand / 2);
}

TEST(FleetPlan, RefusedOffersAreReplacedByTheNextCheapest)
{
    FleetView view{fourZones(), {{"m", 1000, 2000}}, {}, {}, {}};
    for (int zone = 1; zone <= 4; zone++) {
        view.refused.push_back({"zone-" + std::to_string(zone), "small", true, view.now + std::chrono::seconds(1)});
    }
    const auto orders = planFleet(view, FleetPolicy());
    ASSERT_FALSE(orders.empty());
    for (const FleetOrder &order : orders) {
        EXPECT_FALSE(order.offer.reclaimable);
    }
}

TEST(FleetPlan, FewStartsGoToUrgentWorkFirst)
{
    FleetView view{fourZones(), {{"a-deferrable", 0, 50'000}, {"b-urgent", 4000, 4000}}, {}, {}, {}};
    const auto orders = planFleet(view, FleetPolicy());
    ASSERT_EQ(orders.size(), FleetPolicy().mostStarting);
    EXPECT_EQ(orders.front().model, "b-urgent");
    EXPECT_GE(std::count_if(orders.begin(), orders.end(), [](const FleetOrder &order) { return order.model == "b-urgent"; }), 5);
}

TEST(FleetLease, OneHolderAtEveryStepOfAPausedHolder)
{
    // Every pause length of the first holder, in steps of half a second: never two that may order at once.
    for (int pause = 0; pause <= 60; pause++) {
        LeaseKnowledge first;
        LeaseKnowledge second;
        std::optional<LeaseRow> row;
        TimePoint now{};
        const auto step = [&](LeaseKnowledge &knowledge, const std::string &self) {
            noteRow(knowledge, row, now);
            const LeaseAction action = decideLease(knowledge, self, now, Lease);
            if (action == LeaseAction::Wait) {
                return;
            }
            const std::uint64_t fence = (row ? row->fence : 0) + (action == LeaseAction::Take ? 1 : 0);
            row = LeaseRow{self, fence, self + std::to_string(now.time_since_epoch().count())};
            noteWritten(knowledge, *row, now, Lease);
        };
        step(first, "first");
        for (int i = 0; i < 120; i++) {
            now += std::chrono::milliseconds(500);
            if (i >= pause) {
                step(first, "first");
            }
            step(second, "second");
            const bool firstMay = isHeld(first, now, Duration(0)) && i >= pause;
            EXPECT_FALSE(firstMay && isHeld(second, now, Duration(0))) << "pause " << pause << " step " << i;
        }
    }
}

TEST(FleetKeeper, LostAnswersBuyNothingTwice)
{
    TwoKeepers two;
    two.cloud->loseAnswers = true;
    two.run(60, {0, 1});
    // 3,000 tokens with headroom are 4 VMs; the lost answers have bought none beyond them.
    EXPECT_EQ(two.cloud->vms.size(), 4U);
    EXPECT_EQ(two.cloud->inserts, 4);
}

TEST(FleetKeeper, LateOrderOfAPausedHolderIsUndone)
{
    TwoKeepers two;
    two.run(2, {0, 1});
    const int old = two.holder();
    const int next = 1 - old;
    two.cloud->hold = true;
    two.run(6, {0, 1});
    ASSERT_FALSE(two.cloud->held.empty());
    // The holder is paused with its orders under way: its renewals stop too.
    two.tables[old]->faults.freeze = true;
    two.cloud->hold = false;
    two.run(40, {next});
    EXPECT_TRUE(two.leases[next]->isHeld());
    EXPECT_EQ(two.cloud->vms.size(), 4U);
    for (const auto &order : two.cloud->held) {
        order();
    }
    EXPECT_EQ(two.cloud->vms.size(), 8U);
    two.tables[old]->faults.freeze = false;
    two.tables[old]->release();
    two.run(60, {0, 1});
    // One above the plan stays, by the margin against swinging.
    EXPECT_EQ(two.cloud->vms.size(), 5U);
    EXPECT_EQ(two.keepers[next]->counters().deleted, 3U);
}
