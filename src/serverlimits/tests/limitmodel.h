#pragma once

#include "allowance/allowancerules.h"
#include "serverlimits/turnrules.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace cardamomlift::serverlimits::model {

/// How the VMs hold to a server's limit.
enum class Way {
    Turns, ///< The product's: turnrules.h.
    EvenShares, ///< Each VM has a token bucket of an even share, of one request.
    Allowance, ///< Each VM keeps an account of one bucket for all, by what the others tell: allowancerules.h.
};

/// A fleet before one server that has named a limit.
struct Scenario {
    Way way = Way::Turns;
    std::size_t vms = 9;
    double perSecond = 1;
    double askedPerSecond = 20; ///< Of all VMs together; what does not pass goes elsewhere.
    double unevenness = 0; ///< 1: the busiest VMs get several times the mean.
    Duration clockError = std::chrono::milliseconds(20); ///< Of each VM's view of the store's clock, at most.
    double burstFactor = 1; ///< Ten seconds in the middle, in which so many times as much is asked.
    int joining = 0; ///< VMs that come in the middle; the others learn of each within a second.
    int restarts = 0; ///< VMs that are killed one after the other, and lose what they knew for a second.
    double namesAnew = 0; ///< A second: the limit changes by up to a tenth, which each VM learns within a second.
    int seconds = 120;
    unsigned seed = 1;
};

/// What the server got.
struct Outcome {
    std::size_t mostInWindow = 0; ///< In any four seconds.
    double usedPart = 0; ///< Of what the limit allows over all the time.
};

/// The most that a server in need bears in any four seconds.
inline double mostAllowed(double perSecond)
{
    constexpr double WindowSeconds = 4;
    constexpr double Overrun = 1.5;
    constexpr double Slack = 5;
    return Overrun * perSecond * WindowSeconds + Slack;
}

/// One play on a clock of its own, in steps of 10 ms.
class Play
{
public:
    explicit Play(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
        , rate_(scenario.perSecond)
    {
        const std::size_t all = scenario.vms + static_cast<std::size_t>(scenario.joining);
        for (std::size_t i = 0; i < all; i++) {
            vms_.push_back(makeVm(i));
        }
    }

    Outcome run()
    {
        for (now_ = start(); now_ < end(); now_ += Step) {
            changeFleet();
            nameAnew();
            for (std::size_t i = 0; i < vms_.size(); i++) {
                ask(vms_[i]);
                tell(i);
            }
        }
        outcome_.usedPart = static_cast<double>(passed_) / (scenario_.perSecond * scenario_.seconds);
        return outcome_;
    }

private:
    struct Vm {
        std::uint64_t name = 0;
        double weight = 1;
        Duration clockError{0};
        TimePoint joinsAt;
        TimePoint knownAt; ///< When the others know of it.
        TimePoint deafUntil; ///< It has just started and knows of no limit.
        double rate = 0; ///< The limit as it knows it.
        TimePoint learnsAt; ///< Of another rate.
        TurnBook book;
        double tokens = 0;
        allowance::Account account;
        TimePoint tellsAt;
    };
    static constexpr Duration Step = std::chrono::milliseconds(10);
    static constexpr Duration Window = std::chrono::seconds(4);

    static TimePoint start()
    {
        return TimePoint(std::chrono::hours(1));
    }
    TimePoint end() const
    {
        return start() + std::chrono::seconds(scenario_.seconds);
    }
    TimePoint middle() const
    {
        return start() + std::chrono::seconds(scenario_.seconds) / 2;
    }
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    Duration randomTime(Duration most)
    {
        return Duration(static_cast<std::int64_t>(uniform(0, static_cast<double>(most.count()))));
    }

    Vm makeVm(std::size_t index)
    {
        Vm vm;
        vm.name = random_();
        vm.weight = std::exp(std::normal_distribution<double>(0, 1)(random_) * scenario_.unevenness);
        vm.clockError = randomTime(2 * scenario_.clockError) - scenario_.clockError;
        vm.joinsAt = index < scenario_.vms ? start() : middle();
        vm.knownAt = vm.joinsAt + (index < scenario_.vms ? Duration(0) : randomTime(std::chrono::seconds(1)));
        vm.tellsAt = vm.joinsAt + randomTime(period());
        learn(vm, vm.joinsAt);
        return vm;
    }

    /// The limit, from an answer or from the others.
    void learn(Vm &vm, TimePoint at)
    {
        vm.rate = rate_;
        vm.book.server = Server;
        setRate(vm.book, vm.rate, storeTime(vm, at));
        vm.tokens = uniform(0, 1);
        vm.account.beganAt = at;
        vm.account.updatedAt = at;
        vm.account.turn = uniform(0, 1);
    }

    Duration period() const
    {
        constexpr std::size_t OneGroup = 24;
        return std::chrono::milliseconds(vms_.size() <= OneGroup && scenario_.vms <= OneGroup ? 350 : 1050);
    }

    Duration storeTime(const Vm &vm, TimePoint at) const
    {
        return at.time_since_epoch() + vm.clockError;
    }

    bool isThere(const Vm &vm) const
    {
        return now_ >= vm.joinsAt && now_ >= vm.deafUntil;
    }

    void changeFleet()
    {
        for (int i = 0; i < scenario_.restarts; i++) {
            const TimePoint at = middle() + std::chrono::milliseconds(700) * i;
            Vm &vm = vms_[static_cast<std::size_t>(i) % vms_.size()];
            if (now_ - at < Step && now_ >= at) {
                const Vm before = vm;
                vm = makeVm(0);
                vm.name = before.name;
                vm.weight = before.weight;
                vm.deafUntil = now_ + std::chrono::seconds(1);
                vm.joinsAt = before.joinsAt;
                vm.knownAt = before.knownAt;
                learn(vm, vm.deafUntil);
            }
        }
    }

    void nameAnew()
    {
        if (scenario_.namesAnew > 0 && uniform(0, 1) < scenario_.namesAnew * stepSeconds()) {
            rate_ = scenario_.perSecond * uniform(0.9, 1.0);
            for (Vm &vm : vms_) {
                vm.learnsAt = now_ + randomTime(std::chrono::seconds(1));
            }
        }
        for (Vm &vm : vms_) {
            if (vm.learnsAt != TimePoint() && now_ >= vm.learnsAt) {
                vm.learnsAt = TimePoint();
                vm.rate = rate_;
                takeTurnsOf(vm);
                setRate(vm.book, vm.rate, storeTime(vm, now_));
            }
        }
    }

    static double stepSeconds()
    {
        return std::chrono::duration<double>(Step).count();
    }

    void ask(Vm &vm)
    {
        if (!isThere(vm)) {
            return;
        }
        const bool isBurst = now_ >= middle() && now_ - middle() < std::chrono::seconds(10);
        double weights = 0;
        for (const Vm &other : vms_) {
            weights += now_ >= other.joinsAt ? other.weight : 0;
        }
        const double asked = scenario_.askedPerSecond * (isBurst ? scenario_.burstFactor : 1) * vm.weight / weights;
        vm.tokens = std::min(1.0, vm.tokens + vm.rate * stepSeconds() / static_cast<double>(vms_.size()));
        const int count = std::poisson_distribution<int>(asked * stepSeconds())(random_);
        for (int i = 0; i < count; i++) {
            if (passes(vm)) {
                notePassed();
            }
        }
    }

    bool passes(Vm &vm)
    {
        switch (scenario_.way) {
        case Way::Turns:
            return passesByTurn(vm);
        case Way::EvenShares: {
            const bool fits = vm.tokens >= 1;
            vm.tokens -= fits ? 1 : 0;
            return fits;
        }
        case Way::Allowance: {
            const manifest::Allowance limit{vm.rate, 3 + vm.rate, false, 1};
            allowance::noteAsked(vm.account, 1, now_);
            allowance::refill(vm.account, limit, vms_.size(), now_);
            return allowance::take(vm.account, limit, 1, now_);
        }
        }
        return false;
    }

    bool passesByTurn(Vm &vm)
    {
        takeTurnsOf(vm);
        const bool fits = !vm.book.own.empty();
        useTurn(vm.book);
        return fits;
    }

    void takeTurnsOf(Vm &vm)
    {
        known_.clear();
        for (const Vm &other : vms_) {
            if (now_ >= other.knownAt || (&other == &vm)) {
                known_.push_back(other.name);
            }
        }
        std::sort(known_.begin(), known_.end());
        takeTurns(vm.book, known_, vm.name, storeTime(vm, now_));
    }

    void tell(std::size_t index)
    {
        Vm &vm = vms_[index];
        if (scenario_.way != Way::Allowance || !isThere(vm) || now_ < vm.tellsAt) {
            return;
        }
        vm.tellsAt = now_ + period();
        const allowance::PeerUse use{1, vm.account.taken, allowance::askedNow(vm.account, now_), now_, now_ - vm.account.beganAt, false};
        for (std::size_t i = 0; i < vms_.size(); i++) {
            if (i != index) {
                allowance::notePeer(vms_[i].account, std::to_string(index), use);
            }
        }
    }

    void notePassed()
    {
        passed_++;
        arrivals_.push_back(now_);
        while (now_ - arrivals_.front() > Window) {
            arrivals_.pop_front();
        }
        outcome_.mostInWindow = std::max(outcome_.mostInWindow, arrivals_.size());
    }

    static constexpr std::uint64_t Server = 77;
    Scenario scenario_;
    std::mt19937_64 random_;
    double rate_;
    std::vector<Vm> vms_;
    std::vector<std::uint64_t> known_;
    TimePoint now_;
    std::deque<TimePoint> arrivals_;
    std::size_t passed_ = 0;
    Outcome outcome_;
};

} // namespace cardamomlift::serverlimits::model
