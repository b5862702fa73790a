#include "fleet/cloudformat.h"
#include "fleet/fleetcontroller.h"
#include "fleet/fleetplan.h"
#include "fleet/leasedecision.h"
#include "http/tests/spoiltjson.h"
#include "table/memorytable.h"

#include <gtest/gtest.h>

#include <set>

using namespace cardamomlift;
using namespace cardamomlift::fleet;

namespace {

constexpr Duration Lease = std::chrono::seconds(9);

/// Four zones with two offers each. On demand costs about three times as much as reclaimable.
std::vector<Offer> fourZones()
{
    std::vector<Offer> offers;
    for (int zone = 1; zone <= 4; zone++) {
        offers.push_back({"zone-" + std::to_string(zone), "small", true, 300'000 + zone * 10'000, 1000});
        offers.push_back({"zone-" + std::to_string(zone), "small", false, 900'000, 1000});
    }
    return offers;
}

/// Applies the planned orders to the view until there are none. Fails if there still are some after 100 rounds.
void applyUntilStable(FleetView &view)
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
    FAIL() << "the plan oscillates";
}

/// An in-memory cloud, shared by the controllers of several entry VMs.
struct FakeCloud : Cloud {
    EventLoop *loop = nullptr;
    std::vector<Offer> available = fourZones();
    std::map<std::string, FleetVm> vms;
    bool loseAnswers = false;
    std::vector<std::function<void()>> heldOrders; ///< Create orders received while holdOrders is set, not carried out yet.
    bool holdOrders = false;
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
        loop->post([this, handler] { handler(available); });
    }

    void create(const CreateOrder &order, std::function<void(CloudOrderOutcome)> handler) override
    {
        auto run = [this, order, handler] {
            inserts += vms.contains(order.name) ? 0 : 1;
            vms[order.name] = {order.name, order.model, order.offer, FleetVmState::Live};
            handler(loseAnswers ? CloudOrderOutcome::Unknown : CloudOrderOutcome::Done);
        };
        if (holdOrders) {
            heldOrders.push_back(run);
        } else {
            loop->post(run);
        }
    }

    void remove(const FleetVm &vm, std::function<void(CloudOrderOutcome)> handler) override
    {
        loop->post([this, name = vm.name, handler] {
            vms.erase(name);
            handler(CloudOrderOutcome::Done);
        });
    }
};

/// Two entry VMs that compete for the lease, with one table and one cloud.
struct TwoEntryVms {
    TwoEntryVms()
    {
        loop = std::move(EventLoop::create(clock).value());
        cloud->loop = loop.get();
        rows = std::make_shared<table::MemoryRows>();
        for (int i = 0; i < 2; i++) {
            tables[i] = table::MemoryTable::create(*loop, rows);
            leases[i] = FleetLease::create(*loop, tables[i], "entry-" + std::to_string(i), Lease);
            FleetControllerTools tools{loop.get(),
                leases[i],
                cloud,
                [] {
                    return std::vector<ModelDemand>{{"m", 1000, 3000}};
                },
                [](const EngineOrder &) {
                }};
            controllers[i] = FleetController::create(tools, FleetPolicy());
            leases[i]->start();
        }
    }

    void run(int seconds, std::set<int> stepping)
    {
        for (int i = 0; i < seconds; i++) {
            clock.advance(std::chrono::seconds(1));
            drain();
            for (const int controller : stepping) {
                controllers[controller]->reconcile();
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
    std::shared_ptr<FleetController> controllers[2];
};

} // namespace

TEST(FleetPlan, UrgentDemandSurvivesTheLossOfAnyZone)
{
    FleetView view{fourZones(), {{"m", 4000, 6000}}, {}, {}, {}};
    applyUntilStable(view);
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

TEST(FleetPlan, LimitedStartsGoToUrgentDemandFirst)
{
    FleetView view{fourZones(), {{"a-deferrable", 0, 50'000}, {"b-urgent", 4000, 4000}}, {}, {}, {}};
    const auto orders = planFleet(view, FleetPolicy());
    ASSERT_EQ(orders.size(), FleetPolicy().maxStarting);
    EXPECT_EQ(orders.front().model, "b-urgent");
    EXPECT_GE(std::count_if(orders.begin(), orders.end(), [](const FleetOrder &order) { return order.model == "b-urgent"; }), 5);
}

TEST(FleetLease, NeverTwoHoldersWhenAHolderIsPaused)
{
    // Pauses the first holder for 0 to 30 s, in steps of half a second: there must never be two VMs that may send orders at
    // the same time.
    for (int pause = 0; pause <= 60; pause++) {
        LeaseView first;
        LeaseView second;
        std::optional<LeaseRow> row;
        TimePoint now{};
        const auto step = [&](LeaseView &leaseView, const std::string &self) {
            observeRow(leaseView, row, now);
            const LeaseAction action = decideLease(leaseView, self, now, Lease);
            if (action == LeaseAction::Wait) {
                return;
            }
            const std::uint64_t fence = (row ? row->fence : 0) + (action == LeaseAction::Take ? 1 : 0);
            row = LeaseRow{self, fence, self + std::to_string(now.time_since_epoch().count())};
            recordWrite(leaseView, *row, now, Lease);
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

TEST(FleetController, LostResponsesCreateNoVmTwice)
{
    TwoEntryVms two;
    two.cloud->loseAnswers = true;
    two.run(60, {0, 1});
    // 3,000 tokens per second plus headroom need 4 VMs. The lost responses must not lead to more.
    EXPECT_EQ(two.cloud->vms.size(), 4U);
    EXPECT_EQ(two.cloud->inserts, 4);
}

TEST(FleetController, LateOrdersOfAPausedHolderAreReverted)
{
    TwoEntryVms two;
    two.run(2, {0, 1});
    const int old = two.holder();
    const int next = 1 - old;
    two.cloud->holdOrders = true;
    two.run(6, {0, 1});
    ASSERT_FALSE(two.cloud->heldOrders.empty());
    // The holder is paused while its orders are pending, so its renewals stop too.
    two.tables[old]->faults.freeze = true;
    two.cloud->holdOrders = false;
    two.run(40, {next});
    EXPECT_TRUE(two.leases[next]->isHeld());
    EXPECT_EQ(two.cloud->vms.size(), 4U);
    for (const auto &order : two.cloud->heldOrders) {
        order();
    }
    EXPECT_EQ(two.cloud->vms.size(), 8U);
    two.tables[old]->faults.freeze = false;
    two.tables[old]->release();
    two.run(60, {0, 1});
    // One VM more than needed stays, because of the margin that prevents oscillation.
    EXPECT_EQ(two.cloud->vms.size(), 5U);
    EXPECT_EQ(two.controllers[next]->counters().deleted, 3U);
}

// Guards against a value of an unexpected type in an answer of the cloud API that ends the process.
TEST(CloudFormat, OddValuesAreSurvived)
{
    const std::string vm = R"({"name":"n","zone":"z","machineType":"m","status":"RUNNING","scheduling":{"provisioningModel":"SPOT"},"labels":{"model":"a"}})";
    const std::string offer = R"({"zone":"z","machineType":"m","provisioningModel":"SPOT","microsPerHour":5,"tokensPerSecond":7})";
    ASSERT_TRUE(instanceFromJson(*http::parseJson(vm)));
    ASSERT_TRUE(offerFromJson(*http::parseJson(offer)));
    http::forEachSpoiltText(vm, [](const std::string &text) { instanceFromJson(*http::parseJson("[" + text + "]")->begin()); });
    http::forEachSpoiltText(offer, [](const std::string &text) { offerFromJson(*http::parseJson("[" + text + "]")->begin()); });
}
