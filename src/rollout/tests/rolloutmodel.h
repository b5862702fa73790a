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

/// What is wrong with a version.
enum class Fault {
    None,
    Fails, ///< Requests fail from the start.
    Slow, ///< Answers are slow from the start.
    TurnsBad, ///< Requests fail after half of the time limit.
    FailsUnderLoad, ///< Requests fail at a server with at least half of the load that it would have with all requests.
    FailsOnOneRoute, ///< Requests fail on the least used route.
};

/// Disturbances that have nothing to do with the version.
struct Noise {
    bool hasGreyServer = false; ///< One server of the version on trial fails 45 % of its requests.
    bool hasCrash = false; ///< One of these servers accepts requests but answers none for four seconds.
    bool hasBurst = false; ///< For three seconds, twice the requests, and all answers take twice as long.
};

/// The parameters of a simulated rollout of one service.
struct Scenario {
    std::size_t vms = 63;
    std::size_t servers = 112; ///< Servers of the new version.
    double requestsPerSecond = 430;
    Duration timeLimit = std::chrono::seconds(12);
    Duration start = std::chrono::seconds(4); ///< Time from the order until the new servers accept requests.
    Fault fault = Fault::None;
    double portion = 0.4; ///< Share of the affected requests for which a bad version fails or is slow.
    double slowness = 4; ///< Factor on the time to the first byte of a slow answer.
    Noise noise;
    Verdict (*rule)(const RolloutOutcomes &all, std::span<const RolloutOutcomes> recent) = evaluateTrial; ///< The evaluation under test.
    std::uint64_t seed = 1;
};

/// The result of a simulated rollout.
struct SimulationResult {
    Phase phase = Phase::Trial;
    Duration endedAt{0}; ///< When the last phase was written, since the order.
    std::uint64_t requests = 0;
    std::uint64_t exposed = 0; ///< Requests sent to the new version.
    std::uint64_t badAnswers = 0; ///< Requests that failed or were slow because of the version's fault.
    double exposureBound = 0; ///< Maximum allowed value of exposed.
    std::optional<Duration> fiftiethBadAt; ///< When the fiftieth of badAnswers was sent.
    std::optional<Duration> lastSendAt; ///< When the last request was sent to the new version.
};

/// Simulates the decisions of all VMs and of the controller on a simulated clock, with the usual delays of records and
/// reports.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
    {
        limits_.exposureSlack = 50;
        order_ = {"service", "v2", scenario.timeLimit, 1};
        std::uniform_real_distribution<double> uniform;
        for (std::size_t i = 0; i < scenario.vms; i++) {
            vms_.push_back({ExposureBudget::create(limits_, scenario.vms, uniform(random_)), randomDuration(100, 1200), randomDuration(200, 900)});
        }
        greyServer_ = 1 + random_() % scenario.servers;
        crashedServer_ = 1 + random_() % scenario.servers;
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
        Duration recordDelay; ///< Until the VM learns of a record that was written.
        Duration reportDelay; ///< Until the controller learns of the VM's outcomes.
    };

    Duration randomDuration(int fromMs, int toMs)
    {
        return std::chrono::milliseconds(std::uniform_int_distribution<int>(fromMs, toMs)(random_));
    }

    bool isWithin(Duration from, Duration to) const
    {
        return now_ >= from && now_ < to;
    }

    /// The newest phase that @p vm knows.
    std::optional<Phase> knownPhase(const Vm &vm) const
    {
        std::optional<Phase> phase;
        for (const auto &[writtenAt, written] : phases_) {
            if (now_ >= writtenAt + vm.recordDelay) {
                phase = written;
            }
        }
        return phase;
    }

    std::size_t randomRoute()
    {
        static constexpr std::array<double, 3> Shares{0.2, 0.4, 0.4};
        std::discrete_distribution<std::size_t> distribution(Shares.begin(), Shares.end());
        return distribution(random_);
    }

    void request(bool isBurst)
    {
        Vm &vm = vms_[random_() % vms_.size()];
        const std::size_t route = randomRoute();
        result_.requests++;
        vm.budget.addRequest(route + 1);
        const auto phase = knownPhase(vm);
        const bool isUp = now_ >= scenario_.start;
        const bool isOpen = trialSlice(now_, scenario_.servers, limits_.exposureShare).isOpen;
        const bool isTrial = phase == Phase::Trial && isUp && isOpen && vm.budget.trySpend(route + 1);
        const bool isMoved = phase == Phase::Moving || phase == Phase::Succeeded;
        answer(vm, route, isTrial || isMoved, isTrial, isBurst);
    }

    std::uint64_t randomServer(bool isTrial)
    {
        const TrialSlice slice = trialSlice(now_, scenario_.servers, limits_.exposureShare);
        const std::size_t candidates = isTrial ? slice.servers : scenario_.servers;
        const std::uint64_t first = isTrial ? slice.number * candidates : 0;
        return 1 + (first + random_() % candidates) % scenario_.servers;
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
        const bool isUnderLoad = isLoaded(server);
        switch (scenario_.fault) {
        case Fault::None:
            return false;
        case Fault::Fails:
        case Fault::Slow:
            return true;
        case Fault::TurnsBad:
            return now_ >= scenario_.timeLimit / 2;
        case Fault::FailsUnderLoad:
            return isUnderLoad;
        case Fault::FailsOnOneRoute:
            return route == 0;
        }
        return false;
    }

    void answer(const Vm &vm, std::size_t route, bool isNew, bool isTrial, bool isBurst)
    {
        static constexpr std::array<double, 3> MedianMs{30, 60, 150};
        static constexpr std::array<double, 3> Failures{0.14, 0.004, 0.01};
        std::uniform_real_distribution<double> uniform;
        std::lognormal_distribution<double> tookMs(std::log(MedianMs[route]), 0.6);
        SendOutcome outcome;
        outcome.route = route + 1;
        double took = tookMs(random_) * (isBurst ? 2 : 1);
        bool isFailed = uniform(random_) < Failures[route];
        if (isNew) {
            const std::uint64_t server = randomServer(isTrial);
            outcome.trialServer = server;
            result_.exposed++;
            result_.lastSendAt = now_;
            const bool isBadAnswer = isFaulty(route, server) && uniform(random_) < scenario_.portion;
            took *= isTrial ? 1.3 : 1; // Cold caches.
            took *= isBadAnswer && scenario_.fault == Fault::Slow ? scenario_.slowness : 1;
            isFailed = isFailed || (isBadAnswer && scenario_.fault != Fault::Slow);
            isFailed = isFailed || (scenario_.noise.hasGreyServer && server == greyServer_ && uniform(random_) < 0.45);
            isFailed = isFailed || (scenario_.noise.hasCrash && server == crashedServer_ && isWithin(std::chrono::seconds(5), std::chrono::seconds(9)));
            countBadAnswer(isBadAnswer);
        }
        const Duration after(static_cast<std::int64_t>(took * 1000));
        outcome.timeToFirstByte = isFailed ? std::nullopt : std::optional(after);
        pendingOutcomes_.emplace(now_ + after + vm.reportDelay, outcome);
    }

    void countBadAnswer(bool isBadAnswer)
    {
        result_.badAnswers += isBadAnswer ? 1 : 0;
        if (isBadAnswer && result_.badAnswers == 50) {
            result_.fiftiethBadAt = now_;
        }
    }

    void tick(Duration at)
    {
        while (!pendingOutcomes_.empty() && pendingOutcomes_.begin()->first <= at) {
            addOutcome(outcomes_, pendingOutcomes_.begin()->second);
            pendingOutcomes_.erase(pendingOutcomes_.begin());
        }
        PlanInput input;
        input.order = &order_;
        input.record = record_ ? &*record_ : nullptr;
        input.storeNow = at;
        if (record_) {
            std::vector<RolloutOutcomes> recent;
            for (const Duration period : {std::chrono::seconds(2), std::chrono::seconds(5)}) {
                const auto from = snapshots_.upper_bound(at - period);
                if (from != snapshots_.begin()) {
                    recent.push_back(since(outcomes_, std::prev(from)->second));
                }
            }
            input.verdict = scenario_.rule(outcomes_, recent);
            snapshots_[at] = outcomes_;
        }
        if (const auto next = nextRecord(input)) {
            record_ = next;
            phases_.emplace_back(at, next->phase);
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
    std::uint64_t greyServer_ = 0;
    std::uint64_t crashedServer_ = 0;
    std::optional<Record> record_;
    std::vector<std::pair<Duration, Phase>> phases_;
    std::multimap<Duration, SendOutcome> pendingOutcomes_; ///< By the time at which the controller learns of it.
    RolloutOutcomes outcomes_;
    std::map<Duration, RolloutOutcomes> snapshots_;
    std::map<std::uint64_t, std::deque<Duration>> sends_; ///< Times of the sends within the last second, by server.
    SimulationResult result_;
};

} // namespace cardamomlift::rollout::model
