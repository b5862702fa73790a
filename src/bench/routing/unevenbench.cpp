#include "bench/routing/unevenbench.h"

#include "balancing/tests/servermodel.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <vector>

namespace cardamomlift::bench {

namespace {

using balancing::Candidate;
using balancing::ModelRequest;
using balancing::ServerModel;

constexpr double Seconds = 8;
constexpr double WarmUpSeconds = 2;
constexpr double ReportAge = 0.2;
constexpr double FastPace = 0.55;
constexpr double SlowPace = 1.3;
constexpr double LongShare = 0.24;
constexpr double ShortGoal = 0.4;
constexpr std::int64_t LongestPrompt = 54'600;
constexpr std::int64_t MeanTokens = 4'000;
constexpr double Percentile = 0.95;
constexpr double MillisecondsPerSecond = 1000;

enum class Policy { LeastInFlight, RandomOfTwo, WithoutPaces, Ours };
constexpr std::array<std::pair<Policy, const char *>, 4> Policies{
    {{Policy::LeastInFlight, "least in flight"}, {Policy::RandomOfTwo, "random of two"}, {Policy::WithoutPaces, "without paces"}, {Policy::Ours, "ours"}}};

const std::array<UnevenScenario, 2> Scenarios{{{"uneven servers", false, 2'000}, {"long beside short", true, 670}}};

std::size_t fewerInFlight(std::span<const Candidate> candidates, std::size_t a, std::size_t b)
{
    return candidates[b].load.localOpenRequests < candidates[a].load.localOpenRequests ? b : a;
}

std::size_t leastInFlight(std::span<const Candidate> candidates, std::uint64_t salt)
{
    std::size_t best = salt % candidates.size();
    for (std::size_t i = 0; i < candidates.size(); i++) {
        best = fewerInFlight(candidates, best, i);
    }
    return best;
}

std::size_t randomOfTwo(std::span<const Candidate> candidates, std::uint64_t salt)
{
    return fewerInFlight(candidates, salt % candidates.size(), salt / candidates.size() % candidates.size());
}

ServerModel modelFor(const UnevenScenario &scenario, Policy policy)
{
    ServerModel::Settings settings;
    settings.reportAge = ReportAge;
    settings.slowdown = 1;
    settings.requestsPerSecond = scenario.requestsPerSecond;
    settings.promptTokensPerSecond = scenario.requestsPerSecond * MeanTokens;
    ServerModel model(settings);
    for (std::size_t i = 0; i < settings.servers; i++) {
        model.truePace[i] = i % 3 == 0 ? FastPace : SlowPace;
        model.toldPace[i] = policy == Policy::Ours ? model.truePace[i] : 1;
    }
    if (policy == Policy::LeastInFlight) {
        model.chooser = [](std::span<const Candidate> candidates, const balancing::ChoiceInput &input) {
            return leastInFlight(candidates, input.salt);
        };
    }
    if (policy == Policy::RandomOfTwo) {
        model.chooser = [](std::span<const Candidate> candidates, const balancing::ChoiceInput &input) {
            return randomOfTwo(candidates, input.salt);
        };
    }
    return model;
}

ModelRequest nextRequest(ServerModel &model, const UnevenScenario &scenario)
{
    std::uniform_real_distribution<double> share(0, 1);
    if (scenario.hasLongPrompts && share(model.random()) < LongShare) {
        std::lognormal_distribution<double> tokens(9.2, 0.9);
        return {0.6, std::min(LongestPrompt, std::int64_t(tokens(model.random()))), 0.6};
    }
    return share(model.random()) < 0.4 ? ModelRequest{0.45, 628, ShortGoal} : ModelRequest{0.05, 1'800, ShortGoal};
}

} // namespace

std::span<const UnevenScenario> unevenScenarios()
{
    return Scenarios;
}

void printUnevenScenario(const UnevenScenario &scenario)
{
    fmt::print("\n{}: 88 entry VMs, 90 engines, a third 2.4 times as fast, {} requests/s\n", scenario.name, scenario.requestsPerSecond);
    fmt::print("{:16} {:>14} {:>14}\n", "policy", "short on time", "short p95 ms");
    for (const auto &[policy, name] : Policies) {
        ServerModel model = modelFor(scenario, policy);
        std::exponential_distribution<double> gap(scenario.requestsPerSecond);
        balancing::ChoiceInput input;
        input.prefillTokensPerSecond = ServerModel::Settings().tokensPerSecond;
        std::vector<double> times;
        for (double now = 0; now < Seconds; now += gap(model.random())) {
            const ModelRequest request = nextRequest(model, scenario);
            const double time = model.send(request, now, input);
            if (now > WarmUpSeconds && request.goal == ShortGoal) {
                times.push_back(time);
            }
        }
        std::sort(times.begin(), times.end());
        const auto onTime = std::upper_bound(times.begin(), times.end(), ShortGoal) - times.begin();
        fmt::print("{:16} {:14.4f} {:14.0f}\n",
            name,
            static_cast<double>(onTime) / static_cast<double>(times.size()),
            times[static_cast<std::size_t>(Percentile * static_cast<double>(times.size() - 1))] * MillisecondsPerSecond);
    }
}

} // namespace cardamomlift::bench
