#include "balancing/choose.h"
#include "forwarding/peerbacklog.h"

#include <gtest/gtest.h>

#include <random>

namespace cardamomlift::forwarding {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t Server = 7;
const TimePoint Start(std::chrono::hours(1));

std::vector<presence::ServerWork> told(std::int64_t tokens)
{
    return {{Server, tokens}};
}

TEST(PeerBacklog, AddsUpWhatTheVmsToldAndFadesAsItIsRead)
{
    PeerBacklog work;
    work.update("a", told(30'000), Start);
    work.update("b", told(10'000), Start);
    EXPECT_EQ(work.waitingTokens(Server, Start), 40'000);
    EXPECT_EQ(work.waitingTokens(Server + 1, Start), 0);
    EXPECT_EQ(work.waitingTokens(Server, Start + milliseconds(250)), 20'000) << "a server reads about 40,000 a second";
    EXPECT_EQ(work.waitingTokens(Server, Start + std::chrono::seconds(5)), 0);
}

TEST(PeerBacklog, AVmsNewestWordReplacesTheOneBefore)
{
    PeerBacklog work;
    work.update("a", told(30'000), Start);
    work.update("a", told(5'000), Start);
    EXPECT_EQ(work.waitingTokens(Server, Start), 5'000);
    work.update("a", {}, Start);
    EXPECT_EQ(work.waitingTokens(Server, Start), 0);
}

/// Six VMs send prompts of very uneven length to twelve engines that read one after the other, at two fifths of what these
/// could read: the load of a service of long dossiers on an ordinary day. Each VM sees a sixth of it.
class LongPrompts
{
public:
    explicit LongPrompts(bool tells)
        : tells_(tells)
        , works_(Vms)
        , waiting_(Vms, std::vector<std::vector<Prompt>>(Engines))
    {
        for (std::size_t engine = 0; engine < Engines; engine++) {
            servers_[engine].server.instance = "engine-" + std::to_string(engine);
            servers_[engine].server.slots = 64;
        }
    }

    /// The part of the prompts whose reading ends later than a second after they were sent.
    double partLate(unsigned seed)
    {
        std::mt19937 random(seed);
        std::lognormal_distribution<double> length(8.6, 1.1);
        std::exponential_distribution<double> gap(PromptsPerSecond);
        TimePoint nextWord = Start;
        TimePoint now = Start;
        int late = 0;
        for (int i = 0; i < Prompts; i++) {
            now += Duration(static_cast<std::int64_t>(gap(random) * 1e6));
            for (; nextWord <= now; nextWord += milliseconds(350)) {
                tell(nextWord);
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
    static constexpr double ReadPerSecond = 38'000;
    struct Prompt {
        std::int64_t tokens = 0;
        TimePoint readAt;
    };

    std::int64_t waitingAt(std::size_t vm, std::size_t engine, TimePoint now)
    {
        std::erase_if(waiting_[vm][engine], [now](const Prompt &prompt) { return prompt.readAt <= now; });
        std::int64_t sum = 0;
        for (const Prompt &prompt : waiting_[vm][engine]) {
            sum += prompt.tokens;
        }
        return sum;
    }

    void tell(TimePoint now)
    {
        for (std::size_t vm = 0; tells_ && vm < Vms; vm++) {
            std::vector<presence::ServerWork> word;
            for (std::size_t engine = 0; engine < Engines; engine++) {
                word.push_back({engine, waitingAt(vm, engine, now)});
            }
            for (std::size_t other = 0; other < Vms; other++) {
                if (other != vm) {
                    works_[other].update(std::to_string(vm), word, now);
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
            candidates[engine].load.peerWaitingTokens = works_[vm].waitingTokens(engine, now);
        }
        balancing::ChoiceInput input;
        input.promptTokens = tokens;
        input.salt = salt;
        const std::size_t engine = *balancing::choose(candidates, input, {}, now);
        const auto reading = Duration(static_cast<std::int64_t>(static_cast<double>(tokens) / ReadPerSecond * 1e6));
        freeAt_[engine] = std::max(freeAt_[engine], now) + reading;
        waiting_[vm][engine].push_back({tokens, freeAt_[engine]});
        return freeAt_[engine] - now;
    }

    bool tells_;
    std::vector<PeerBacklog> works_; ///< By VM.
    std::vector<std::vector<std::vector<Prompt>>> waiting_; ///< By VM and engine.
    directory::KnownServer servers_[Engines];
    TimePoint freeAt_[Engines] = {};
};

TEST(PeerBacklog, VmsThatTellOfLongPromptsAreLateLessOften)
{
    double alone = 0;
    double told = 0;
    for (const unsigned seed : {1U, 2U, 3U, 4U, 5U}) {
        alone += LongPrompts(false).partLate(seed) / 5;
        told += LongPrompts(true).partLate(seed) / 5;
    }
    std::printf("measured: late alone %.4f, told %.4f\n", alone, told);
    EXPECT_LT(told, alone * 0.7);
}

} // namespace

} // namespace cardamomlift::forwarding
