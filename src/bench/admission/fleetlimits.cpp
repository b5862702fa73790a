#include "fleetlimits.h"

#include "limits/customerlimiter.h"
#include "limits/grantrules.h"
#include "peers/localtransport.h"

#include <fmt/format.h>

#include <cmath>
#include <random>
#include <vector>

namespace cardamomlift::bench {

namespace {

constexpr std::size_t Vms = 8;
constexpr int PerSecond = 100;
constexpr double FavouredShare = 0.7;
constexpr Duration Tick = std::chrono::milliseconds(5);
constexpr Duration Length = std::chrono::minutes(1);
constexpr Duration Settling = std::chrono::seconds(3);

struct Vm {
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::LocalTransport> transport;
    std::shared_ptr<limits::CustomerLimiter> limiter;
    limits::Bucket bucket;
};

class FleetRun
{
public:
    explicit FleetRun(Sharing sharing)
        : sharing_(sharing)
    {
        contract::ContractVersion version{"shop", 1, 1};
        version.text = fmt::format(R"({{"customer": "shop", "keys": [], "classes": [{{"name": "quick", "priority": "urgent", "firstTokenMs": 500}}],
            "models": [{{"model": "m", "class": "quick", "maxOutputTokens": 100}}],
            "limits": {{"requestsPerSecond": {}, "openRequests": 10000, "tokensPerMinute": 1000000}},
            "spending": {{"perDayCents": 100, "centsPerMillionTokens": 1, "centsPerThousandCalls": 1}}}})",
            PerSecond);
        contracts_->applyIfNewer(version);
        std::vector<membership::Vm> list;
        for (std::size_t i = 0; i < Vms; i++) {
            list.push_back({fmt::format("entry-{}", i), "127.0.0.1", 1, 1, "zone-1"});
        }
        for (std::size_t i = 0; i < Vms; i++) {
            vms_[i].members = membership::Members::create(list[i].instance);
            vms_[i].members->applyList(list);
            vms_[i].transport = peers::LocalTransport::create(*loop_, network_, list[i].instance);
            vms_[i].limiter = limits::CustomerLimiter::create({loop_.get(), contracts_, vms_[i].members, vms_[i].transport, nullptr});
        }
    }

    LimitsResult run(double load)
    {
        pass(Settling);
        const double perSecond = PerSecond * load;
        double due = 0;
        for (Duration passed{0}; passed < Length; passed += Tick) {
            while (due <= std::chrono::duration<double>(passed).count()) {
                request(uniform_(random_) < FavouredShare ? 0 : 1 + random_() % (Vms - 1));
                due -= std::log(1 - uniform_(random_)) / perSecond;
            }
            pass(Tick);
        }
        pass(Settling);
        for (const Vm &vm : vms_) {
            result_.messages += vm.transport->counters().callsSent;
            result_.bytes += vm.transport->counters().bytesSent;
        }
        result_.allowed = PerSecond * (std::chrono::duration<double>(Length).count() + 1);
        return result_;
    }

private:
    void pass(Duration time)
    {
        for (Duration passed{0}; passed < time; passed += Tick) {
            clock_.advance(Tick);
            loop_->runDue();
        }
    }

    void request(std::size_t index)
    {
        Vm &vm = vms_[index];
        result_.asked++;
        if (sharing_ != Sharing::Ours) {
            limits::BucketRate rate = limits::requestRate(contracts_->find("shop")->contract.limits);
            rate = sharing_ == Sharing::StaticSplit ? limits::evenShare(rate, Vms) : rate;
            limits::refill(vm.bucket, rate, clock_.now());
            if (vm.bucket.level >= 1) {
                vm.bucket.level -= 1;
                result_.admitted++;
            }
            return;
        }
        vm.limiter->acquire(*contracts_->find("shop"), 10, [this, &vm](const limits::AcquireResult &result) {
            if (result.acquired) {
                result_.admitted++;
                vm.limiter->release("shop", 0);
            }
        });
    }

    Sharing sharing_;
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<contract::ContractSet> contracts_ = contract::ContractSet::create();
    std::shared_ptr<peers::LocalNetwork> network_ = std::make_shared<peers::LocalNetwork>();
    std::array<Vm, Vms> vms_;
    std::minstd_rand random_;
    std::uniform_real_distribution<double> uniform_;
    LimitsResult result_;
};

} // namespace

std::string_view sharingName(Sharing sharing)
{
    switch (sharing) {
    case Sharing::Ours:
        return "ours";
    case Sharing::StaticSplit:
        return "static split";
    case Sharing::Unshared:
        return "unshared";
    }
    return {};
}

LimitsResult runLimits(Sharing sharing, double load)
{
    return FleetRun(sharing).run(load);
}

} // namespace cardamomlift::bench
