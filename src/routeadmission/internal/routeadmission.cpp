#include "routeadmission/routeadmission.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace cardamomlift::routeadmission {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using forwarding::AdmissionQuestion;
using forwarding::AdmissionVerdict;

/// What a VM or a group has told is used for so long: some lost statuses.
constexpr Duration MaxReportAge = std::chrono::milliseconds(1500);
/// After the last sign that a service is short of room, its demand is still told for so long.
constexpr Duration ShortHold = std::chrono::milliseconds(1500);
/// Within this time after the VMs have begun to tell their demand, all have told it.
constexpr Duration ToldWithin = std::chrono::milliseconds(1000);
/// Classes and services without a request for so long are forgotten.
constexpr Duration IdleTime = std::chrono::seconds(10);
constexpr std::size_t MaxClasses = 64;
constexpr std::size_t MaxToldClasses = 6;
constexpr double MinToldPerSecond = 0.05;
/// Unused credit that a class keeps for a burst of its requests.
constexpr double MaxCredit = 3;
constexpr std::size_t MaxWaiting = 64;
/// A request waits no longer for its class's turn: a refusal would cost its caller more.
constexpr Duration MaxWait = std::chrono::milliseconds(60);
constexpr int GoalPartsWaited = 8;
constexpr int TimeLeftPartsWaited = 4;
/// Callers honour a time to come back up to this part of the time they have left.
constexpr int TimeLeftPartsToReturn = 3;
/// Retry-After while the service is not short of room: about the time in which a burst of requests is processed.
constexpr Duration DefaultRetryAfter = std::chrono::milliseconds(500);
/// A request that ends so soon after a server's refusal was not served.
constexpr Duration RefusalEnds = std::chrono::milliseconds(2);
constexpr double MeanTokensWeight = 0.02;
constexpr double LoggedChange = 0.1;
constexpr Duration LogPeriod = std::chrono::seconds(1);
constexpr std::size_t MaxGauges = 64;

double tokensOf(const AdmissionQuestion &question)
{
    return static_cast<double>(std::clamp<std::int64_t>(question.promptTokens, 0, 1 << 20) + std::clamp<std::int64_t>(question.outputTokens, 0, 1 << 20));
}

double readable(double value)
{
    constexpr double Most = 1e6;
    return std::isfinite(value) && value > 0 && value < Most ? value : 0;
}

} // namespace

RouteAdmission::RouteAdmission(RouteAdmissionTools tools)
    : tools_(std::move(tools))
    , startedAt_(tools_.loop->now())
    , random_(tools_.seed | 1)
{
}

std::shared_ptr<RouteAdmission> RouteAdmission::create(RouteAdmissionTools tools)
{
    return std::shared_ptr<RouteAdmission>(new RouteAdmission(std::move(tools)));
}

double RouteAdmission::jitter()
{
    random_ ^= random_ << 13;
    random_ ^= random_ >> 7;
    random_ ^= random_ << 17;
    return static_cast<double>(random_ >> 11) / static_cast<double>(1ULL << 53);
}

RouteAdmission::Service &RouteAdmission::serviceOf(const std::string &name)
{
    std::unique_ptr<Service> &service = services_[name];
    if (!service) {
        service = std::make_unique<Service>();
        service->name = name;
        service->hash = presence::nameHash(name);
    }
    return *service;
}

// The first credit differs between the VMs, or all of them would refuse their first requests, or none.
RouteAdmission::ClassState &RouteAdmission::classOf(Service &service, ClassKey &key)
{
    if (service.classes.size() >= MaxClasses && !service.classes.contains(key)) {
        key.customer = OtherCustomers;
    }
    const auto [state, isNew] = service.classes.try_emplace(key);
    if (isNew) {
        state->second.credit = jitter();
    }
    return state->second;
}

std::uint64_t RouteAdmission::ask(const AdmissionQuestion &question, Handler handler)
{
    const TimePoint now = tools_.loop->now();
    Service &service = serviceOf(question.service);
    ClassKey key{question.priority, question.customer};
    ClassState &state = classOf(service, key);
    state.demand.note(now);
    state.askedAt = now;
    service.askedAt = now;
    const double tokens = tokensOf(question);
    service.meanTokens += (tokens - service.meanTokens) * (service.meanTokens > 0 ? MeanTokensWeight : 1);
    const double share = service.isShort ? shareOf(service.shares, key) : 1;
    admitWaitingOf(service, key, state);
    if (share >= 1) {
        return admit(service, key, handler, "admitted");
    }
    const double cost = costOf(tokens, service.meanTokens);
    if (state.waitingCost <= 0 && state.credit >= cost) {
        state.credit -= cost;
        return admit(service, key, handler, "admitted");
    }
    if (const auto longest = mayWait(service, state, question, cost, share)) {
        return wait(service, key, question, std::move(handler), cost, *longest);
    }
    refuse(service, question, handler);
    return 0;
}

std::uint64_t RouteAdmission::admit(Service &service, const ClassKey &key, const Handler &handler, std::string_view outcome)
{
    const std::uint64_t id = nextTicket_++;
    Ticket &ticket = tickets_[id];
    ticket.service = &service;
    ticket.key = key;
    service.open++;
    if (service.isShort) {
        count(service, key.priority, outcome);
    }
    handler(verdict(service, key.priority, true));
    return id;
}

void RouteAdmission::refuse(Service &service, const AdmissionQuestion &question, const Handler &handler)
{
    count(service, question.priority, "refused");
    AdmissionVerdict refusal = verdict(service, question.priority, false);
    const Duration left = question.deadline - tools_.loop->now();
    refusal.retryAfter = planReturnOf(service, question.priority, left / TimeLeftPartsToReturn, question.salt);
    handler(refusal);
}

std::optional<Duration> RouteAdmission::mayWait(
    const Service &service, const ClassState &state, const AdmissionQuestion &question, double cost, double share) const
{
    const TimePoint now = tools_.loop->now();
    const double creditPerSecond = share * state.demand.perSecond(now, startedAt_);
    Duration longest = std::min(MaxWait, (question.deadline - now) / TimeLeftPartsWaited);
    if (question.latencyGoal.count() > 0) {
        longest = std::min(longest, question.latencyGoal / GoalPartsWaited - (now - question.arrivedAt));
    }
    const double lacking = cost + state.waitingCost - state.credit;
    if (service.queue.size >= MaxWaiting || longest.count() <= 0 || lacking > creditPerSecond * std::chrono::duration<double>(longest).count()) {
        return std::nullopt;
    }
    return longest;
}

std::uint64_t RouteAdmission::wait(Service &service, const ClassKey &key, const AdmissionQuestion &question, Handler handler, double cost, Duration longest)
{
    const std::uint64_t id = nextTicket_++;
    Ticket &ticket = tickets_[id];
    ticket.service = &service;
    ticket.key = key;
    ticket.isWaiting = true;
    ticket.handler = std::move(handler);
    ticket.question = question;
    ticket.cost = cost;
    ticket.entry.ticket = id;
    ticket.entry.customer = std::to_string(key.customer);
    ticket.entry.priority = key.priority;
    ticket.entry.deadline = question.latencyGoal.count() > 0 ? question.arrivedAt + question.latencyGoal : question.deadline;
    ticket.entry.tokens = std::max<std::int64_t>(1, static_cast<std::int64_t>(tokensOf(question)));
    admission::enqueue(service.queue, ticket.entry);
    service.classes[key].waitingCost += cost;
    ticket.timer = tools_.loop->after(longest, [weak = weak_from_this(), id] {
        if (const auto self = weak.lock()) {
            self->onWaitedTooLong(id);
        }
    });
    return id;
}

void RouteAdmission::endWait(Ticket &ticket)
{
    ticket.isWaiting = false;
    tools_.loop->cancel(std::exchange(ticket.timer, 0));
    ClassState &state = ticket.service->classes[ticket.key];
    state.waitingCost = std::max(0.0, state.waitingCost - ticket.cost);
    if (state.waitingCost < MinToldPerSecond) {
        state.waitingCost = 0;
    }
}

void RouteAdmission::admitWaitingOf(Service &service, const ClassKey &key, ClassState &state)
{
    const double share = service.isShort ? shareOf(service.shares, key) : 1;
    const bool isUnlimited = share >= 1;
    state.credit = std::min(state.credit + share * state.demand.take(tools_.loop->now()), MaxCredit);
    while (state.waitingCost > 0 && (isUnlimited || state.credit >= 1)) {
        const auto next = admission::dequeueOf(service.queue, key.priority, std::to_string(key.customer));
        if (!next) {
            state.waitingCost = 0;
            return;
        }
        state.credit = std::max(0.0, state.credit - tickets_.at(next->ticket).cost);
        admitWaiting(next->ticket);
    }
}

void RouteAdmission::admitAllWaiting(Service &service)
{
    while (const auto next = admission::dequeue(service.queue, [](int) { return true; })) {
        admitWaiting(next->ticket);
    }
}

void RouteAdmission::admitWaiting(std::uint64_t id)
{
    Ticket &ticket = tickets_.at(id);
    endWait(ticket);
    Service &service = *ticket.service;
    service.open++;
    count(service, ticket.key.priority, "waited");
    const Handler handler = std::exchange(ticket.handler, nullptr);
    const AdmissionVerdict answer = verdict(service, ticket.key.priority, true);
    // NOTE Sent later, so that what it sets off doesn't come in the middle of a decision.
    tools_.loop->post([handler, answer] { handler(answer); });
}

void RouteAdmission::onWaitedTooLong(std::uint64_t id)
{
    const auto found = tickets_.find(id);
    if (found == tickets_.end() || !found->second.isWaiting) {
        return;
    }
    admission::removeEntry(found->second.service->queue, found->second.entry);
    endWait(found->second);
    const Ticket ticket = std::move(found->second);
    tickets_.erase(found);
    refuse(*ticket.service, ticket.question, ticket.handler);
}

void RouteAdmission::release(std::uint64_t id)
{
    const auto found = tickets_.find(id);
    if (found == tickets_.end()) {
        return;
    }
    Ticket &ticket = found->second;
    Service &service = *ticket.service;
    if (ticket.isWaiting) {
        admission::removeEntry(service.queue, ticket.entry);
        endWait(ticket);
        tickets_.erase(found);
        return;
    }
    const TimePoint now = tools_.loop->now();
    service.open = std::max<std::int64_t>(0, service.open - 1);
    if (!ticket.fullAt || now - *ticket.fullAt > RefusalEnds) {
        service.served.note(now);
    }
    tickets_.erase(found);
}

void RouteAdmission::noteServerFull(std::uint64_t id)
{
    const auto found = tickets_.find(id);
    if (found == tickets_.end()) {
        return;
    }
    const TimePoint now = tools_.loop->now();
    found->second.fullAt = now;
    found->second.service->refused.note(now);
}

Duration RouteAdmission::planReturnOf(Service &service, int priority, Duration longest, std::uint64_t salt)
{
    double admitted = 0;
    for (const ClassShare &entry : service.shares) {
        admitted += entry.key.priority == priority ? entry.demand * entry.share : 0;
    }
    const double vms = static_cast<double>(std::max<std::size_t>(1, tools_.vmCount()));
    return planReturn(service.returns, priority, admitted / vms, longest, salt ^ random_, tools_.loop->now());
}

Duration RouteAdmission::retryAfter(const std::string &name, int priority)
{
    const auto found = services_.find(name);
    if (found == services_.end() || !found->second->isShort) {
        return DefaultRetryAfter;
    }
    jitter();
    return planReturnOf(*found->second, priority, Duration::max(), random_);
}

std::vector<presence::ClassDemand> RouteAdmission::demandsToShare() const
{
    const TimePoint now = tools_.loop->now();
    std::vector<presence::ClassDemand> told;
    for (const auto &[name, service] : services_) {
        if (now >= service->shortUntil && !isNearlyShort(service->room)) {
            continue;
        }
        std::vector<presence::ClassDemand> entries;
        for (const auto &[key, state] : service->classes) {
            presence::ClassDemand entry;
            entry.service = service->hash;
            entry.customer = key.customer;
            entry.priority = key.priority;
            entry.perSecond = state.demand.perSecond(now, startedAt_);
            entries.push_back(entry);
        }
        std::sort(entries.begin(), entries.end(), [](const auto &a, const auto &b) { return a.perSecond > b.perSecond; });
        // The rest is told by priority.
        for (std::size_t i = MaxToldClasses; i < entries.size(); i++) {
            const auto same = std::find_if(entries.begin() + MaxToldClasses, entries.begin() + static_cast<std::ptrdiff_t>(i), [&](const auto &other) {
                return other.priority == entries[i].priority;
            });
            entries[i].customer = OtherCustomers;
            if (same != entries.begin() + static_cast<std::ptrdiff_t>(i)) {
                same->perSecond += std::exchange(entries[i].perSecond, 0);
            }
        }
        std::erase_if(entries, [](const auto &entry) { return entry.perSecond < MinToldPerSecond; });
        if (entries.empty()) {
            entries.emplace_back().service = service->hash;
        }
        // The service's own figures go with its first class.
        entries.front().servedPerSecond = service->served.perSecond(now, startedAt_);
        entries.front().refusedPerSecond = service->refused.perSecond(now, startedAt_);
        entries.front().waiting = static_cast<std::uint32_t>(service->queue.size);
        told.insert(told.end(), entries.begin(), entries.end());
    }
    return told;
}

void RouteAdmission::applyPeer(const presence::Status &status)
{
    PeerReport &report = peers_[status.instance];
    report.heardAt = tools_.loop->now();
    report.services = status.services;
    report.demands = status.classDemands;
}

void RouteAdmission::forgetPeers()
{
    peers_.clear();
}

void RouteAdmission::addPeers(FleetSums &sums, const Service &service, Duration &oldest) const
{
    const TimePoint now = tools_.loop->now();
    for (const auto &[instance, report] : peers_) {
        if (now - report.heardAt > MaxReportAge) {
            continue;
        }
        oldest = std::max(oldest, now - report.heardAt);
        sums.reporters++;
        double open = 0;
        for (const presence::ServiceLoad &load : report.services) {
            if (load.service == service.hash) {
                open = load.open;
                sums.answersPerSecond += readable(load.answersPerSecond);
            }
        }
        bool isTelling = open == 0;
        for (const presence::ClassDemand &demand : report.demands) {
            if (demand.service != service.hash) {
                continue;
            }
            isTelling = true;
            open -= demand.waiting;
            sums.room.servedPerSecond += readable(demand.servedPerSecond);
            sums.room.refusedPerSecond += readable(demand.refusedPerSecond);
            if (readable(demand.perSecond) > 0) {
                sums.demands[{demand.priority, demand.customer}] += readable(demand.perSecond);
            }
        }
        sums.room.open += std::max(0.0, open);
        sums.telling += isTelling ? 1 : 0;
    }
}

// Those that have told nothing of their demand are taken to be like those that have.
RouteAdmission::FleetSums RouteAdmission::sumUp(const Service &service, Duration &oldest) const
{
    const TimePoint now = tools_.loop->now();
    FleetSums sums;
    sums.room.open = static_cast<double>(service.open);
    sums.room.servedPerSecond = service.served.perSecond(now, startedAt_);
    sums.room.refusedPerSecond = service.refused.perSecond(now, startedAt_);
    for (const auto &[key, state] : service.classes) {
        sums.demands[key] = state.demand.perSecond(now, startedAt_);
    }
    addPeers(sums, service, oldest);
    const double untold = static_cast<double>(sums.reporters) / static_cast<double>(sums.telling);
    // A VM that has heard less than half of the others takes the rest to be like those.
    const std::size_t expected = std::max<std::size_t>(1, tools_.reporterCount());
    sums.isMostlyUnheard = sums.reporters * 2 < expected;
    const double unheard = sums.isMostlyUnheard ? static_cast<double>(expected) / static_cast<double>(sums.reporters) : 1;
    sums.room.open *= unheard;
    sums.room.servedPerSecond *= untold * unheard;
    sums.room.refusedPerSecond *= untold * unheard;
    double demandSum = 0;
    for (auto &[key, demand] : sums.demands) {
        demand *= untold * unheard;
        demandSum += demand;
    }
    // Until all have told their demand, it is taken to be no less than what is answered.
    if (!service.shortSince || now - *service.shortSince < ToldWithin) {
        sums.room.servedPerSecond = std::max(sums.room.servedPerSecond, sums.answersPerSecond * unheard);
        const double untoldDemand = demandSum > 0 ? std::max(1.0, sums.room.servedPerSecond / demandSum) : 1;
        for (auto &[key, demand] : sums.demands) {
            demand *= untoldDemand;
        }
    }
    sums.room.slots = tools_.slots(service.name);
    sums.room.goal = tools_.goal(service.name);
    sums.room.hasSummaries = tools_.vmCount() > expected;
    return sums;
}

void RouteAdmission::update(Service &service)
{
    const TimePoint now = tools_.loop->now();
    service.reportAge = Duration(0);
    const FleetSums sums = sumUp(service, service.reportAge);
    service.room = sums.room;
    service.demand = 0;
    std::vector<ClassRate> rates;
    rates.reserve(sums.demands.size());
    for (const auto &[key, demand] : sums.demands) {
        rates.push_back({key, demand});
        service.demand += demand;
    }
    const bool wasShort = service.isShort;
    const bool wasShortLately = now < service.shortUntil;
    // What a VM alone has open says little of the others, unless servers refuse it.
    const bool isGuess = sums.isMostlyUnheard && !wasShortLately && service.refused.perSecond(now, startedAt_) < MinToldPerSecond;
    // Without latency goals nobody tells what is answered, so that the queues can't be judged until the VMs have told more.
    service.nearlyShortSince = isNearlyShort(service.room) ? service.nearlyShortSince.value_or(now) : std::optional<TimePoint>();
    const bool isUntold = !wasShortLately && sums.answersPerSecond <= 0 && (!service.nearlyShortSince || now - *service.nearlyShortSince < ToldWithin);
    service.isShort = !isGuess && !isUntold && routeadmission::isShort(service.room, service.demand, wasShortLately);
    service.shortSince = service.isShort ? service.shortSince.value_or(now) : (wasShortLately ? service.shortSince : std::optional<TimePoint>());
    service.shares = service.isShort ? distribute(admissibleRate(service.room), rates) : std::vector<ClassShare>();
    if (service.isShort && !wasShort) {
        for (auto &[key, state] : service.classes) {
            state.credit = jitter();
            state.demand.take(now);
        }
    }
    if (service.isShort) {
        service.shortUntil = now + ShortHold;
        for (auto &[key, state] : service.classes) {
            admitWaitingOf(service, key, state);
        }
    } else {
        admitAllWaiting(service);
    }
    if (wasShort || service.isShort) {
        logLevels(service, wasShort);
    }
}

void RouteAdmission::tick()
{
    const TimePoint now = tools_.loop->now();
    std::erase_if(peers_, [now](const auto &peer) { return now - peer.second.heardAt > IdleTime; });
    for (const auto &[name, service] : services_) {
        update(*service);
        forgetIdle(*service);
    }
    std::erase_if(services_, [now](const auto &entry) {
        const Service &service = *entry.second;
        return now - service.askedAt > IdleTime && service.open == 0 && service.queue.size == 0;
    });
}

void RouteAdmission::forgetIdle(Service &service)
{
    const TimePoint now = tools_.loop->now();
    std::erase_if(service.classes, [now](const auto &entry) { return now - entry.second.askedAt > IdleTime && entry.second.waitingCost <= 0; });
}

AdmissionVerdict RouteAdmission::verdict(const Service &service, int priority, bool isAdmitted) const
{
    AdmissionVerdict verdict;
    verdict.isAdmitted = isAdmitted;
    if (!service.isShort) {
        return verdict;
    }
    verdict.admittedShare = shareOfPriority(service.shares, priority);
    verdict.open = static_cast<std::int64_t>(service.room.open);
    verdict.slots = static_cast<std::int64_t>(service.room.slots);
    verdict.demandPerSecond = static_cast<std::int64_t>(service.demand);
    verdict.servedPerSecond = static_cast<std::int64_t>(service.room.servedPerSecond);
    verdict.age = service.reportAge;
    return verdict;
}

void RouteAdmission::count(const Service &service, int priority, std::string_view outcome) const
{
    if (tools_.metrics) {
        tools_.metrics->add(fmt::format("route_admission_total{{service=\"{}\",priority=\"{}\",outcome=\"{}\"}}", service.name, priority, outcome));
    }
}

void RouteAdmission::logLevels(Service &service, bool wasShort)
{
    const TimePoint now = tools_.loop->now();
    std::map<int, double> levels;
    for (const auto &[priority, logged] : service.loggedShares) {
        levels[priority] = 1;
    }
    for (const ClassShare &entry : service.shares) {
        levels[entry.key.priority] = shareOfPriority(service.shares, entry.key.priority);
    }
    for (const auto &[priority, share] : levels) {
        const auto [logged, isNew] = service.loggedShares.try_emplace(priority, 1.0, TimePoint());
        if (isNew && tools_.metrics && gauges_ < MaxGauges) {
            gauges_++;
            tools_.metrics->gauge(fmt::format("route_admission_share{{service=\"{}\",priority=\"{}\"}}", service.name, priority),
                [weak = weak_from_this(), name = service.name, level = priority] {
                    const auto self = weak.lock();
                    return self ? self->admittedShare(name, level) : 1;
                });
        }
        const bool isFlip = wasShort != service.isShort;
        const bool isChange = std::abs(share - logged->second.first) >= LoggedChange && now - logged->second.second >= LogPeriod;
        if (!tools_.log || (!isFlip && !isChange)) {
            continue;
        }
        logged->second = {share, now};
        tools_.log->write(Event::AdmissionLevel,
            {{Attribute::Service, service.name},
                {Attribute::Priority, std::int64_t(priority)},
                {Attribute::Outcome, service.isShort ? "short" : "enough"},
                {Attribute::SharePercent, static_cast<std::int64_t>(share * 100)},
                {Attribute::Open, static_cast<std::int64_t>(service.room.open)},
                {Attribute::Slots, static_cast<std::int64_t>(service.room.slots)},
                {Attribute::DemandPerSecond, static_cast<std::int64_t>(service.demand)},
                {Attribute::ServedPerSecond, static_cast<std::int64_t>(service.room.servedPerSecond)},
                {Attribute::AgeMs, toMilliseconds(service.reportAge)}});
    }
}

bool RouteAdmission::isShort(const std::string &service) const
{
    const auto found = services_.find(service);
    return found != services_.end() && found->second->isShort;
}

double RouteAdmission::admittedShare(const std::string &service, int priority) const
{
    return isShort(service) ? shareOfPriority(services_.at(service)->shares, priority) : 1;
}

std::size_t RouteAdmission::waitingRequests() const
{
    std::size_t waiting = 0;
    for (const auto &[name, service] : services_) {
        waiting += service->queue.size;
    }
    return waiting;
}

} // namespace cardamomlift::routeadmission
