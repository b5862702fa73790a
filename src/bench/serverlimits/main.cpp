#include "serverlimits/tests/limitmodel.h"

#include <fmt/format.h>

#include <cstdlib>
#include <future>
#include <string_view>
#include <vector>

using namespace cardamomlift::serverlimits::model;

namespace {

struct Row {
    std::string_view name;
    Scenario scenario;
};

struct Sums {
    int violations = 0; ///< Simulations in which the server got more requests than it tolerates.
    double worst = 0; ///< The most requests in any window, relative to the tolerated number, of all simulations.
    double usedShareSum = 0;
    double usedShareSquareSum = 0;
};

Sums runAll(Scenario scenario, int seeds)
{
    Sums sums;
    for (int seed = 1; seed <= seeds; seed++) {
        scenario.seed = static_cast<unsigned>(seed);
        const Outcome outcome = Simulation(scenario).run();
        const double allowed = maxAllowed(scenario.perSecond);
        sums.violations += static_cast<double>(outcome.maxInWindow) > allowed ? 1 : 0;
        sums.worst = std::max(sums.worst, static_cast<double>(outcome.maxInWindow) / allowed);
        sums.usedShareSum += outcome.usedShare;
        sums.usedShareSquareSum += outcome.usedShare * outcome.usedShare;
    }
    return sums;
}

std::string formatSums(const Sums &sums, int seeds)
{
    const double mean = sums.usedShareSum / seeds;
    const double spread = std::sqrt(std::max(0.0, sums.usedShareSquareSum / seeds - mean * mean));
    return fmt::format("{:3d} {:5.2f} {:5.2f}+-{:4.2f}", sums.violations, sums.worst, mean, spread);
}

std::vector<Row> rows()
{
    return {{"9 VMs, 1.1/s", {.vms = 9, .perSecond = 1.1}},
        {"9 VMs, 1.1/s, uneven callers", {.vms = 9, .perSecond = 1.1, .unevenness = 1}},
        {"9 VMs, 1.1/s, low demand", {.vms = 9, .perSecond = 1.1, .demandPerSecond = 2}},
        {"9 VMs, 1.1/s, a burst of 20", {.vms = 9, .perSecond = 1.1, .demandPerSecond = 5, .burstFactor = 20}},
        {"9 VMs, 20/s", {.vms = 9, .perSecond = 20, .demandPerSecond = 100}},
        {"9 VMs, 1.1/s, 9 restarts", {.vms = 9, .perSecond = 1.1, .restarts = 9}},
        {"9 VMs, 1.1/s, 3 join", {.vms = 9, .perSecond = 1.1, .joining = 3}},
        {"9 VMs, 1.1/s, limit changes each s", {.vms = 9, .perSecond = 1.1, .limitChangesPerSecond = 1}},
        {"9 VMs, 1.1/s, clocks off by 0.5 s", {.vms = 9, .perSecond = 1.1, .clockError = std::chrono::milliseconds(500)}},
        {"63 VMs, 0.5/s", {.vms = 63, .perSecond = 0.5, .demandPerSecond = 150}},
        {"63 VMs, 0.5/s, a burst of 20", {.vms = 63, .perSecond = 0.5, .demandPerSecond = 5, .burstFactor = 20}},
        {"63 VMs, 5/s, 20 restarts", {.vms = 63, .perSecond = 5, .demandPerSecond = 60, .restarts = 20}},
        {"295 VMs, 0.5/s", {.vms = 295, .perSecond = 0.5, .demandPerSecond = 600}},
        {"295 VMs, 2/s, uneven callers", {.vms = 295, .perSecond = 2, .demandPerSecond = 600, .unevenness = 1}}};
}

} // namespace

/// Compares strategies to enforce a server's limit over all VMs. Prints for each strategy the number of simulations in which the
/// server got more requests than it tolerates, the most that it got in a window relative to that, and how much of the limit was
/// used.
int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
    fmt::print("{:36} {:21}  {:21}  {:21}\n", "violations, worst, used", "permits", "even shares", "allowance");
    for (const Row &row : rows()) {
        std::vector<std::future<Sums>> runs;
        for (const Strategy strategy : {Strategy::Permits, Strategy::EvenShares, Strategy::Allowance}) {
            Scenario scenario = row.scenario;
            scenario.strategy = strategy;
            runs.push_back(std::async(std::launch::async, runAll, scenario, seeds));
        }
        fmt::print("{:36}", row.name);
        for (auto &run : runs) {
            fmt::print(" {:21} ", formatSums(run.get(), seeds));
        }
        fmt::print("\n");
    }
    return 0;
}
