#include "bench/routing/decisionbench.h"

#include "kernel/clock.h"
#include "routing/router.h"
#include "text/digest.h"

#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <set>

namespace cardamomlift::bench {

namespace {

constexpr std::size_t Zones = 4;
constexpr std::array<double, Zones> ZonePrice{1.0, 1.0, 1.4, 1.8};
constexpr double MicrosPerPriceUnit = 1e6;
constexpr double ReportLagMs = 1500;
constexpr double ReportPeriodMs = 1000;
constexpr double EventLagMs = 2000;
constexpr double EventLossShare = 0.3;
constexpr double ListLagMs = 2000;
constexpr double FailedAttemptMs = 2;
constexpr double LoadSampleMs = 500;
constexpr double UrgentTargetMs = 760;
constexpr double MillionTokens = 1e6;
constexpr double MsPerHour = 3.6e6;
constexpr std::size_t MostAttempts = 4;

struct Event {
    double at = 0;
    std::uint64_t order = 0;
    std::function<void()> run;
};

struct Later {
    bool operator()(const Event &a, const Event &b) const
    {
        return std::tie(a.at, a.order) > std::tie(b.at, b.order);
    }
};

/// One entry VM: the real Router on its own view of the VMs, and what the baselines need.
struct Entry {
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<routing::Router> router;
    std::vector<std::uint32_t> inFlight;
    std::size_t nextRoundRobin = 0;
};

class Bench
{
public:
    Bench(const Scenario &scenario, Policy policy)
        : scenario_(scenario)
        , policy_(policy)
        , random_(scenario.seed)
    {
        for (std::size_t i = 0; i < scenario.engines; i++) {
            engines_.emplace_back(EngineSpeed());
        }
        alive_.assign(scenario.engines, true);
        listed_.assign(scenario.engines, true);
        history_.resize(scenario.engines);
        for (std::size_t i = 0; i < scenario.entries; i++) {
            Entry entry;
            entry.members = membership::Members::create("entry-" + std::to_string(i));
            entry.members->applyList(vms());
            entry.router = routing::Router::create(clock_, entry.members);
            entry.inFlight.assign(scenario.engines, 0);
            entries_.push_back(std::move(entry));
        }
    }

    Outcome run()
    {
        plan();
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            clock_.advance(Duration(static_cast<std::int64_t>((event.at - now_) * 1000)));
            now_ = event.at;
            event.run();
        }
        return outcome();
    }

private:
    std::vector<membership::Vm> vms() const
    {
        std::vector<membership::Vm> list;
        for (std::size_t i = 0; i < engines_.size(); i++) {
            if (!listed_[i]) {
                continue;
            }
            membership::Vm vm;
            vm.instance = "engine-" + std::to_string(i);
            vm.role = membership::VmRole::Model;
            vm.zone = "zone-" + std::to_string(i % Zones);
            vm.serves = {"model"};
            vm.microsPerHour = static_cast<std::int64_t>(ZonePrice[i % Zones] * MicrosPerPriceUnit);
            list.push_back(std::move(vm));
        }
        for (std::size_t i = 0; i < scenario_.entries; i++) {
            membership::Vm vm;
            vm.instance = "entry-" + std::to_string(i);
            list.push_back(std::move(vm));
        }
        return list;
    }

    void at(double when, std::function<void()> run)
    {
        events_.push({when, nextOrder_++, std::move(run)});
    }

    void plan()
    {
        std::exponential_distribution<double> gap(scenario_.requestsPerSecond / 1000);
        for (double when = gap(random_); when < scenario_.seconds * 1000; when += gap(random_)) {
            jobs_.push_back(newJob(when));
        }
        for (std::size_t i = 0; i < jobs_.size(); i++) {
            at(jobs_[i].arrival, [this, i] { dispatch(i, {}); });
        }
        for (double when = 0; when < scenario_.seconds * 1000; when += LoadSampleMs) {
            at(when, [this] { sampleLoad(); });
        }
        at(scenario_.waveAtSecond * 1000, [this] { wave(); });
    }

    Job newJob(double when)
    {
        Job job;
        job.arrival = when;
        // The balancer is uneven: the first VM gets three times as much as another.
        job.entry = std::uniform_int_distribution<std::size_t>(0, scenario_.entries + 1)(random_);
        job.entry = job.entry >= scenario_.entries ? 0 : job.entry;
        const double u = std::uniform_real_distribution<double>(0, 1)(random_);
        const auto rank = static_cast<std::uint64_t>(std::pow(static_cast<double>(scenario_.prefixes), u)); // Few prefixes are frequent.
        job.prefix = text::stableHash(std::to_string(rank)) | 1;
        job.prefixTokens = 1500 + static_cast<double>(rank * 97 % 1500);
        job.customer = "customer-" + std::to_string(rank % 5);
        job.ownTokens = std::uniform_real_distribution<double>(50, 350)(random_);
        job.outputTokens = std::uniform_real_distribution<double>(40, 160)(random_);
        job.priority = std::discrete_distribution<int>({30, 40, 30})(random_);
        return job;
    }

    std::optional<std::size_t> choose(const Job &job, const std::vector<std::size_t> &tried)
    {
        Entry &entry = entries_[job.entry];
        if (policy_ == Policy::Ours) {
            routing::RouteCriteria criteria;
            criteria.name = "model";
            criteria.customer = job.customer;
            criteria.prefixHash = job.prefix;
            criteria.promptTokens = static_cast<std::int64_t>(job.prefixTokens + job.ownTokens);
            criteria.urgency = static_cast<routing::Urgency>(job.priority);
            for (const std::size_t engine : tried) {
                criteria.exclude.push_back("engine-" + std::to_string(engine));
                criteria.avoidZones.push_back("zone-" + std::to_string(engine % Zones));
            }
            const auto vm = entry.router->choose(criteria);
            return vm ? std::optional<std::size_t>(std::stoul(vm->instance.substr(7))) : std::nullopt;
        }
        std::vector<std::size_t> left;
        for (std::size_t i = 0; i < engines_.size(); i++) {
            if (listed_[i] && std::find(tried.begin(), tried.end(), i) == tried.end()) {
                left.push_back(i);
            }
        }
        if (left.empty()) {
            return std::nullopt;
        }
        const auto less = [&](std::size_t a, std::size_t b) {
            return entry.inFlight[a] < entry.inFlight[b];
        };
        if (policy_ == Policy::RoundRobin) {
            return left[entry.nextRoundRobin++ % left.size()];
        }
        if (policy_ == Policy::LeastInFlight) {
            return *std::min_element(left.begin(), left.end(), less);
        }
        std::uniform_int_distribution<std::size_t> pick(0, left.size() - 1);
        return std::min(left[pick(random_)], left[pick(random_)], less);
    }

    void dispatch(std::size_t number, std::vector<std::size_t> tried)
    {
        Job &job = jobs_[number];
        const auto engine = tried.size() < MostAttempts ? choose(job, tried) : std::nullopt;
        if (!engine) {
            return;
        }
        job.attempts++;
        job.engine = *engine;
        Entry &entry = entries_[job.entry];
        entry.inFlight[*engine]++;
        entry.router->started("engine-" + std::to_string(*engine), job.customer);
        if (!alive_[*engine]) {
            tried.push_back(*engine);
            at(now_ + FailedAttemptMs, [this, number, tried] {
                ended(jobs_[number], routing::AttemptEnd::Failed);
                dispatch(number, tried);
            });
            return;
        }
        engines_[*engine].add(number, job.priority);
        fill(*engine);
    }

    void ended(const Job &job, routing::AttemptEnd end)
    {
        entries_[job.entry].inFlight[job.engine]--;
        entries_[job.entry].router->finished("engine-" + std::to_string(job.engine), end, job.customer);
    }

    void fill(std::size_t engine)
    {
        std::size_t number = 0;
        while (engines_[engine].takeNext(number)) {
            Job &job = jobs_[number];
            double cached = 0;
            const double first = engines_[engine].prefill(job, now_, cached);
            account(job, cached, engine);
            const double end = first + job.outputTokens * engines_[engine].step();
            const int attempt = job.attempts;
            at(first, [this, number, attempt] {
                Job &started = jobs_[number];
                if (started.attempts == attempt && started.firstToken < 0) {
                    started.firstToken = now_ - started.arrival;
                }
            });
            at(end, [this, number, attempt, cached] { finish(number, attempt, cached); });
        }
        history_[engine].push_back({now_, static_cast<std::uint32_t>(engines_[engine].running()), static_cast<std::uint32_t>(engines_[engine].waiting())});
    }

    void account(const Job &job, double cached, std::size_t engine)
    {
        const bool wasKnown = !known_.insert(job.prefix).second;
        recomputed_ += wasKnown ? job.prefixTokens - cached : 0;
        const EngineSpeed speed;
        const double prefillMs = (job.prefixTokens - cached + job.ownTokens) / speed.prefillPerMs;
        const double decodeMs = job.outputTokens * speed.stepMs * 2 / speed.batchForDoubleStep;
        costMs_ += (prefillMs + decodeMs) * ZonePrice[engine % Zones];
        tokens_ += job.prefixTokens + job.ownTokens + job.outputTokens;
    }

    void finish(std::size_t number, int attempt, double cached)
    {
        Job &job = jobs_[number];
        if (job.attempts != attempt || job.done) {
            return;
        }
        job.done = true;
        engines_[job.engine].leave();
        ended(job, routing::AttemptEnd::Answered);
        // The answer's usage tells the VM that sent it how much was cached; after it, all of the prefix is.
        const double share = job.prefixTokens / (job.prefixTokens + job.ownTokens);
        const std::string instance = "engine-" + std::to_string(job.engine);
        entries_[job.entry].router->notePrefix(instance, job.prefix, share, clock_.now());
        if (std::uniform_real_distribution<double>(0, 1)(random_) >= EventLossShare) {
            cacheEvent(instance, job.prefix, share);
        }
        (void)cached;
        fill(job.engine);
    }

    /// Cache events reach one VM that listens to the engine, late.
    void cacheEvent(const std::string &instance, std::uint64_t prefix, double share)
    {
        const std::size_t listener = text::stableHash(instance) % entries_.size();
        const TimePoint stored = clock_.now();
        at(now_ + EventLagMs, [this, listener, instance, prefix, share, stored] { entries_[listener].router->notePrefix(instance, prefix, share, stored); });
    }

    void sampleLoad()
    {
        double sum = 0;
        double most = 0;
        double count = 0;
        for (std::size_t i = 0; i < engines_.size(); i++) {
            if (!alive_[i]) {
                continue;
            }
            const auto load = static_cast<double>(engines_[i].running() + engines_[i].waiting());
            sum += load;
            most = std::max(most, load);
            count++;
        }
        if (sum > 0) {
            imbalance_.push_back(most / (sum / count));
        }
        if (std::fmod(now_, ReportPeriodMs) == 0) {
            report();
        }
    }

    void report()
    {
        for (std::size_t i = 0; i < engines_.size(); i++) {
            routing::LoadReport report;
            while (history_[i].size() > 1 && history_[i][1].at <= now_ - ReportLagMs) {
                history_[i].pop_front();
            }
            if (!history_[i].empty() && history_[i].front().at <= now_ - ReportLagMs) {
                report.running = history_[i].front().running;
                report.waiting = history_[i].front().waiting;
            }
            for (Entry &entry : entries_) {
                entry.router->noteLoad("engine-" + std::to_string(i), report, clock_.now());
            }
        }
    }

    /// All engines of the last zone die; the list shows it only later.
    void wave()
    {
        for (std::size_t i = Zones - 1; i < engines_.size(); i += Zones) {
            alive_[i] = false;
            engines_[i].die();
        }
        for (std::size_t number = 0; number < jobs_.size(); number++) {
            Job &job = jobs_[number];
            if (job.attempts > 0 && !job.done && !alive_[job.engine]) {
                ended(job, routing::AttemptEnd::Failed);
                dispatch(number, {job.engine});
            }
        }
        at(now_ + ListLagMs, [this] {
            listed_ = alive_;
            for (Entry &entry : entries_) {
                entry.members->applyList(vms());
            }
        });
    }

    Outcome outcome() const
    {
        Outcome result;
        std::vector<double> all;
        std::vector<double> urgent;
        double onTime = 0;
        double attempts = 0;
        for (const Job &job : jobs_) {
            attempts += job.attempts;
            result.lost += job.done ? 0 : 1;
            const double first = job.firstToken < 0 ? HUGE_VAL : job.firstToken;
            all.push_back(first);
            if (job.priority == 0) {
                urgent.push_back(first);
                onTime += first <= UrgentTargetMs ? 1 : 0;
            }
        }
        result.p50Ms = quantile(all, 0.5);
        result.p95Ms = quantile(all, 0.95);
        result.urgentP95Ms = quantile(urgent, 0.95);
        result.urgentOnTime = onTime / static_cast<double>(urgent.size());
        result.recomputedTokens = recomputed_;
        result.cost = costMs_ / MsPerHour / (tokens_ / MillionTokens);
        for (const double sample : imbalance_) {
            result.maxToMeanLoad += sample / static_cast<double>(imbalance_.size());
        }
        result.attemptsPerRequest = attempts / static_cast<double>(jobs_.size());
        return result;
    }

    static double quantile(std::vector<double> values, double share)
    {
        const auto place = values.begin() + static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), place, values.end());
        return *place;
    }

    struct LoadPoint {
        double at = 0;
        std::uint32_t running = 0;
        std::uint32_t waiting = 0;
    };
    Scenario scenario_;
    Policy policy_;
    std::mt19937 random_;
    ManualClock clock_;
    double now_ = 0;
    std::uint64_t nextOrder_ = 0;
    std::priority_queue<Event, std::vector<Event>, Later> events_;
    std::vector<Job> jobs_;
    std::vector<EngineModel> engines_;
    std::vector<bool> alive_;
    std::vector<bool> listed_;
    std::vector<std::deque<LoadPoint>> history_;
    std::vector<Entry> entries_;
    std::set<std::uint64_t> known_;
    std::vector<double> imbalance_;
    double recomputed_ = 0;
    double costMs_ = 0;
    double tokens_ = 0;
};

} // namespace

std::string policyName(Policy policy)
{
    switch (policy) {
    case Policy::RoundRobin:
        return "round robin";
    case Policy::LeastInFlight:
        return "least in flight";
    case Policy::RandomOfTwo:
        return "random of two";
    case Policy::Ours:
        return "ours";
    }
    return "";
}

Outcome runScenario(const Scenario &scenario, Policy policy)
{
    return Bench(scenario, policy).run();
}

} // namespace cardamomlift::bench
