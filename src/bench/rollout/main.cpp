#include "rollout/tests/rolloutmodel.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <future>
#include <string_view>
#include <thread>

using namespace cardamomlift;
using namespace cardamomlift::rollout;

namespace {

/// One row of the table: many seeds of one scenario.
struct Cell {
    std::string_view name;
    model::Scenario scenario;
};

struct Result {
    int plays = 0;
    int succeeded = 0;
    int overExposed = 0;
    int leftLate = 0; ///< More than rollbackWithin after the fiftieth bad answer.
    double exposed = 0;
    double endedSeconds = 0;
};

bool leftLate(const model::SimulationResult &outcome)
{
    return outcome.fiftiethBadAt && outcome.lastSendAt && *outcome.lastSendAt - *outcome.fiftiethBadAt > RolloutLimits().rollbackWithin;
}

Result play(const Cell &cell, int from, int to)
{
    Result result;
    for (int seed = from; seed < to; seed++) {
        model::Scenario scenario = cell.scenario;
        scenario.seed = static_cast<std::uint64_t>(seed) + 1;
        const model::SimulationResult outcome = model::Simulation(scenario).run();
        const bool isBad = scenario.fault != model::Fault::None;
        result.plays++;
        result.succeeded += outcome.phase == Phase::Succeeded ? 1 : 0;
        result.overExposed += isBad && static_cast<double>(outcome.exposed) > outcome.exposureBound ? 1 : 0;
        result.leftLate += isBad && leftLate(outcome) ? 1 : 0;
        result.exposed += static_cast<double>(outcome.exposed);
        result.endedSeconds += std::chrono::duration<double>(outcome.endedAt).count();
    }
    return result;
}

Result playAll(const Cell &cell, int seeds)
{
    const int jobs = std::max(1, static_cast<int>(std::thread::hardware_concurrency()) / 2);
    std::vector<std::future<Result>> parts;
    parts.reserve(static_cast<std::size_t>(jobs));
    for (int i = 0; i < jobs; i++) {
        parts.push_back(std::async(std::launch::async, play, cell, seeds * i / jobs, seeds * (i + 1) / jobs));
    }
    Result sum;
    for (auto &part : parts) {
        const Result result = part.get();
        sum.plays += result.plays;
        sum.succeeded += result.succeeded;
        sum.overExposed += result.overExposed;
        sum.leftLate += result.leftLate;
        sum.exposed += result.exposed;
        sum.endedSeconds += result.endedSeconds;
    }
    return sum;
}

/// The way of many tools: after twenty answers of the new version more than a tenth worse is bad, else good.
Verdict byFixedThreshold(const RolloutOutcomes &all, std::span<const RolloutOutcomes>)
{
    constexpr std::uint64_t Enough = 20;
    constexpr double Worse = 0.1;
    OutcomeCounts usual;
    OutcomeCounts trial;
    for (const auto &[route, evidence] : all) {
        usual += evidence.baseline;
        for (const auto &[server, counts] : evidence.trial) {
            trial += counts;
        }
    }
    Verdict verdict;
    verdict.trialSends = trial.total();
    verdict.trialBad = trial.failed;
    if (trial.total() < Enough || usual.total() < Enough) {
        return verdict;
    }
    const double usualShare = static_cast<double>(usual.failed) / static_cast<double>(usual.total());
    const double trialShare = static_cast<double>(trial.failed) / static_cast<double>(trial.total());
    verdict.finding = trialShare > usualShare + Worse ? Finding::Bad : Finding::Good;
    return verdict;
}

/// The likelihood ratio over all that was seen, without the last seconds by themselves.
Verdict byWholeTrial(const RolloutOutcomes &all, std::span<const RolloutOutcomes>)
{
    return evaluateTrial(all, {});
}

std::vector<Cell> cellsOf(const model::Scenario &base)
{
    using model::Fault;
    std::vector<Cell> cells;
    const auto add = [&](std::string_view name, auto change) {
        Cell cell{name, base};
        change(cell.scenario);
        cells.push_back(cell);
    };
    add("good", [](model::Scenario &) {});
    add("good, 30 s", [](model::Scenario &scenario) { scenario.timeLimit = std::chrono::seconds(30); });
    add("good, one grey server", [](model::Scenario &scenario) { scenario.noise.hasGreyServer = true; });
    add("good, one crashes", [](model::Scenario &scenario) { scenario.noise.hasCrash = true; });
    add("good, in a burst", [](model::Scenario &scenario) { scenario.noise.hasBurst = true; });
    add("fails", [](model::Scenario &scenario) { scenario.fault = Fault::Fails; });
    add("fails, 15 in 100", [](model::Scenario &scenario) {
        scenario.fault = Fault::Fails;
        scenario.portion = 0.15;
    });
    add("all slow", [](model::Scenario &scenario) {
        scenario.fault = Fault::Slow;
        scenario.portion = 1;
    });
    add("40 in 100 slow", [](model::Scenario &scenario) { scenario.fault = Fault::Slow; });
    add("turns bad", [](model::Scenario &scenario) { scenario.fault = Fault::TurnsBad; });
    add("fails under load", [](model::Scenario &scenario) { scenario.fault = Fault::FailsUnderLoad; });
    add("fails on one route", [](model::Scenario &scenario) { scenario.fault = Fault::FailsOnOneRoute; });
    return cells;
}

} // namespace

/// Prints what rollouts come to over many seeds, by each rule: bench-rollout [SEEDS]; with --check: fails if a bad version gets
/// more than it may by the rule in use.
int main(int argc, char **argv)
{
    const bool isCheck = argc > 1 && std::string_view(argv[1]) == "--check";
    const int seeds = argc > 1 && !isCheck ? std::atoi(argv[1]) : 200;
    struct Site {
        std::string_view name;
        model::Scenario scenario;
    };
    std::vector<Site> sites(4);
    sites[0] = {"8 VMs, 4 servers", {}};
    sites[0].scenario.vms = 8;
    sites[0].scenario.servers = 4;
    sites[0].scenario.requestsPerSecond = 32;
    sites[1] = {"63 VMs, 4 servers", {}};
    sites[1].scenario.servers = 4;
    sites[1].scenario.requestsPerSecond = 190;
    sites[2] = {"63 VMs, 112 servers", {}};
    sites[3] = {"300 VMs, 204 servers", {}};
    sites[3].scenario.vms = 300;
    sites[3].scenario.servers = 204;
    sites[3].scenario.requestsPerSecond = 1000;
    struct Rule {
        std::string_view name;
        decltype(model::Scenario::rule) rule;
    };
    const std::array<Rule, 3> rules{Rule{"in use", evaluateTrial}, Rule{"whole trial", byWholeTrial}, Rule{"threshold", byFixedThreshold}};
    int broken = 0;
    fmt::print(
        "{:<12} {:<21} {:<23} {:>9} {:>11} {:>9} {:>8} {:>7}\n", "rule", "site", "version", "succeeded", "overexposed", "left late", "exposed", "ended s");
    for (const Rule &rule : rules) {
        for (Site &site : sites) {
            site.scenario.rule = rule.rule;
            for (const Cell &cell : cellsOf(site.scenario)) {
                const Result result = playAll(cell, seeds);
                const double plays = std::max(1, result.plays);
                broken += rule.rule == evaluateTrial ? result.overExposed + result.leftLate : 0;
                fmt::print("{:<12} {:<21} {:<23} {:>9.4f} {:>11} {:>9} {:>8.0f} {:>7.2f}\n",
                    rule.name,
                    site.name,
                    cell.name,
                    result.succeeded / plays,
                    result.overExposed,
                    result.leftLate,
                    result.exposed / plays,
                    result.endedSeconds / plays);
            }
        }
    }
    fmt::print("Over a bound by the rule in use: {} plays.\n", broken);
    return isCheck && broken > 0 ? 1 : 0;
}
