#include "balancing/choose.h"
#include "forwarding/peerbacklog.h"

#include <gtest/gtest.h>

#include <cmath>
#include <random>

namespace cardamomlift::forwarding {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Server = 7;
const TimePoint Start(std::chrono::hours(1));

std::vector<presence::ServerWork> report(std::int64_t tokens)
{
    return {{Server, tokens}};
}

TEST(PeerBacklog, SumsReportsAndAgesThemByThePrefillRate)
{
    PeerBacklog backlog;
    backlog.update("a", report(30'000), Start);
    backlog.update("b", report(10'000), Start);
    EXPECT_EQ(backlog.waitingTokens(Server, 0, Start), 40'000);
    EXPECT_EQ(backlog.waitingTokens(Server + 1, 0, Start), 0);
    EXPECT_EQ(backlog.waitingTokens(Server, 0, Start + milliseconds(250)), 20'000) << "a server prefills about 40,000 tokens per second";
    EXPECT_EQ(backlog.waitingTokens(Server, 0, Start + std::chrono::seconds(5)), 0);
}

TEST(PeerBacklog, AgesReportsByTheRateOfTheServerWithinBounds)
{
    PeerBacklog backlog;
    backlog.update("a", report(30'000), Start);
    EXPECT_EQ(backlog.waitingTokens(Server, 100'000, Start + milliseconds(250)), 5'000);
    EXPECT_EQ(backlog.waitingTokens(Server, -1, Start + milliseconds(250)), 20'000) << "as if it were not known";
    EXPECT_EQ(backlog.waitingTokens(Server, NAN, Start + milliseconds(250)), 20'000);
    EXPECT_GT(backlog.waitingTokens(Server, 1e12, Start + milliseconds(20)), 0) << "a server is not taken for infinitely fast";
    EXPECT_EQ(backlog.waitingTokens(Server, 0.001, Start + std::chrono::seconds(8)), 0) << "nor for one that stands still";
}

TEST(PeerBacklog, ANewReportReplacesTheVmsPreviousOne)
{
    PeerBacklog backlog;
    backlog.update("a", report(30'000), Start);
    backlog.update("a", report(5'000), Start);
    EXPECT_EQ(backlog.waitingTokens(Server, 0, Start), 5'000);
    backlog.update("a", {}, Start);
    EXPECT_EQ(backlog.waitingTokens(Server, 0, Start), 0);
}

/// Six VMs send prompts of very uneven length to twelve engines that prefill one prompt after the other, at two fifths of
/// the engines' capacity: the usual load of a service for long documents. Each VM sends a sixth of the prompts.
class LongPromptSimulation
{
public:
    explicit LongPromptSimulation(bool sharesBacklogs)
        : sharesBacklogs_(sharesBacklogs)
        , backlogs_(Vms)
        , waiting_(Vms, std::vector<std::vector<Prompt>>(Engines))
    {
        for (std::size_t engine = 0; engine < Engines; engine++) {
            servers_[engine].server.instance = "engine-" + std::to_string(engine);
            servers_[engine].server.slots = 64;
        }
    }

    /// The fraction of prompts whose prefill ends later than one second after they were sent.
    double lateFraction(unsigned seed)
    {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> length(8.6, 1.1);
        std::exponential_distribution<double> interval(PromptsPerSecond);
        TimePoint nextReport = Start;
        TimePoint now = Start;
        int late = 0;
        for (int i = 0; i < Prompts; i++) {
            now += Duration(static_cast<std::int64_t>(interval(random) * 1e6));
            for (; nextReport <= now; nextReport += milliseconds(350)) {
                shareBacklogs(nextReport);
            }
            const auto tokens = static_cast<std::int64_t>(std::min(length(random), 60'000.0));
            late += send(random() % Vms, tokens, random(), now) > std::chrono::seconds(1) ? 1 : 0;
        }
        return static_cast<double>(late) / Prompts;
    }

private:
    static constexpr std::size_t Vms = 6;
    static constexpr std::size_t Engines = 12;
    static constexpr int Prompts = 4000;
    static constexpr double PromptsPerSecond = 20;
    static constexpr double PrefillTokensPerSecond = 38'000;
    struct Prompt {
        std::int64_t tokens = 0;
        TimePoint prefilledAt;
    };

    std::int64_t waitingAt(std::size_t vm, std::size_t engine, TimePoint now)
    {
        std::erase_if(waiting_[vm][engine], [now](const Prompt &prompt) { return prompt.prefilledAt <= now; });
        std::int64_t sum = 0;
        for (const Prompt &prompt : waiting_[vm][engine]) {
            sum += prompt.tokens;
        }
        return sum;
    }

    void shareBacklogs(TimePoint now)
    {
        for (std::size_t vm = 0; sharesBacklogs_ && vm < Vms; vm++) {
            std::vector<presence::ServerWork> report;
            for (std::size_t engine = 0; engine < Engines; engine++) {
                report.push_back({engine, waitingAt(vm, engine, now)});
            }
            for (std::size_t other = 0; other < Vms; other++) {
                if (other != vm) {
                    backlogs_[other].update(std::to_string(vm), report, now);
                }
            }
        }
    }

    Duration send(std::size_t vm, std::int64_t tokens, std::uint64_t salt, TimePoint now)
    {
        std::vector<balancing::Candidate> candidates(Engines);
        for (std::size_t engine = 0; engine < Engines; engine++) {
            candidates[engine].server = &servers_[engine];
            candidates[engine].load.localWaitingTokens = waitingAt(vm, engine, now);
            candidates[engine].load.peerWaitingTokens = backlogs_[vm].waitingTokens(engine, 0, now);
        }
        balancing::ChoiceInput input;
        input.promptTokens = tokens;
        input.salt = salt;
        const std::size_t engine = *balancing::choose(candidates, input, {}, now);
        const auto prefillTime = Duration(static_cast<std::int64_t>(static_cast<double>(tokens) / PrefillTokensPerSecond * 1e6));
        idleAt_[engine] = std::max(idleAt_[engine], now) + prefillTime;
        waiting_[vm][engine].push_back({tokens, idleAt_[engine]});
        return idleAt_[engine] - now;
    }

    bool sharesBacklogs_;
    std::vector<PeerBacklog> backlogs_; ///< By VM.
    std::vector<std::vector<std::vector<Prompt>>> waiting_; ///< By VM and engine.
    directory::KnownServer servers_[Engines];
    TimePoint idleAt_[Engines] = {};
};

TEST(PeerBacklog, SharingBacklogsReducesLateAnswersToLongPrompts)
{
    double withoutReports = 0;
    double withReports = 0;
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        withoutReports += LongPromptSimulation(false).lateFraction(seed) / 5;
        withReports += LongPromptSimulation(true).lateFraction(seed) / 5;
    }
    std::printf("measured: late without reports %.4f, with reports %.4f\n", withoutReports, withReports);
    EXPECT_LT(withReports, withoutReports * 0.7);
}

} // namespace

} // namespace cardamomlift::forwarding
