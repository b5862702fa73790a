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
    int broken = 0; ///< Plays in which the server got more than it bears.
    double most = 0; ///< In a window, over what is allowed: the worst play.
    double used = 0;
    double usedSquares = 0;
};

Sums playAll(Scenario scenario, int seeds)
{
    Sums sums;
    for (int seed = 1; seed <= seeds; seed++) {
        scenario.seed = static_cast<unsigned>(seed);
        const Outcome outcome = Play(scenario).run();
        const double allowed = mostAllowed(scenario.perSecond);
        sums.broken += static_cast<double>(outcome.mostInWindow) > allowed ? 1 : 0;
        sums.most = std::max(sums.most, static_cast<double>(outcome.mostInWindow) / allowed);
        sums.used += outcome.usedPart;
        sums.usedSquares += outcome.usedPart * outcome.usedPart;
    }
    return sums;
}

std::string cell(const Sums &sums, int seeds)
{
    const double mean = sums.used / seeds;
    const double spread = std::sqrt(std::max(0.0, sums.usedSquares / seeds - mean * mean));
    return fmt::format("{:3d} {:5.2f} {:5.2f}+-{:4.2f}", sums.broken, sums.most, mean, spread);
}

std::vector<Row> rows()
{
    return {{"9 VMs, 1.1/s", {.vms = 9, .perSecond = 1.1}},
        {"9 VMs, 1.1/s, uneven callers", {.vms = 9, .perSecond = 1.1, .unevenness = 1}},
        {"9 VMs, 1.1/s, little asked", {.vms = 9, .perSecond = 1.1, .askedPerSecond = 2}},
        {"9 VMs, 1.1/s, a burst of 20", {.vms = 9, .perSecond = 1.1, .askedPerSecond = 5, .burstFactor = 20}},
        {"9 VMs, 20/s", {.vms = 9, .perSecond = 20, .askedPerSecond = 100}},
        {"9 VMs, 1.1/s, 9 restarts", {.vms = 9, .perSecond = 1.1, .restarts = 9}},
        {"9 VMs, 1.1/s, 3 join", {.vms = 9, .perSecond = 1.1, .joining = 3}},
        {"9 VMs, 1.1/s, named anew each s", {.vms = 9, .perSecond = 1.1, .namesAnew = 1}},
        {"9 VMs, 1.1/s, clocks off by 0.5 s", {.vms = 9, .perSecond = 1.1, .clockError = std::chrono::milliseconds(500)}},
        {"63 VMs, 0.5/s", {.vms = 63, .perSecond = 0.5, .askedPerSecond = 150}},
        {"63 VMs, 0.5/s, a burst of 20", {.vms = 63, .perSecond = 0.5, .askedPerSecond = 5, .burstFactor = 20}},
        {"63 VMs, 5/s, 20 restarts", {.vms = 63, .perSecond = 5, .askedPerSecond = 60, .restarts = 20}},
        {"295 VMs, 0.5/s", {.vms = 295, .perSecond = 0.5, .askedPerSecond = 600}},
        {"295 VMs, 2/s, uneven callers", {.vms = 295, .perSecond = 2, .askedPerSecond = 600, .unevenness = 1}}};
}

} // namespace

/// Compares ways of holding to a server's limit over all VMs. Of each way: plays in which the server got more than it bears, the most
/// that it got as a part of that, and how much of the limit was used.
int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 10;
    fmt::print("{:36} {:21}  {:21}  {:21}\n", "broken, worst, used", "turns", "even shares", "allowance");
    for (const Row &row : rows()) {
        std::vector<std::future<Sums>> ways;
        for (const Way way : {Way::Turns, Way::EvenShares, Way::Allowance}) {
            Scenario scenario = row.scenario;
            scenario.way = way;
            ways.push_back(std::async(std::launch::async, playAll, scenario, seeds));
        }
        fmt::print("{:36}", row.name);
        for (auto &way : ways) {
            fmt::print(" {:21} ", cell(way.get(), seeds));
        }
        fmt::print("\n");
    }
    return 0;
}
