// Routing decisions beside their baselines, and the cost of one decision. --check compares with the checked-in bounds.

#include "balancing/choose.h"
#include "bench/routing/decisionbench.h"
#include "bench/routing/unevenbench.h"
#include "http/json.h"
#include "kernel/clock.h"
#include "routing/router.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstring>
#include <fstream>
#include <map>
#include <sstream>

namespace {

using namespace cardamomlift;
using bench::Outcome;
using bench::Policy;

constexpr char DefaultBounds[] = "bench/baselines/routing.json";
constexpr std::array<Policy, 4> Policies{Policy::RoundRobin, Policy::LeastInFlight, Policy::RandomOfTwo, Policy::Ours};

void oneDecision(benchmark::State &state)
{
    const ManualClock clock;
    const auto members = membership::Members::create("entry-1");
    std::vector<membership::Vm> list;
    for (int i = 0; i < state.range(0); i++) {
        membership::Vm vm;
        vm.instance = fmt::format("engine-{}", i);
        vm.role = membership::VmRole::Model;
        vm.zone = fmt::format("zone-{}", i % 11);
        vm.serves = {"model"};
        list.push_back(std::move(vm));
    }
    members->applyList(list);
    const auto router = routing::Router::create(clock, members);
    routing::RouteCriteria criteria;
    criteria.name = "model";
    criteria.customer = "customer";
    criteria.promptTokens = 1000;
    for (auto _ : state) {
        criteria.prefixHash += 0x9E3779B97F4A7C15U;
        benchmark::DoNotOptimize(router->choose(criteria));
    }
}
BENCHMARK(oneDecision)->Arg(12)->Arg(120)->Arg(1100);

/// A choice among servers of different paces, each at some load.
void oneUnevenChoice(benchmark::State &state)
{
    const auto count = static_cast<std::size_t>(state.range(0));
    const TimePoint now(std::chrono::hours(1));
    std::vector<directory::KnownServer> servers(count);
    std::vector<balancing::Candidate> candidates(count);
    for (std::size_t i = 0; i < count; i++) {
        servers[i].server.instance = fmt::format("engine-{}", i);
        servers[i].server.slots = 16;
        candidates[i].server = &servers[i];
        candidates[i].pace = i % 3 == 0 ? 0.55 : 1.3;
        candidates[i].load.reportedAt = now;
        candidates[i].load.reportedRequests = static_cast<int>(i * 7 % 11);
    }
    balancing::ChoiceInput input;
    input.promptTokens = 1'800;
    input.prefillTokensPerSecond = 100'000;
    input.peerOpenRequests = 300;
    input.peerRequestsPerSecond = 1'000;
    input.peerTokensPerSecond = 2'000'000;
    for (auto _ : state) {
        input.salt += 0x9E3779B97F4A7C15U;
        benchmark::DoNotOptimize(balancing::choose(candidates, input, {}, now));
    }
}
BENCHMARK(oneUnevenChoice)->Arg(100);

/// Keeps the time of each run for the check, and prints as usual.
class KeepingReporter : public benchmark::ConsoleReporter
{
public:
    void ReportRuns(const std::vector<Run> &runs) override
    {
        for (const Run &run : runs) {
            nanoseconds[run.benchmark_name()] = run.GetAdjustedCPUTime();
        }
        ConsoleReporter::ReportRuns(runs);
    }

    std::map<std::string, double> nanoseconds;
};

std::vector<bench::Scenario> scenarios()
{
    bench::Scenario today;
    today.name = "8x12";
    bench::Scenario larger;
    larger.name = "40x120";
    larger.entries = 40;
    larger.engines = 120;
    larger.prefixes = 400;
    larger.requestsPerSecond = 480;
    larger.seconds = 60;
    larger.waveAtSecond = 40;
    return {today, larger};
}

/// Each figure as ours over the best baseline's, so that it does not hang on the machine.
std::map<std::string, double> ratios(const std::map<Policy, Outcome> &outcomes)
{
    std::map<std::string, double> result;
    const auto add = [&](const char *name, double Outcome::*field) {
        double best = HUGE_VAL;
        for (const auto &[policy, outcome] : outcomes) {
            best = policy == Policy::Ours ? best : std::min(best, outcome.*field);
        }
        result[name] = outcomes.at(Policy::Ours).*field / best;
    };
    add("p50", &Outcome::p50Ms);
    add("p95", &Outcome::p95Ms);
    add("urgentP95", &Outcome::urgentP95Ms);
    add("recomputedTokens", &Outcome::recomputedTokens);
    add("cost", &Outcome::cost);
    add("attempts", &Outcome::attemptsPerRequest);
    result["lost"] = static_cast<double>(outcomes.at(Policy::Ours).lost);
    return result;
}

std::map<std::string, double> printScenario(const bench::Scenario &scenario)
{
    fmt::print("\n{}: {} entry VMs, {} engines, {} requests/s, a zone dies at {} s\n",
        scenario.name,
        scenario.entries,
        scenario.engines,
        scenario.requestsPerSecond,
        scenario.waveAtSecond);
    fmt::print("{:16} {:>8} {:>8} {:>11} {:>14} {:>12} {:>8} {:>9} {:>9} {:>5}\n",
        "policy",
        "p50 ms",
        "p95 ms",
        "urgent p95",
        "urgent on time",
        "recomputed",
        "cost",
        "max/mean",
        "attempts",
        "lost");
    std::map<Policy, Outcome> outcomes;
    for (const Policy policy : Policies) {
        const Outcome outcome = bench::runScenario(scenario, policy);
        outcomes[policy] = outcome;
        fmt::print("{:16} {:8.0f} {:8.0f} {:11.0f} {:14.4f} {:12.0f} {:8.4f} {:9.2f} {:9.3f} {:5}\n",
            bench::policyName(policy),
            outcome.p50Ms,
            outcome.p95Ms,
            outcome.urgentP95Ms,
            outcome.urgentOnTime,
            outcome.recomputedTokens,
            outcome.cost,
            outcome.maxToMeanLoad,
            outcome.attemptsPerRequest,
            outcome.lost);
    }
    return ratios(outcomes);
}

/// Prints each figure beside its bound; false if one is broken.
bool withinBounds(const std::map<std::string, double> &figures, const std::string &file)
{
    std::ifstream input(file);
    std::stringstream text;
    text << input.rdbuf();
    const auto bounds = http::parseJson(text.str());
    if (!bounds || !bounds->isObject()) {
        fmt::print("There are no bounds in {}.\n", file);
        return false;
    }
    bool good = true;
    for (const auto &[name, value] : figures) {
        const Json::Value bound = bounds->get(name, Json::Value());
        const bool holds = bound.isNumeric() && value <= bound.asDouble();
        fmt::print(
            "{:32} {:8.3f}  bound {}  {}\n", name, value, bound.isNumeric() ? fmt::format("{:.3f}", bound.asDouble()) : "missing", holds ? "holds" : "BROKEN");
        good = good && holds;
    }
    return good;
}

} // namespace

int main(int argc, char **argv)
{
    const bool check = argc > 1 && std::strcmp(argv[1], "--check") == 0;
    const std::string file = argc > 2 ? argv[2] : DefaultBounds;
    std::map<std::string, double> figures;
    for (const bench::Scenario &scenario : scenarios()) {
        for (const auto &[name, value] : printScenario(scenario)) {
            figures[scenario.name + "." + name] = value;
        }
    }
    for (const bench::UnevenScenario &scenario : bench::unevenScenarios()) {
        bench::printUnevenScenario(scenario);
    }
    fmt::print("\n");
    int one = 1;
    benchmark::Initialize(&one, argv);
    KeepingReporter reporter;
    benchmark::RunSpecifiedBenchmarks(&reporter);
    figures["decision.1100over12"] = reporter.nanoseconds["oneDecision/1100"] / reporter.nanoseconds["oneDecision/12"];
    fmt::print("\nOurs over the best baseline of the same run (lower is better):\n");
    const bool good = withinBounds(figures, file);
    return check && !good ? 1 : 0;
}
