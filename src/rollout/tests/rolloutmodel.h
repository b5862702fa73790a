#pragma once

#include "rollout/exposurebudget.h"
#include "rollout/rolloutplan.h"
#include "rollout/trialslice.h"
#include "rollout/verdictrules.h"

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

namespace cardamomlift::rollout::model {

/// How a version is bad.
enum class Fault {
    None,
    Fails, ///< From the start.
    Slow,
    TurnsBad, ///< Halfway through the order.
    FailsUnderLoad, ///< Where a server gets at least half of what it would get of all requests.
    FailsOnOneRoute, ///< The one that is used least.
};

/// What else goes on.
struct Noise {
    bool hasGreyServer = false; ///< One server of the version on trial fails nearly half of its requests.
    bool hasCrash = false; ///< One of them takes requests and answers none for four seconds.
    bool hasBurst = false; ///< Twice the requests for three seconds; all answers take twice as long.
};

/// One rollout of one service.
struct Scenario {
    std::size_t vms = 63;
    std::size_t servers = 112; ///< Of the new version.
    double requestsPerSecond = 430;
    Duration timeLimit = std::chrono::seconds(12);
    Duration start = std::chrono::seconds(4); ///< From the order until the new servers serve.
    Fault fault = Fault::None;
    double portion = 0.4; ///< Of the answers that a bad version spoils.
    double slowness = 4; ///< How many times as long a slow answer takes.
    Noise noise;
    Verdict (*rule)(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent) = evaluateTrial; ///< What the version is judged by.
    std::uint64_t seed = 1;
};

/// What came of it.
struct SimulationResult {
    Phase phase = Phase::Trial;
    Duration endedAt{0}; ///< Since the order: when the last phase was written.
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0; ///< Requests that the new version got.
    std::uint64_t badAnswers = 0;
    double exposureBound = 0;
    std::optional<Duration> fiftiethBadAt;
    std::optional<Duration> lastSendAt; ///< To the new version.
};

/// Plays the decisions of all VMs and of the judge, with news of its usual age, on a clock of its own.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
    {
        limits_.exposureSlack = 50;
        order_ = {"service", "v2", scenario.timeLimit, 1};
        std::uniform_real_distribution<double> draw;
        for (std::size_t i = 0; i < scenario.vms; i++) {
            vms_.push_back({ExposureBudget::create(limits_, scenario.vms, draw(random_)), span(100, 1200), span(200, 900)});
        }
        grey_ = 1 + random_() % scenario.servers;
        crashed_ = 1 + random_() % scenario.servers;
    }

    SimulationResult run()
    {
        std::exponential_distribution<double> gap(1.0);
        Duration nextTick = std::chrono::milliseconds(500);
        while (now_ < scenario_.timeLimit) {
            const bool isBurst = scenario_.noise.hasBurst && isWithin(std::chrono::seconds(6), std::chrono::seconds(9));
            const double rate = scenario_.requestsPerSecond * (isBurst ? 2 : 1);
            now_ += Duration(static_cast<std::int64_t>(gap(random_) / rate * 1e6));
            while (nextTick <= now_) {
                tick(nextTick);
                nextTick += std::chrono::milliseconds(250);
            }
            request(isBurst);
        }
        while (record_ && !isOver(record_->phase) && nextTick < scenario_.timeLimit + std::chrono::seconds(5)) {
            tick(nextTick);
            nextTick += std::chrono::milliseconds(250);
        }
        result_.exposureBound = limits_.exposureShare * static_cast<double>(result_.requests) + limits_.exposureSlack;
        return result_;
    }

private:
    struct Vm {
        ExposureBudget budget;
        Duration hearsAfter; ///< Of a record that was written.
        Duration toldAfter; ///< The judge hears of its outcomes.
    };

    Duration span(int fromMs, int toMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(fromMs, toMs)(random_));
    }

    bool isWithin(Duration from, Duration to) const
    {
        return now_ >= from && now_ < to;
    }

    /// The phase that @p vm goes by now.
    std::optional<Phase> phaseStartedAt(const Vm &vm) const
    {
        std::optional<Phase> phase;
        for (const auto &[writtenAt, written] : written_) {
            if (now_ >= writtenAt + vm.hearsAfter) {
                phase = written;
            }
        }
        return phase;
    }

    std::size_t drawRoute()
    {
        static constexpr std::array<double, 3> Shares{0.2, 0.4, 0.4};
        std::discrete_distribution<std::size_t> draw(Shares.begin(), Shares.end());
        return draw(random_);
    }

    void request(bool isBurst)
    {
        Vm &vm = vms_[random_() % vms_.size()];
        const std::size_t route = drawRoute();
        result_.requests++;
        vm.budget.addRequest(route + 1);
        const auto phase = phaseStartedAt(vm);
        const bool isUp = now_ >= scenario_.start;
        const bool isOpen = trialSlice(now_, scenario_.servers, limits_.exposureShare).isOpen;
        const bool isTrial = phase == Phase::Trial && isUp && isOpen && vm.budget.trySpend(route + 1);
        const bool isMoved = phase == Phase::Moving || phase == Phase::Succeeded;
        answer(vm, route, isTrial || isMoved, isTrial, isBurst);
    }

    std::uint64_t drawServer(bool isTrial)
    {
        const TrialSlice slice = trialSlice(now_, scenario_.servers, limits_.exposureShare);
        const std::size_t most = isTrial ? slice.servers : scenario_.servers;
        const std::uint64_t first = isTrial ? slice.number * most : 0;
        return 1 + (first + random_() % most) % scenario_.servers;
    }

    bool isLoaded(std::uint64_t server)
    {
        std::deque<Duration> &sends = sends_[server];
        sends.push_back(now_);
        while (now_ - sends.front() > std::chrono::seconds(1)) {
            sends.pop_front();
        }
        return static_cast<double>(sends.size()) >= scenario_.requestsPerSecond / static_cast<double>(scenario_.servers) / 2;
    }

    bool isFaulty(std::size_t route, std::uint64_t server)
    {
        const bool isLoad = isLoaded(server);
        switch (scenario_.fault) {
        case Fault::None:
            return false;
        case Fault::Fails:
        case Fault::Slow:
            return true;
        case Fault::TurnsBad:
            return now_ >= scenario_.timeLimit / 2;
        case Fault::FailsUnderLoad:
            return isLoad;
        case Fault::FailsOnOneRoute:
            return route == 0;
        }
        return false;
    }

    void answer(const Vm &vm, std::size_t route, bool isNew, bool isTrial, bool isBurst)
    {
        static constexpr std::array<double, 3> MedianMs{30, 60, 150};
        static constexpr std::array<double, 3> Failures{0.14, 0.004, 0.01};
        std::uniform_real_distribution<double> draw;
        std::lognormal_distribution<double> tookMs(std::log(MedianMs[route]), 0.6);
        SendOutcome result;
        result.route = route + 1;
        double took = tookMs(random_) * (isBurst ? 2 : 1);
        bool isFailed = draw(random_) < Failures[route];
        if (isNew) {
            const std::uint64_t server = drawServer(isTrial);
            result.trialServer = server;
            result_.exposed++;
            result_.lastSendAt = now_;
            const bool isSpoilt = isFaulty(route, server) && draw(random_) < scenario_.portion;
            took *= isTrial ? 1.3 : 1; // Cold caches.
            took *= isSpoilt && scenario_.fault == Fault::Slow ? scenario_.slowness : 1;
            isFailed = isFailed || (isSpoilt && scenario_.fault != Fault::Slow);
            isFailed = isFailed || (scenario_.noise.hasGreyServer && server == grey_ && draw(random_) < 0.45);
            isFailed = isFailed || (scenario_.noise.hasCrash && server == crashed_ && isWithin(std::chrono::seconds(5), std::chrono::seconds(9)));
            noteBad(isSpoilt);
        }
        const Duration after(static_cast<std::int64_t>(took * 1000));
        result.firstByteAfter = isFailed ? std::nullopt : std::optional(after);
        coming_.emplace(now_ + after + vm.toldAfter, result);
    }

    void noteBad(bool isBad)
    {
        result_.badAnswers += isBad ? 1 : 0;
        if (isBad && result_.badAnswers == 50) {
            result_.fiftiethBadAt = now_;
        }
    }

    void tick(Duration at)
    {
        while (!coming_.empty() && coming_.begin()->first <= at) {
            addOutcome(outcomes_, coming_.begin()->second);
            coming_.erase(coming_.begin());
        }
        PlanInput input;
        input.order = &order_;
        input.record = record_ ? &*record_ : nullptr;
        input.storeNow = at;
        if (record_) {
            std::vector<RolloutOutcomes> recent;
            for (const Duration span : {std::chrono::seconds(2), std::chrono::seconds(5)}) {
                const auto from = snapshots_.upper_bound(at - span);
                if (from != snapshots_.begin()) {
                    recent.push_back(since(outcomes_, std::prev(from)->second));
                }
            }
            input.verdict = scenario_.rule(outcomes_, recent);
            snapshots_[at] = outcomes_;
        }
        if (const auto next = nextRecord(input)) {
            record_ = next;
            written_.emplace_back(at, next->phase);
            result_.phase = next->phase;
            result_.endedAt = at;
        }
    }

    Scenario scenario_;
    RolloutLimits limits_;
    std::mt19937_64 random_;
    Duration now_{0};
    Order order_;
    std::vector<Vm> vms_;
    std::uint64_t grey_ = 0;
    std::uint64_t crashed_ = 0;
    std::optional<Record> record_;
    std::vector<std::pair<Duration, Phase>> written_;
    std::multimap<Duration, SendOutcome> coming_; ///< By when the judge hears of it.
    RolloutOutcomes outcomes_;
    std::map<Duration, RolloutOutcomes> snapshots_;
    std::map<std::uint64_t, std::deque<Duration>> sends_; ///< Of the last second, by server.
    SimulationResult result_;
};

} // namespace cardamomlift::rollout::model
