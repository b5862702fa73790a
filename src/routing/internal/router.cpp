#include "routing/router.h"

#include "routing/choose.h"
#include "text/digest.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cardamomlift::routing {

namespace {

/// Lag of load reports. Requests started by this VM decay out of the estimate over this time.
constexpr Duration ReportLag = std::chrono::milliseconds(1500);
/// Time constant by which the counts of a report decay. Polls are seconds apart, and a report that old tells less than the
/// requests started by this VM. Found with bench-routing.
constexpr Duration ReportDecay = std::chrono::milliseconds(1000);
constexpr Duration MaxReportAge = std::chrono::seconds(10);
constexpr Duration InitialBackoff = std::chrono::seconds(1);
constexpr std::uint32_t MaxBackoffDoublings = 4;

bool contains(std::span<const std::string> values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

double decayed(const ServerState &state, TimePoint now)
{
    const double elapsedLags = std::chrono::duration<double>(now - state.recentStartsAt) / ReportLag;
    return state.recentStarts * std::exp(-elapsedLags);
}

/// The counts of requests in a report decay with its age.
LoadReport decayed(LoadReport report, Duration age)
{
    const double weight = std::exp(-(std::chrono::duration<double>(age) / ReportDecay));
    report.running = static_cast<std::uint32_t>(std::lround(report.running * weight));
    report.waiting = static_cast<std::uint32_t>(std::lround(report.waiting * weight));
    return report;
}

} // namespace

std::shared_ptr<Router> Router::create(const Clock &clock, std::shared_ptr<membership::Members> members, std::shared_ptr<backoff::BackoffTracker> backoffs)
{
    std::shared_ptr<Router> router(new Router);
    router->clock_ = &clock;
    router->members_ = std::move(members);
    router->backoffs_ = std::move(backoffs);
    // The seed differs between VMs: with the same samples all would choose the same server.
    router->random_.seed(static_cast<std::uint32_t>(text::stableHash(router->members_->self())));
    router->refresh();
    router->members_->onChange([weak = std::weak_ptr<Router>(router)] {
        if (const auto router = weak.lock()) {
            router->refresh();
        }
    });
    return router;
}

void Router::refresh()
{
    index_.refresh(*members_);
    fleetStartsPerLocalStart_ = fleetStartsPerLocalStart(members_->peers().size() + 1);
}

bool Router::isBackingOff(const std::string &instance) const
{
    return backoffs_ && backoffs_->endsAt(instance);
}

bool Router::isAtRecoveryLimit(const std::string &instance, const ServerState &state) const
{
    const auto limit = backoffs_ ? backoffs_->openLimit(instance) : std::nullopt;
    return limit && state.inFlight >= static_cast<std::uint32_t>(*limit);
}

Candidate Router::candidate(const ServerGroup &group, std::size_t server, const RouteCriteria &criteria) const
{
    const membership::Vm &vm = group.vms[server];
    const ServerState &state = *group.states[server];
    const TimePoint now = clock_->now();
    Candidate result;
    result.zone = vm.zone;
    result.microsPerHour = vm.microsPerHour;
    result.inFlight = state.inFlight;
    const auto customer = state.inFlightByCustomer.find(criteria.customer);
    result.customerInFlight = customer == state.inFlightByCustomer.end() ? 0 : customer->second;
    result.recentStarts = decayed(state, now);
    result.fleetStartsPerLocalStart = fleetStartsPerLocalStart_;
    if (state.report && now - state.reportAt < MaxReportAge) {
        result.report = decayed(*state.report, now - state.reportAt);
    }
    result.excluded = contains(criteria.exclude, vm.instance) || isBackingOff(vm.instance);
    result.hostsSuspect = contains(criteria.serversWithSuspects, vm.instance);
    // After a failure, one first attempt per second probes whether the server has recovered; retries go to healthy servers.
    // NOTE A dead server looks idle compared with the load that others report, and would attract all first attempts at once.
    const bool isRetry = !criteria.exclude.empty();
    const bool wasProbed = state.recentStartsAt >= state.avoidUntil && now - state.recentStartsAt < InitialBackoff;
    const bool isPresumedDown = state.consecutiveFailures > 0 && (isRetry || wasProbed);
    result.failedRecently = now < state.avoidUntil || isPresumedDown || members_->isUnreachable(vm.instance) || isAtRecoveryLimit(vm.instance, state);
    return result;
}

std::optional<std::size_t> Router::chooseAmong(
    const ServerGroup &group, std::span<const std::size_t> servers, std::size_t prefixServerCount, const RouteCriteria &criteria, bool onlyHealthy)
{
    std::vector<Candidate> candidates;
    candidates.reserve(servers.size());
    for (std::size_t i = 0; i < servers.size(); i++) {
        Candidate one = candidate(group, servers[i], criteria);
        one.excluded = one.excluded || (onlyHealthy && one.failedRecently);
        const double expectedShare = i < prefixServerCount ? expectedCachedShare(i) : 0;
        one.cachedShare =
            criteria.prefixHash == 0 ? 0 : hints_.share(group.vms[servers[i]].instance, criteria.prefixHash, clock_->now()).value_or(expectedShare);
        candidates.push_back(one);
    }
    const auto best = routing::choose(candidates, criteria);
    if (!best) {
        return std::nullopt;
    }
    return servers[*best];
}

std::optional<membership::Vm> Router::choose(const RouteCriteria &criteria)
{
    const ServerGroup *group = index_.find(criteria.role, criteria.name);
    if (!group) {
        return std::nullopt;
    }
    const Sample sample = sampleServers(group->ring, criteria.prefixHash, random_);
    // A suspect needs the least loaded of all servers. Suspects are rare enough to look at each server.
    auto best = criteria.preferIdleServer ? std::nullopt : chooseAmong(*group, sample.servers, sample.prefixServerCount, criteria, true);
    if (!best) {
        // All of the sample have failed or were tried: considers every server, healthy ones first.
        std::vector<std::size_t> all(group->vms.size());
        std::iota(all.begin(), all.end(), std::size_t{0});
        best = chooseAmong(*group, all, 0, criteria, false);
    }
    if (!best) {
        return std::nullopt;
    }
    return group->vms[*best];
}

void Router::started(const std::string &instance, std::string_view customer)
{
    ServerState &state = *index_.state(instance);
    const TimePoint now = clock_->now();
    state.inFlight++;
    state.recentStarts = decayed(state, now) + 1;
    state.recentStartsAt = now;
    const auto found = state.inFlightByCustomer.find(customer);
    if (found == state.inFlightByCustomer.end()) {
        state.inFlightByCustomer.emplace(std::string(customer), 1);
    } else {
        found->second++;
    }
}

void Router::finished(const std::string &instance, AttemptEnd end, std::string_view customer)
{
    ServerState &state = *index_.state(instance);
    const auto found = state.inFlightByCustomer.find(customer);
    if (found == state.inFlightByCustomer.end()) {
        return;
    }
    state.inFlight--;
    if (--found->second == 0) {
        state.inFlightByCustomer.erase(found);
    }
    if (end == AttemptEnd::Answered) {
        state.consecutiveFailures = 0;
        state.avoidUntil = TimePoint();
        if (backoffs_) {
            backoffs_->noteAnswered(instance, clock_->now());
        }
    } else if (end == AttemptEnd::Failed || (end == AttemptEnd::Refused && !isBackingOff(instance))) {
        avoid(instance);
    }
}

void Router::avoid(const std::string &instance)
{
    ServerState &state = *index_.state(instance);
    const TimePoint now = clock_->now();
    if (now < state.avoidUntil) {
        // Failures while the server is avoided already do not extend the backoff.
        return;
    }
    state.avoidUntil = now + InitialBackoff * (1U << std::min(state.consecutiveFailures, MaxBackoffDoublings));
    state.consecutiveFailures++;
}

void Router::noteLoad(const std::string &instance, const LoadReport &report, TimePoint at)
{
    ServerState &state = *index_.state(instance);
    if (state.report && at < state.reportAt) {
        return;
    }
    state.report = report;
    state.reportAt = at;
}

void Router::notePrefix(std::string_view instance, std::uint64_t prefixHash, double share, TimePoint at)
{
    hints_.note(instance, prefixHash, share, at);
}

std::size_t Router::availableServers(membership::VmRole role, std::string_view name, std::span<const std::string> exclude) const
{
    const ServerGroup *group = index_.find(role, name);
    if (!group) {
        return 0;
    }
    const auto count = std::count_if(
        group->vms.begin(), group->vms.end(), [&](const membership::Vm &vm) { return !contains(exclude, vm.instance) && !isBackingOff(vm.instance); });
    return static_cast<std::size_t>(count);
}

std::optional<Duration> Router::backoffLeft(membership::VmRole role, std::string_view name, std::span<const std::string> exclude) const
{
    const ServerGroup *group = index_.find(role, name);
    if (!group || !backoffs_) {
        return std::nullopt;
    }
    std::optional<TimePoint> first;
    for (const membership::Vm &vm : group->vms) {
        if (contains(exclude, vm.instance)) {
            continue;
        }
        const auto end = backoffs_->endsAt(vm.instance);
        if (!end) {
            return std::nullopt;
        }
        first = std::min(first.value_or(*end), *end);
    }
    return first ? std::optional(*first - clock_->now()) : std::nullopt;
}

} // namespace cardamomlift::routing
