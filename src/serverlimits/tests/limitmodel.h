#pragma once

#include "allowance/allowancerules.h"
#include "serverlimits/permitrules.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace cardamomlift::serverlimits::model {

/// How the VMs enforce a server's limit.
enum class Strategy {
    Permits, ///< The implementation in use: permitrules.h.
    EvenShares, ///< Each VM has a token bucket that refills with an even share of the limit and holds one request.
    Allowance, ///< Each VM estimates one token bucket for all VMs from the others' statuses: allowancerules.h.
};

/// A number of VMs and one server that has advertised a limit.
struct Scenario {
    Strategy strategy = Strategy::Permits;
    std::size_t vms = 9;
    double perSecond = 1; ///< The limit.
    double demandPerSecond = 20; ///< Requests at all VMs together; those not allowed go to other servers.
    double unevenness = 0; ///< At 1, the busiest VMs get several times the mean demand.
    Duration clockError = std::chrono::milliseconds(20); ///< The largest error of a VM's estimate of the store's clock.
    double burstFactor = 1; ///< Factor on the demand during ten seconds in the middle.
    int joining = 0; ///< VMs that join in the middle. The others learn of each within a second.
    int restarts = 0; ///< VMs that are killed one after the other and know no limit for a second.
    double limitChangesPerSecond = 0; ///< How often the limit changes, by up to a tenth. Each VM learns of it within a second.
    int seconds = 120;
    unsigned seed = 1;
};

/// The requests that the server received.
struct Outcome {
    std::size_t maxInWindow = 0; ///< The most in any four seconds.
    double usedShare = 0; ///< Share of the requests that the limit allows in the whole simulation.
};

/// The most requests that an overloaded server tolerates in any four seconds.
inline double maxAllowed(double perSecond)
{
    constexpr double WindowSeconds = 4;
    constexpr double Overrun = 1.5;
    constexpr double Slack = 5;
    return Overrun * perSecond * WindowSeconds + Slack;
}

/// Runs one scenario on a simulated clock, in steps of 10 ms.
class Simulation
{
public:
    explicit Simulation(const Scenario &scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
        , currentRate_(scenario.perSecond)
    {
        const std::size_t all = scenario.vms + static_cast<std::size_t>(scenario.joining);
        for (std::size_t i = 0; i < all; i++) {
            vms_.push_back(makeVm(i));
        }
    }

    Outcome run()
    {
        for (now_ = startTime(); now_ < endTime(); now_ += Step) {
            restartVms();
            changeLimit();
            for (std::size_t i = 0; i < vms_.size(); i++) {
                sendRequests(vms_[i]);
                sendStatus(i);
            }
        }
        outcome_.usedShare = static_cast<double>(passed_) / (scenario_.perSecond * scenario_.seconds);
        return outcome_;
    }

private:
    struct Vm {
        std::uint64_t nameHash = 0;
        double weight = 1;
        Duration clockError{0};
        TimePoint joinsAt;
        TimePoint knownToOthersAt; ///< When the other VMs learn of it.
        TimePoint unawareUntil; ///< It was started recently and knows no limit until then.
        double knownRate = 0; ///< The limit known to this VM.
        TimePoint learnsLimitAt; ///< When it learns of a changed limit; zero: no change is due.
        PermitSchedule schedule;
        double bucketTokens = 0;
        allowance::BucketEstimate bucket;
        TimePoint nextStatusAt;
    };
    static constexpr Duration Step = std::chrono::milliseconds(10);
    static constexpr Duration Window = std::chrono::seconds(4);

    static TimePoint startTime()
    {
        return TimePoint(std::chrono::hours(1));
    }
    TimePoint endTime() const
    {
        return startTime() + std::chrono::seconds(scenario_.seconds);
    }
    TimePoint midTime() const
    {
        return startTime() + std::chrono::seconds(scenario_.seconds) / 2;
    }
    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(random_);
    }
    Duration randomTime(Duration maxTime)
    {
        return Duration(static_cast<std::int64_t>(uniform(0, static_cast<double>(maxTime.count()))));
    }

    Vm makeVm(std::size_t index)
    {
        Vm vm;
        vm.nameHash = random_();
        vm.weight = std::exp(std::normal_distribution<double>(0, 1)(random_) * scenario_.unevenness);
        vm.clockError = randomTime(2 * scenario_.clockError) - scenario_.clockError;
        vm.joinsAt = index < scenario_.vms ? startTime() : midTime();
        vm.knownToOthersAt = vm.joinsAt + (index < scenario_.vms ? Duration(0) : randomTime(std::chrono::seconds(1)));
        vm.nextStatusAt = vm.joinsAt + randomTime(statusPeriod());
        setLimit(vm, vm.joinsAt);
        return vm;
    }

    /// The VM learns the limit from an answer or another VM's status.
    void setLimit(Vm &vm, TimePoint at)
    {
        vm.knownRate = currentRate_;
        vm.schedule.server = Server;
        setRate(vm.schedule, vm.knownRate, storeTime(vm, at));
        vm.bucketTokens = uniform(0, 1);
        vm.bucket.startedAt = at;
        vm.bucket.updatedAt = at;
        vm.bucket.admissionCredit = uniform(0, 1);
    }

    Duration statusPeriod() const
    {
        constexpr std::size_t OneGroup = 24;
        return std::chrono::milliseconds(vms_.size() <= OneGroup && scenario_.vms <= OneGroup ? 350 : 1050);
    }

    Duration storeTime(const Vm &vm, TimePoint at) const
    {
        return at.time_since_epoch() + vm.clockError;
    }

    bool isActive(const Vm &vm) const
    {
        return now_ >= vm.joinsAt && now_ >= vm.unawareUntil;
    }

    void restartVms()
    {
        for (int i = 0; i < scenario_.restarts; i++) {
            const TimePoint at = midTime() + std::chrono::milliseconds(700) * i;
            Vm &vm = vms_[static_cast<std::size_t>(i) % vms_.size()];
            if (now_ - at < Step && now_ >= at) {
                const Vm before = vm;
                vm = makeVm(0);
                vm.nameHash = before.nameHash;
                vm.weight = before.weight;
                vm.unawareUntil = now_ + std::chrono::seconds(1);
                vm.joinsAt = before.joinsAt;
                vm.knownToOthersAt = before.knownToOthersAt;
                setLimit(vm, vm.unawareUntil);
            }
        }
    }

    void changeLimit()
    {
        if (scenario_.limitChangesPerSecond > 0 && uniform(0, 1) < scenario_.limitChangesPerSecond * stepSeconds()) {
            currentRate_ = scenario_.perSecond * uniform(0.9, 1.0);
            for (Vm &vm : vms_) {
                vm.learnsLimitAt = now_ + randomTime(std::chrono::seconds(1));
            }
        }
        for (Vm &vm : vms_) {
            if (vm.learnsLimitAt != TimePoint() && now_ >= vm.learnsLimitAt) {
                vm.learnsLimitAt = TimePoint();
                vm.knownRate = currentRate_;
                collectPermitsOf(vm);
                setRate(vm.schedule, vm.knownRate, storeTime(vm, now_));
            }
        }
    }

    static double stepSeconds()
    {
        return std::chrono::duration<double>(Step).count();
    }

    void sendRequests(Vm &vm)
    {
        if (!isActive(vm)) {
            return;
        }
        const bool isBurst = now_ >= midTime() && now_ - midTime() < std::chrono::seconds(10);
        double weights = 0;
        for (const Vm &other : vms_) {
            weights += now_ >= other.joinsAt ? other.weight : 0;
        }
        const double demand = scenario_.demandPerSecond * (isBurst ? scenario_.burstFactor : 1) * vm.weight / weights;
        vm.bucketTokens = std::min(1.0, vm.bucketTokens + vm.knownRate * stepSeconds() / static_cast<double>(vms_.size()));
        const int count = std::poisson_distribution<int>(demand * stepSeconds())(random_);
        for (int i = 0; i < count; i++) {
            if (passes(vm)) {
                recordPassed();
            }
        }
    }

    bool passes(Vm &vm)
    {
        switch (scenario_.strategy) {
        case Strategy::Permits:
            return passesByPermit(vm);
        case Strategy::EvenShares: {
            const bool isAllowed = vm.bucketTokens >= 1;
            vm.bucketTokens -= isAllowed ? 1 : 0;
            return isAllowed;
        }
        case Strategy::Allowance: {
            const manifest::Allowance limit{vm.knownRate, 3 + vm.knownRate, false, 1};
            allowance::recordDemand(vm.bucket, 1, now_);
            allowance::refill(vm.bucket, limit, vms_.size(), now_);
            return allowance::take(vm.bucket, limit, 1, now_);
        }
        }
        return false;
    }

    bool passesByPermit(Vm &vm)
    {
        collectPermitsOf(vm);
        const bool isAllowed = !vm.schedule.permits.empty();
        usePermit(vm.schedule);
        return isAllowed;
    }

    void collectPermitsOf(Vm &vm)
    {
        knownVms_.clear();
        for (const Vm &other : vms_) {
            if (now_ >= other.knownToOthersAt || (&other == &vm)) {
                knownVms_.push_back(other.nameHash);
            }
        }
        std::sort(knownVms_.begin(), knownVms_.end());
        collectPermits(vm.schedule, knownVms_, vm.nameHash, storeTime(vm, now_));
    }

    void sendStatus(std::size_t index)
    {
        Vm &vm = vms_[index];
        if (scenario_.strategy != Strategy::Allowance || !isActive(vm) || now_ < vm.nextStatusAt) {
            return;
        }
        vm.nextStatusAt = now_ + statusPeriod();
        const allowance::PeerUsage use{1, vm.bucket.taken, allowance::localDemand(vm.bucket, now_), now_, now_ - vm.bucket.startedAt, false};
        for (std::size_t i = 0; i < vms_.size(); i++) {
            if (i != index) {
                allowance::recordPeerUsage(vms_[i].bucket, std::to_string(index), use);
            }
        }
    }

    void recordPassed()
    {
        passed_++;
        arrivals_.push_back(now_);
        while (now_ - arrivals_.front() > Window) {
            arrivals_.pop_front();
        }
        outcome_.maxInWindow = std::max(outcome_.maxInWindow, arrivals_.size());
    }

    static constexpr std::uint64_t Server = 77;
    Scenario scenario_;
    std::mt19937_64 random_;
    double currentRate_;
    std::vector<Vm> vms_;
    std::vector<std::uint64_t> knownVms_;
    TimePoint now_;
    std::deque<TimePoint> arrivals_;
    std::size_t passed_ = 0;
    Outcome outcome_;
};

} // namespace cardamomlift::serverlimits::model
