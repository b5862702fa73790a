#include "balancing/tests/servermodel.h"

#include <gtest/gtest.h>

#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <limits>
#include <set>

namespace cardamomlift::balancing {

namespace {

using std::chrono::milliseconds;

constexpr double WarmUpSeconds = 2;
constexpr double RunSeconds = 20;
/// A service for whole answers: four servers with six slots.
constexpr std::array<double, 4> PlainSpeeds{1 / 1.7, 1 / 1.7, 1 / 0.7, 1 / 0.7};

/// Requests for whole answers that take the same time.
struct PlainLoad {
    double perSecond = 0;
    double work = 0;
    double goal = 0;
};

ServerModel::Settings plainService(double perSecond)
{
    ServerModel::Settings settings;
    settings.vms = 78;
    settings.servers = 4;
    settings.slots = 6;
    settings.requestsPerSecond = perSecond;
    return settings;
}

ServerModel::Settings eightServers()
{
    ServerModel::Settings settings;
    settings.vms = 4;
    settings.servers = 8;
    settings.slots = 2;
    settings.requestsPerSecond = 80;
    return settings;
}

/// The fraction of requests that keep their goal. @p beforeEach is called before each request, with its time.
double onTime(ServerModel &model, const PlainLoad &load, const std::function<void(double)> &beforeEach = {})
{
    std::exponential_distribution<double> gap(load.perSecond);
    double total = 0;
    double kept = 0;
    for (double now = 0; now < RunSeconds; now += gap(model.random())) {
        if (beforeEach) {
            beforeEach(now);
        }
        const bool keeps = model.send({load.work, 0, load.goal}, now) <= load.goal;
        total += now > WarmUpSeconds ? 1 : 0;
        kept += now > WarmUpSeconds && keeps ? 1 : 0;
    }
    return kept / total;
}

void setPaces(ServerModel &model, std::span<const double> paces, bool isTold)
{
    for (std::size_t i = 0; i < paces.size(); i++) {
        model.truePace[i] = paces[i];
        model.toldPace[i] = isTold ? paces[i] : 1;
    }
}

// Load: 80 requests a second of 60 ms for eight servers with two slots, two of which tell that they take four times as long.
TEST(UnevenServers, RequestsKeepTheirGoalWhenTwoOfEightServersTellThatTheyAreSlow)
{
    constexpr std::array<double, 2> Slow{4, 4};
    const PlainLoad load{80, 0.06, 0.15};
    double even = 0;
    double uneven = 0;
    constexpr unsigned Seeds = 5;
    for (unsigned seed = 1; seed <= Seeds; seed++) {
        ServerModel::Settings settings = eightServers();
        settings.seed = seed;
        ServerModel untold(settings);
        setPaces(untold, Slow, false);
        even += onTime(untold, load) / Seeds;
        ServerModel told(settings);
        setPaces(told, Slow, true);
        uneven += onTime(told, load) / Seeds;
    }
    EXPECT_GE(uneven, 0.95);
    EXPECT_LT(even, 0.9) << "the slow servers are to matter";
    RecordProperty("told", std::to_string(uneven));
    RecordProperty("untold", std::to_string(even));
}

// Load: four servers with six slots, two at 1.7 and two at 0.7 of the mean speed, which the VMs have learnt, used to three quarters.
TEST(UnevenServers, RequestsKeepTheirGoalAtServersOfLearntSpeeds)
{
    const PlainLoad load{400, 0.045, 0.15};
    ServerModel learnt(plainService(load.perSecond));
    setPaces(learnt, PlainSpeeds, true);
    EXPECT_GE(onTime(learnt, load), 0.95);
    ServerModel unknown(plainService(load.perSecond));
    setPaces(unknown, PlainSpeeds, false);
    EXPECT_LT(onTime(unknown, load), 0.9) << "the speeds are to matter";
}

// Load: each server works 2.5 times as long for 0.15 of the time, another set each 600 ms.
TEST(UnevenServers, RequestsKeepTheirGoalWhilePacesMove)
{
    const PlainLoad load{230, 0.04, 0.15};
    ServerModel model(plainService(load.perSecond));
    double changesAt = 0;
    const auto movePaces = [&](double now) {
        if (now < changesAt) {
            return;
        }
        changesAt = now + 0.6;
        for (std::size_t i = 0; i < model.truePace.size(); i++) {
            model.truePace[i] = model.random()() % 100 < 15 ? 2.5 : 1;
            model.toldPace[i] = model.truePace[i];
        }
    };
    EXPECT_GE(onTime(model, load, movePaces), 0.97);
}

// Load: servers that take up to twice as long as they fill, at paces of 0.7 to 1.3.
TEST(UnevenServers, AServerThatSlowsDownAsItFillsIsLeftInTime)
{
    constexpr std::array<double, 4> Paces{0.7, 1, 1, 1.3};
    const PlainLoad load{150, 0.045, 0.15};
    ServerModel::Settings settings = plainService(load.perSecond);
    settings.slowdown = 1;
    settings.reportAge = 0.2;
    ServerModel model(settings);
    setPaces(model, Paces, true);
    EXPECT_GE(onTime(model, load), 0.97);
}

/// What a run of streams at 90 engines gave.
struct StreamOutcome {
    double onTime = 0;
    double busiestOverMean = 0; ///< Of the time that open requests take, mean over samples.
};

/// 88 VMs send prompts to 90 engines, a third of which are 2.4 times as fast as the others; all VMs know it.
StreamOutcome runStreams(double reportAge, const ChoiceParameters &parameters)
{
    ServerModel::Settings settings;
    settings.reportAge = reportAge;
    settings.requestsPerSecond = 1'300;
    settings.promptTokensPerSecond = settings.requestsPerSecond * 3'300;
    settings.slowdown = 1;
    ServerModel model(settings);
    model.parameters = parameters;
    for (std::size_t i = 0; i < settings.servers; i++) {
        model.truePace[i] = i % 3 == 0 ? 0.55 : 1.3;
    }
    model.toldPace = model.truePace;
    ChoiceInput input;
    input.prefillTokensPerSecond = settings.tokensPerSecond;
    std::exponential_distribution<double> gap(settings.requestsPerSecond);
    StreamOutcome outcome;
    double total = 0;
    double samples = 0;
    double sampledAt = WarmUpSeconds;
    for (double now = 0; now < 6; now += gap(model.random())) {
        const double kind = std::uniform_real_distribution<double>(0, 1)(model.random());
        const ModelRequest request = kind < 0.3 ? ModelRequest{0.6, 8'000, 0.6} : kind < 0.6 ? ModelRequest{0.45, 600, 0.4} : ModelRequest{0.05, 1'800, 0.4};
        const bool keeps = model.send(request, now, input) <= request.goal;
        total += now > WarmUpSeconds ? 1 : 0;
        outcome.onTime += now > WarmUpSeconds && keeps ? 1 : 0;
        if (now > sampledAt) {
            sampledAt += 0.1;
            double sum = 0;
            double most = 0;
            for (std::size_t i = 0; i < settings.servers; i++) {
                const double time = model.openAt(i, now) * model.truePace[i];
                sum += time;
                most = std::max(most, time);
            }
            outcome.busiestOverMean += most / (sum / static_cast<double>(settings.servers));
            samples++;
        }
    }
    outcome.onTime /= total;
    outcome.busiestOverMean /= samples;
    return outcome;
}

// Load: 88 VMs that know the same of 90 engines, 100 and 200 ms late, so that all see the same engine as the cheapest.
TEST(UnevenServers, VmsThatKnowTheSameDoNotRunToTheSameServer)
{
    for (const double age : {0.1, 0.2}) {
        ChoiceParameters cheapestOnly;
        cheapestOnly.unknownCost = std::numeric_limits<double>::infinity();
        const StreamOutcome before = runStreams(age, cheapestOnly);
        const StreamOutcome after = runStreams(age, {});
        EXPECT_LT(after.busiestOverMean, before.busiestOverMean * 0.7) << age;
        EXPECT_GT(after.onTime, before.onTime + 0.1) << age;
        EXPECT_GE(after.onTime, 0.95) << age;
        std::printf("reports %.0f ms old: busiest over mean %.2f, was %.2f; in time %.3f, was %.3f\n",
            age * 1000,
            after.busiestOverMean,
            before.busiestOverMean,
            after.onTime,
            before.onTime);
    }
}

constexpr std::int64_t LongestPrompt = 54'600;

// Load: prompts of up to 54,600 tokens beside short ones that are due in 400 ms, from 88 VMs with reports 350 ms old, at 90 engines of
// which a third are 2.4 times as fast; the engines read one prompt after the other.
TEST(UnevenServers, ShortPromptsBeginInTimeBesideLongOnes)
{
    const auto shortOnTime = [](const ChoiceParameters &parameters, bool isTold) {
        ServerModel::Settings settings;
        settings.reportAge = 0.35;
        settings.requestsPerSecond = 670;
        settings.promptTokensPerSecond = settings.requestsPerSecond * 4'000;
        ServerModel model(settings);
        model.parameters = parameters;
        for (std::size_t i = 0; i < settings.servers; i++) {
            model.truePace[i] = i % 3 == 0 ? 0.55 : 1.3;
            model.toldPace[i] = isTold ? model.truePace[i] : 1;
        }
        ChoiceInput input;
        input.prefillTokensPerSecond = settings.tokensPerSecond;
        std::exponential_distribution<double> gap(settings.requestsPerSecond);
        std::lognormal_distribution<double> longPrompt(9.2, 0.9);
        double total = 0;
        double kept = 0;
        for (double now = 0; now < 8; now += gap(model.random())) {
            const double kind = std::uniform_real_distribution<double>(0, 1)(model.random());
            if (kind < 0.24) {
                model.send({0.6, std::min(LongestPrompt, std::int64_t(longPrompt(model.random()))), 0.6}, now, input);
                continue;
            }
            const ModelRequest request = kind < 0.52 ? ModelRequest{0.45, 628, 0.4} : ModelRequest{0.05, 1'800, 0.4};
            const bool keeps = model.send(request, now, input) <= request.goal;
            total += now > WarmUpSeconds ? 1 : 0;
            kept += now > WarmUpSeconds && keeps ? 1 : 0;
        }
        return kept / total;
    };
    ChoiceParameters cheapestOnly;
    cheapestOnly.unknownCost = std::numeric_limits<double>::infinity();
    const double untold = shortOnTime({}, false);
    const double cheapest = shortOnTime(cheapestOnly, true);
    const double chosen = shortOnTime({}, true);
    std::printf("short prompts in time: %.3f; %.3f always at the cheapest engine, %.3f without paces\n", chosen, cheapest, untold);
    EXPECT_GE(chosen, 0.97);
    EXPECT_GT(chosen, untold + 0.05);
    EXPECT_GT(chosen, cheapest + 0.05);
}

// Load: eight servers, one of which says that it is ten times as fast as it is, or what cannot be true.
TEST(UnevenServers, ALiarNeitherDrawsAllWorkNorEmptiesTheRest)
{
    const PlainLoad load{80, 0.06, 0.15};
    const std::array<double, 7> lies{0.1, 0.0001, 0, -3, NAN, std::numeric_limits<double>::infinity(), 1e9};
    for (const double lie : lies) {
        ServerModel model(eightServers());
        model.toldPace[3] = lie;
        EXPECT_GE(onTime(model, load), 0.95) << lie;
        double total = 0;
        for (std::size_t i = 0; i < model.toldPace.size(); i++) {
            total += static_cast<double>(model.sentTo(i));
        }
        EXPECT_LT(static_cast<double>(model.sentTo(3)), total * 0.5) << lie;
        for (std::size_t i = 0; i < model.toldPace.size(); i++) {
            EXPECT_TRUE(i == 3 || static_cast<double>(model.sentTo(i)) > total * 0.03) << lie << " " << i;
        }
    }
}

TEST(UnevenServers, APaceIsBoundedAndImpossibleOnesCountAsNone)
{
    const ChoiceParameters parameters;
    EXPECT_EQ(effectivePace(2, true, parameters), 2);
    EXPECT_EQ(effectivePace(1.05, false, parameters), 1);
    EXPECT_EQ(effectivePace(1.5, false, parameters), 1.5);
    EXPECT_EQ(effectivePace(1.5, true, parameters), 1) << "what is cached of a prompt is worth more";
    EXPECT_EQ(effectivePace(0, false, parameters), 1);
    EXPECT_EQ(effectivePace(-1, false, parameters), 1);
    EXPECT_EQ(effectivePace(NAN, false, parameters), 1);
    EXPECT_EQ(effectivePace(0.001, false, parameters), parameters.minPace);
    EXPECT_EQ(effectivePace(1e6, false, parameters), parameters.maxPace);
}

TEST(UnevenServers, TheTokensOfAFullServerFollowTheRateWithinBounds)
{
    const ChoiceParameters parameters;
    EXPECT_EQ(tokensPerFullServer(0, parameters), 40'000);
    EXPECT_EQ(tokensPerFullServer(-1, parameters), 40'000);
    EXPECT_EQ(tokensPerFullServer(NAN, parameters), 40'000);
    EXPECT_NEAR(tokensPerFullServer(65'000, parameters), 40'000, 100);
    EXPECT_NEAR(tokensPerFullServer(140'000, parameters), 86'000, 500);
    EXPECT_EQ(tokensPerFullServer(1, parameters), parameters.minTokensPerFullServer);
    EXPECT_EQ(tokensPerFullServer(1e9, parameters), parameters.maxTokensPerFullServer);
}

/// The choice as it is where nothing is known of paces: least open requests over slots plus waiting tokens, ties by hash.
std::size_t plainChoice(std::span<const Candidate> candidates, const ChoiceInput &input)
{
    const RendezvousRanker ranker(input.affinity);
    std::size_t best = 0;
    double lowest = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < candidates.size(); i++) {
        const ServerLoad &load = candidates[i].load;
        const double slots = candidates[i].server->server.slots;
        const double tokens = static_cast<double>(load.localWaitingTokens + load.peerWaitingTokens + input.promptTokens);
        const double cost = load.localOpenRequests / slots + tokens / 40'000 + (candidates[i].server->server.zone == input.zone ? 0 : 0.3 / slots);
        if (cost < lowest) {
            lowest = cost;
            best = i;
        }
    }
    return best;
}

// Load: servers of which nobody has told or learnt a pace, at uneven loads, whatever the other VMs send.
TEST(UnevenServers, EvenServersAreChosenAsWithoutPaces)
{
    std::mt19937 random(7);
    std::vector<directory::KnownServer> servers(12);
    for (int round = 0; round < 2'000; round++) {
        std::vector<Candidate> candidates(servers.size());
        std::set<double> costs;
        for (std::size_t i = 0; i < servers.size(); i++) {
            servers[i].server.instance = "server-" + std::to_string(i);
            servers[i].server.slots = 2 + static_cast<int>(i % 3) * 7;
            servers[i].server.zone = i % 2 == 0 ? "here" : "there";
            candidates[i].server = &servers[i];
            candidates[i].pace = 1 + (static_cast<double>(random() % 100) / 100 - 0.5) * 0.19;
            candidates[i].load.localOpenRequests = static_cast<int>(random() % 20);
            candidates[i].load.localWaitingTokens = static_cast<std::int64_t>(random() % 50'000);
            candidates[i].load.peerWaitingTokens = static_cast<std::int64_t>(random() % 50'000);
        }
        ChoiceInput input;
        input.zone = "here";
        input.promptTokens = static_cast<std::int64_t>(random() % 10'000);
        input.peerOpenRequests = random() % 500;
        input.peerRequestsPerSecond = random() % 3'000;
        input.peerTokensPerSecond = random() % 3'000'000;
        input.salt = random();
        EXPECT_EQ(*choose(candidates, input, {}, TimePoint(std::chrono::hours(1))), plainChoice(candidates, input));
    }
}

// Load: prompts whose shared part one of many uneven servers has cached, while the other VMs send much.
TEST(UnevenServers, ACachedPartIsUsedAlsoWhileOthersSendMuch)
{
    ServerModel model({});
    for (std::size_t i = 0; i < model.toldPace.size(); i++) {
        model.toldPace[i] = i % 3 == 0 ? 0.55 : 1.3;
    }
    std::vector<Candidate> candidates = model.candidates(0, 1);
    candidates[30].cachedTokens = 5'000;
    ChoiceInput input;
    input.promptTokens = 6'000;
    input.fetchableTokens = 5'000;
    input.prefillTokensPerSecond = 100'000;
    input.peerOpenRequests = 400;
    input.peerRequestsPerSecond = 1'000;
    input.peerTokensPerSecond = 2'000'000;
    for (input.salt = 0; input.salt < 50; input.salt++) {
        EXPECT_EQ(choose(candidates, input, {}, TimePoint(std::chrono::hours(1))), 30U);
    }
}

// Load: half of all requests share one part of their prompts, which one of 90 uneven servers has cached.
TEST(UnevenServers, HowManyServersServeAHotPartFollowsItsDemand)
{
    ServerModel model({});
    for (std::size_t i = 0; i < model.toldPace.size(); i++) {
        model.toldPace[i] = i % 3 == 0 ? 0.55 : 1.3;
    }
    std::vector<Candidate> candidates = model.candidates(0, 1);
    candidates[30].cachedTokens = 5'000;
    const auto serversUsed = [&](double share, double perSecond) {
        ChoiceInput input;
        input.promptTokens = 6'000;
        input.fetchableTokens = 5'000;
        input.prefillTokensPerSecond = 100'000;
        input.peerOpenRequests = perSecond / 2;
        input.peerRequestsPerSecond = perSecond;
        input.peerTokensPerSecond = perSecond * 2'000;
        input.affinity = "part";
        input.affinityShare = share;
        std::set<std::size_t> used;
        for (std::uint64_t i = 0; i < 500; i++) {
            input.salt = model.random()();
            used.insert(*choose(candidates, input, {}, TimePoint(std::chrono::hours(1))));
        }
        return used.size();
    };
    EXPECT_EQ(serversUsed(0, 1'000), 1U);
    EXPECT_EQ(serversUsed(0.01, 1'000), 1U);
    const std::size_t few = serversUsed(0.1, 1'000);
    const std::size_t many = serversUsed(0.5, 1'000);
    EXPECT_GT(few, 2U);
    EXPECT_GT(many, 2 * few);
    EXPECT_LT(many, candidates.size() * 3 / 4);
    EXPECT_EQ(serversUsed(0.5, 10), 1U) << "one server is enough again when few ask for it";
    EXPECT_EQ(serversUsed(NAN, 1'000), 1U);
}

} // namespace

} // namespace cardamomlift::balancing
