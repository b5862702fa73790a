#include "serverlimits/serverratelimiter.h"

#include "serverlimits/permitrules.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::serverlimits {

namespace {

using eventlog::Attribute;
using eventlog::Event;
using forwarding::AdvertisedLimit;

/// More than all VMs together are designed to forward: a higher limit has no effect, and its permits would only cost time.
constexpr double MaxRequestsPerSecond = 10'000;
/// The end of a limit is repeated in statuses for this long: several statuses in the largest deployments.
constexpr Duration EndShareDuration = std::chrono::seconds(10);
/// The latest limits only, so that they fit into a status beside its other fields.
constexpr std::size_t MaxSharedLimits = 64;
/// Added to the age of a reported end, which does not include the time that its status was in transit. The server may have
/// advertised a limit again in that time.
constexpr Duration EndAgeMargin = std::chrono::milliseconds(300);
/// The state of a server that is not in the directory here is kept for this long, since the directory may lag behind.
constexpr Duration UnlistedRetention = std::chrono::seconds(30);

} // namespace

ServerRateLimiter::ServerRateLimiter(ServerRateLimiterTools tools)
    : tools_(std::move(tools))
    , ownHash_(presence::nameHash(tools_.instance))
{
}

std::shared_ptr<ServerRateLimiter> ServerRateLimiter::create(ServerRateLimiterTools tools)
{
    std::shared_ptr<ServerRateLimiter> limiter(new ServerRateLimiter(std::move(tools)));
    limiter->tick();
    return limiter;
}

const ServerRateLimiter::ServerState *ServerRateLimiter::findLimited(const std::string &instance) const
{
    if (servers_.empty()) {
        return nullptr;
    }
    const auto found = servers_.find(presence::nameHash(instance));
    return found != servers_.end() && found->second.isLimited ? &found->second : nullptr;
}

bool ServerRateLimiter::hasRoom(const std::string &instance)
{
    if (!findLimited(instance)) {
        return true;
    }
    const auto now = tools_.storeNow();
    if (!now || vms_.empty()) {
        return false;
    }
    PermitSchedule &schedule = servers_.at(presence::nameHash(instance)).schedule;
    collectPermits(schedule, vms_, ownHash_, *now);
    return !schedule.permits.empty();
}

void ServerRateLimiter::noteSent(const std::string &instance)
{
    if (findLimited(instance)) {
        usePermit(servers_.at(presence::nameHash(instance)).schedule);
    }
}

void ServerRateLimiter::noteAnswer(const std::string &instance, const AdvertisedLimit &limit, TimePoint sentAt)
{
    if (limit.kind == AdvertisedLimit::Kind::Unknown) {
        return;
    }
    const std::uint64_t server = presence::nameHash(instance);
    const bool isLimited = limit.kind == AdvertisedLimit::Kind::Limited && limit.requestsPerSecond <= MaxRequestsPerSecond;
    if (isLimited || canEndLimit(server, sentAt)) {
        apply({server, isLimited, limit.requestsPerSecond, tools_.loop->now(), {}});
    }
}

// NOTE The server may have sent an answer without a limit before it advertised the limit that another VM knows of. So only an
// answer to a request that was sent after the limit was observed ends it. Answers after the end are applied too while the end
// is shared: newer observations convince VMs that took the first one for older than the limit.
bool ServerRateLimiter::canEndLimit(std::uint64_t server, TimePoint sentAt) const
{
    const auto found = servers_.find(server);
    if (found == servers_.end() || sentAt < found->second.observedAt) {
        return false;
    }
    return found->second.isLimited || isEndShared(found->second);
}

bool ServerRateLimiter::isEndShared(const ServerState &state) const
{
    return tools_.loop->now() - state.changedAt < EndShareDuration;
}

std::optional<double> ServerRateLimiter::requestsPerSecond(const std::string &instance) const
{
    const ServerState *state = findLimited(instance);
    return state ? std::optional(state->schedule.requestsPerSecond) : std::nullopt;
}

double ServerRateLimiter::ownRequestsPerSecond(const std::string &instance) const
{
    const ServerState *state = findLimited(instance);
    return state && !vms_.empty() ? state->schedule.requestsPerSecond / static_cast<double>(vms_.size()) : 0;
}

void ServerRateLimiter::apply(const Observation &observation)
{
    const auto [entry, isNew] = servers_.try_emplace(observation.server);
    ServerState &state = entry->second;
    if (!isNew && observation.observedAt < state.observedAt) {
        return;
    }
    const bool isChange =
        state.isLimited != observation.isLimited || (observation.isLimited && state.schedule.requestsPerSecond != observation.requestsPerSecond);
    if (isChange) {
        logChange(observation, state);
        state.changedAt = tools_.loop->now();
    }
    state.isLimited = observation.isLimited;
    state.observedAt = observation.observedAt;
    state.isLocal = observation.source.empty();
    state.schedule.server = observation.server;
    if (!observation.isLimited) {
        state.schedule = {};
    } else if (isChange) {
        changeRate(state.schedule, observation.requestsPerSecond);
    }
}

void ServerRateLimiter::changeRate(PermitSchedule &schedule, double requestsPerSecond)
{
    const auto now = tools_.storeNow();
    if (now && schedule.lastCollected) {
        // The permits issued at the old rate since the last call.
        collectPermits(schedule, vms_, ownHash_, *now);
    }
    setRate(schedule, requestsPerSecond, now);
}

std::vector<presence::ServerLimit> ServerRateLimiter::limitsToShare() const
{
    const TimePoint now = tools_.loop->now();
    std::vector<presence::ServerLimit> limits;
    for (const auto &[server, state] : servers_) {
        if (state.isLocal && (state.isLimited || isEndShared(state))) {
            limits.push_back({server, state.isLimited, state.schedule.requestsPerSecond, now - state.observedAt});
        }
    }
    std::sort(limits.begin(), limits.end(), [](const auto &a, const auto &b) { return a.age < b.age; });
    limits.resize(std::min(limits.size(), MaxSharedLimits));
    return limits;
}

void ServerRateLimiter::applyPeerLimits(const std::string &vm, const std::vector<presence::ServerLimit> &limits)
{
    const TimePoint now = tools_.loop->now();
    for (const presence::ServerLimit &limit : limits) {
        const TimePoint observedAt = now - limit.age - (limit.isLimited ? Duration(0) : EndAgeMargin);
        apply({limit.server, limit.isLimited, limit.perSecond, observedAt, vm});
    }
}

void ServerRateLimiter::tick()
{
    vms_.clear();
    for (const std::string &vm : tools_.vms()) {
        vms_.push_back(presence::nameHash(vm));
    }
    std::sort(vms_.begin(), vms_.end());
    if (servers_.empty()) {
        return;
    }
    const TimePoint now = tools_.loop->now();
    std::erase_if(servers_, [&](const auto &entry) { return !tools_.directory->findByHash(entry.first) && now - entry.second.observedAt > UnlistedRetention; });
}

std::size_t ServerRateLimiter::limitedServers() const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto &entry) { return entry.second.isLimited; }));
}

std::string ServerRateLimiter::nameOf(std::uint64_t server) const
{
    const auto listed = tools_.directory->findByHash(server);
    return listed ? listed->server.instance : std::string();
}

void ServerRateLimiter::logChange(const Observation &observation, const ServerState &before) const
{
    const std::string limit = observation.isLimited ? fmt::format("{}", observation.requestsPerSecond) : std::string();
    const std::string_view outcome = !observation.isLimited ? "ended" : before.isLimited ? "changed" : "named";
    tools_.log->write(Event::ServerLimited,
        {{Attribute::Server, nameOf(observation.server)},
            {Attribute::Outcome, outcome},
            {Attribute::Limit, limit},
            {Attribute::Source, observation.source.empty() ? std::string_view("answer") : observation.source},
            {Attribute::AgeMs, std::chrono::duration_cast<std::chrono::milliseconds>(tools_.loop->now() - observation.observedAt).count()}});
}

} // namespace cardamomlift::serverlimits
