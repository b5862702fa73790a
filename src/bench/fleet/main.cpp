// What the plan of backend VMs costs over one day with reclaim waves, beside two baselines in the same run: all on
// demand, and the cheapest offer without regard to zones. Deterministic; --check ends with 1 if a bound is broken.

#include "fleet/fleetplan.h"

#include <fmt/format.h>

#include <cstdio>
#include <cstring>
#include <functional>
#include <map>

namespace {

using namespace cardamomlift;
using namespace cardamomlift::fleet;

constexpr int MinutesPerDay = 24 * 60;
constexpr int StartMinutes = 3; ///< From the order to a VM with its weights loaded.
constexpr int RefusedMinutes = 30; ///< After a wave the zone sells no reclaimable VMs for so long.
constexpr std::int64_t MinutesPerHour = 60;

// Bounds of --check; the run of the commit that set them is in docs/MEASUREMENTS.md.
constexpr double MostCostRatio = 0.36; ///< Against all on demand.
constexpr int MostShortMinutes = 4; ///< In which urgent demand was over the live VMs' capacity.

struct Wave {
    int minute;
    const char *zone;
};

/// Whole zones reclaimed, seconds of notice: nothing there is of use from that minute on.
constexpr Wave Waves[] = {{7 * 60 + 30, "zone-1"}, {9 * 60 + 15, "zone-2"}, {9 * 60 + 40, "zone-3"}, {13 * 60, "zone-1"}, {18 * 60 + 5, "zone-4"}};

std::vector<Offer> offersOf()
{
    std::vector<Offer> offers;
    for (int zone = 1; zone <= 4; zone++) {
        const std::string name = "zone-" + std::to_string(zone);
        offers.push_back({name, "small", true, 280'000 + 15'000 * zone, 1000});
        offers.push_back({name, "large", true, 640'000 - 20'000 * zone, 2200});
        offers.push_back({name, "small", false, 900'000, 1000});
        offers.push_back({name, "large", false, 1'900'000, 2200});
    }
    return offers;
}

/// Low at night, high before the press deadline; tokens per second.
ModelDemand demandAt(int minute)
{
    const int hour = minute / 60;
    const std::int64_t urgent = hour >= 7 && hour < 19 ? 6000 : 800;
    const std::int64_t rest = hour >= 9 && hour < 17 ? 4000 : 1000;
    return {"proofreader", urgent, urgent + rest};
}

using Planner = std::function<std::vector<FleetOrder>(const FleetView &view)>;

struct DayResult {
    double cost = 0.0; ///< In the currency.
    int shortMinutes = 0;
    int orders = 0;
};

/// One day minute by minute.
class Day
{
public:
    explicit Day(Planner planner)
        : planner_(std::move(planner))
    {
        view_.offers = offersOf();
    }

    DayResult run()
    {
        for (int minute = 0; minute < MinutesPerDay; minute++) {
            view_.now = TimePoint(std::chrono::minutes(minute));
            view_.demands = {demandAt(minute)};
            reclaim(minute);
            finishStarts(minute);
            order(minute);
            account(minute);
        }
        return result_;
    }

private:
    void reclaim(int minute)
    {
        for (const Wave &wave : Waves) {
            if (wave.minute != minute) {
                continue;
            }
            std::erase_if(view_.vms, [&](const FleetVm &vm) { return vm.offer.reclaimable && vm.offer.zone == wave.zone; });
            for (const char *machineClass : {"small", "large"}) {
                view_.refused.push_back({wave.zone, machineClass, true, view_.now + std::chrono::minutes(RefusedMinutes)});
            }
        }
    }

    void finishStarts(int minute)
    {
        for (FleetVm &vm : view_.vms) {
            if (vm.state == FleetVmState::Starting && orderedAt_[vm.name] + StartMinutes <= minute) {
                vm.state = FleetVmState::Live;
            }
        }
    }

    void order(int minute)
    {
        for (const FleetOrder &order : planner_(view_)) {
            if (order.kind == FleetOrderKind::Delete) {
                std::erase_if(view_.vms, [&](const FleetVm &vm) { return vm.name == order.name; });
                continue;
            }
            result_.orders++;
            const std::string name = "vm-" + std::to_string(result_.orders);
            orderedAt_[name] = minute;
            view_.vms.push_back({name, order.model, order.offer, FleetVmState::Starting});
        }
    }

    void account(int minute)
    {
        std::int64_t live = 0;
        for (const FleetVm &vm : view_.vms) {
            live += vm.state == FleetVmState::Live ? vm.offer.tokensPerSecond : 0;
        }
        // The first minutes of the day start from nothing in every run.
        if (minute > 2 * StartMinutes && live < demandAt(minute).urgentTokensPerSecond) {
            result_.shortMinutes++;
        }
        result_.cost += static_cast<double>(microsPerHour(view_.vms)) / MinutesPerHour / 1e6;
    }

    Planner planner_;
    FleetView view_;
    std::map<std::string, int> orderedAt_;
    DayResult result_;
};

std::vector<FleetOrder> planOurs(const FleetView &view)
{
    return planFleet(view, FleetPolicy());
}

std::vector<FleetOrder> planOnDemand(const FleetView &view)
{
    FleetView onDemand = view;
    std::erase_if(onDemand.offers, [](const Offer &offer) { return offer.reclaimable; });
    return planFleet(onDemand, FleetPolicy());
}

/// The cheapest offers for the total demand, without a thought for the loss of a zone.
std::vector<FleetOrder> planCheapest(const FleetView &view)
{
    FleetView cheapest = view;
    for (ModelDemand &demand : cheapest.demands) {
        demand.urgentTokensPerSecond = 0;
    }
    return planFleet(cheapest, FleetPolicy());
}

void print(const char *name, const DayResult &result, double reference)
{
    std::puts(fmt::format("{:<26}{:>10.2f}{:>14.2f}{:>16}{:>10}", name, result.cost, result.cost / reference, result.shortMinutes, result.orders).c_str());
}

} // namespace

int main(int argc, char **argv)
{
    const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    const DayResult ours = Day(&planOurs).run();
    const DayResult onDemand = Day(&planOnDemand).run();
    const DayResult cheapest = Day(&planCheapest).run();
    std::puts("One day, 5 reclaim waves, urgent demand 800 to 6,000 tokens/s");
    std::puts(fmt::format("{:<26}{:>10}{:>14}{:>16}{:>10}", "plan", "cost", "of on demand", "short minutes", "orders").c_str());
    print("ours", ours, onDemand.cost);
    print("all on demand", onDemand, onDemand.cost);
    print("cheapest, zones ignored", cheapest, onDemand.cost);
    const bool isGood = ours.cost / onDemand.cost <= MostCostRatio && ours.shortMinutes <= MostShortMinutes;
    if (check && !isGood) {
        std::puts(fmt::format("BROKEN: cost ratio {:.2f} (at most {}), short minutes {} (at most {})",
            ours.cost / onDemand.cost,
            MostCostRatio,
            ours.shortMinutes,
            MostShortMinutes)
                      .c_str());
        return 1;
    }
    return 0;
}
