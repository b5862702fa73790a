#include "overload.h"

#include "admission/admission.h"
#include "backendmodel.h"

#include <array>
#include <cmath>
#include <deque>
#include <random>

namespace cardamomlift::bench {

namespace {

using contract::Priority;

constexpr double Slots = 40;
constexpr Duration Tick = std::chrono::milliseconds(5);
constexpr Duration Length = std::chrono::minutes(2);
constexpr Duration Rest = std::chrono::minutes(4); ///< For what is still under way.
constexpr Duration TimePerToken = std::chrono::milliseconds(20);
constexpr std::size_t MostOpen = 4000;

const std::array<TrafficClass, 3> DepartmentClasses{{
    {{"status", Priority::Urgent, 760, 76, 300}, 0.6, 50},
    {{"holds", Priority::Urgent, 1500, 0, 500}, 0.1, 30},
    {{"dossiers", Priority::Deferrable, 10000, 300, 120000}, 0.3, 800},
}};
const std::array<TrafficClass, 3> CoOpClasses{{
    {{"proofs", Priority::Urgent, 760, 76, 500}, 0.3, 300},
    {{"orders", Priority::Urgent, 2000, 0, 1000}, 0.3, 20},
    {{"drafts", Priority::Deferrable, 5000, 200, 60000}, 0.4, 600},
}};
const std::array<Mix, 2> Mixes{{{"department", DepartmentClasses}, {"co-op", CoOpClasses}}};

Duration workOf(const TrafficClass &traffic)
{
    return std::chrono::milliseconds(100) + TimePerToken * traffic.tokens;
}

double capacityPerSecond(const Mix &mix)
{
    double meanSeconds = 0;
    for (const TrafficClass &traffic : mix.classes) {
        meanSeconds += traffic.share * std::chrono::duration<double>(workOf(traffic)).count();
    }
    return Slots / meanSeconds;
}

/// One run of one strategy.
class Overload
{
public:
    Overload(const Mix &mix, Strategy strategy, double load)
        : mix_(mix)
        , strategy_(strategy)
        , perSecond_(capacityPerSecond(mix) * load)
        , admission_(admission::Admission::create({loop_.get(), MostOpen}))
    {
        auto contract = std::make_shared<contract::ContractInForce>();
        contract->contract.customer = std::string(mix.name);
        contract_ = contract;
    }

    OverloadResult run()
    {
        double due = 0;
        for (Duration passed{0}; passed < Length + Rest; passed += Tick) {
            while (passed < Length && due <= std::chrono::duration<double>(passed).count()) {
                arrive();
                due -= std::log(1 - uniform_(random_)) / perSecond_;
            }
            clock_.advance(Tick);
            loop_->runDue();
            backend_.pass(Tick);
        }
        return result_;
    }

private:
    const TrafficClass &draw()
    {
        double rest = uniform_(random_);
        for (const TrafficClass &traffic : mix_.classes) {
            rest -= traffic.share;
            if (rest < 0) {
                return traffic;
            }
        }
        return mix_.classes.back();
    }

    void arrive()
    {
        const TrafficClass &traffic = draw();
        result_.classes[traffic.serviceClass.name].asked++;
        switch (strategy_) {
        case Strategy::Open:
            runOne(traffic, clock_.now(), 0);
            break;
        case Strategy::Fifo:
            fifo_.push_back({&traffic, clock_.now()});
            serveFifo();
            break;
        case Strategy::Ours:
            askOurs(traffic);
            break;
        }
    }

    void askOurs(const TrafficClass &traffic)
    {
        admission::AdmissionParameters parameters;
        parameters.contract = contract_;
        parameters.serviceClass = traffic.serviceClass;
        parameters.target = "model";
        parameters.estimatedTokens = traffic.tokens;
        const TimePoint now = clock_.now();
        admission_->requestAdmission(parameters, [this, &traffic, now](const admission::AdmissionDecision &decision) {
            if (!decision.admitted) {
                result_.classes[traffic.serviceClass.name].refused[std::string(metrics::reasonName(decision.reason))]++;
                return;
            }
            runOne(traffic, now, decision.ticket);
        });
    }

    void serveFifo()
    {
        while (!fifo_.empty() && static_cast<double>(inFlight_) < Slots) {
            const auto [traffic, since] = fifo_.front();
            fifo_.pop_front();
            runOne(*traffic, since, 0);
        }
    }

    void runOne(const TrafficClass &traffic, TimePoint since, std::uint64_t ticket)
    {
        inFlight_++;
        BackendModel::Run run;
        run.work = workOf(traffic);
        auto firstTokenAt = std::make_shared<TimePoint>();
        run.onFirstToken = [this, firstTokenAt, ticket] {
            *firstTokenAt = clock_.now();
            if (ticket != 0) {
                admission_->onFirstToken(ticket);
            }
        };
        run.onEnd = [this, &traffic, since, firstTokenAt, ticket] {
            inFlight_--;
            countEnd(traffic, *firstTokenAt - since, (clock_.now() - *firstTokenAt) / traffic.tokens);
            if (ticket != 0) {
                admission_->release(ticket, {1, traffic.tokens, true});
            }
            serveFifo();
        };
        backend_.start(std::move(run));
    }

    void countEnd(const TrafficClass &traffic, Duration firstToken, Duration betweenTokens)
    {
        const contract::ServiceClass &promised = traffic.serviceClass;
        const std::int64_t mayWaitMs = promised.priority == Priority::Deferrable ? promised.waitUpToMs : 0;
        const bool isFirstOnTime = firstToken <= std::chrono::milliseconds(promised.firstTokenMs + mayWaitMs);
        const bool isPaceKept = promised.betweenTokensMs == 0 || betweenTokens <= std::chrono::milliseconds(promised.betweenTokensMs);
        ClassResult &result = result_.classes[promised.name];
        (isFirstOnTime && isPaceKept ? result.onTime : result.late)++;
        result_.usefulTokens += isFirstOnTime && isPaceKept ? traffic.tokens : 0;
    }

    struct Waiting {
        const TrafficClass *traffic;
        TimePoint since;
    };
    const Mix &mix_;
    Strategy strategy_;
    double perSecond_;
    ManualClock clock_;
    std::unique_ptr<EventLoop> loop_ = std::move(EventLoop::create(clock_).value());
    std::shared_ptr<admission::Admission> admission_;
    std::shared_ptr<const contract::ContractInForce> contract_;
    BackendModel backend_{Slots};
    std::deque<Waiting> fifo_;
    std::size_t inFlight_ = 0;
    std::minstd_rand random_;
    std::uniform_real_distribution<double> uniform_;
    OverloadResult result_;
};

} // namespace

std::string_view strategyName(Strategy strategy)
{
    switch (strategy) {
    case Strategy::Ours:
        return "ours";
    case Strategy::Fifo:
        return "fifo";
    case Strategy::Open:
        return "open";
    }
    return {};
}

OverloadResult runOverload(const Mix &mix, Strategy strategy, double load)
{
    return Overload(mix, strategy, load).run();
}

std::span<const Mix> usersMixes()
{
    return Mixes;
}

} // namespace cardamomlift::bench
