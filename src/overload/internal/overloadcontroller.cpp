#include "overload/overloadcontroller.h"

#include "overload/overloadrules.h"
#include "presence/presencetypes.h"

#include <algorithm>

namespace cardamomlift::overload {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Until the VMs have been counted.
constexpr std::size_t AssumedVms = 8;
/// Until a request of the service has been answered.
constexpr Duration AssumedServiceTime = std::chrono::milliseconds(500);
constexpr Duration MinServiceTime = std::chrono::milliseconds(1);
/// A server crashes for the refusals of one second.
constexpr Duration RefusalMemory = std::chrono::seconds(2);
/// Weight of the latest request in the average time of a service's requests.
constexpr int ServiceTimeSmoothing = 8;

} // namespace

OverloadController::OverloadController(OverloadTools tools)
    : tools_(std::move(tools))
    , ownHash_(presence::nameHash(tools_.instance))
{
}

std::shared_ptr<OverloadController> OverloadController::create(OverloadTools tools)
{
    std::shared_ptr<OverloadController> controller(new OverloadController(std::move(tools)));
    controller->tick();
    return controller;
}

std::size_t OverloadController::vmCount() const
{
    return vms_.empty() ? AssumedVms : vms_.size();
}

Duration OverloadController::serviceTime(const std::string &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? AssumedServiceTime : found->second.serviceTime.value_or(AssumedServiceTime);
}

bool OverloadController::isManaged(const ServerKey &server) const
{
    const auto found = servers_.find(server.instance);
    if (found != servers_.end()) {
        return found->second.refusalsPerSecond.has_value();
    }
    const auto service = services_.find(server.service);
    return service != services_.end() && service->second.announcing > 0;
}

OverloadController::ServerState *OverloadController::managed(const ServerKey &server)
{
    if (!isManaged(server)) {
        return nullptr;
    }
    const auto [entry, isNew] = servers_.try_emplace(server.instance);
    ServerState &state = entry->second;
    if (isNew) {
        // It has not said anything yet, but its service's other servers have: it has just started.
        manage(state, server);
        state.refusalsPerSecond = services_[server.service].refusalsPerSecond;
        restart(state.capacity);
    }
    return &state;
}

void OverloadController::manage(ServerState &state, const ServerKey &server)
{
    state.service = server.service;
    state.hash = presence::nameHash(server.instance);
    state.capacity = initialCapacity(server.slots, tools_.loop->now());
    services_[server.service].announcing++;
}

bool OverloadController::hasRoom(const ServerKey &server, int open)
{
    ServerState *state = managed(server);
    if (!state) {
        return true;
    }
    const TimePoint now = tools_.loop->now();
    const auto storeNow = tools_.storeNow();
    grow(state->capacity, now);
    if (now < state->capacity.pausedUntil || !storeNow) {
        return false;
    }
    const Duration usualTime = serviceTime(server.service);
    const Turn turn = turnAt(*storeNow, turnLength(usualTime));
    return mayStart(turn, usualTime) && open < ownedSlots(*state, turn);
}

std::optional<Duration> OverloadController::untilNextTurn(const ServerKey &server)
{
    const ServerState *state = managed(server);
    const auto storeNow = tools_.storeNow();
    if (!state || !storeNow) {
        return std::nullopt;
    }
    const Duration usualTime = serviceTime(server.service);
    const Turn turn = turnAt(*storeNow, turnLength(usualTime));
    const bool isPaused = tools_.loop->now() + turn.left < state->capacity.pausedUntil;
    if (isPaused || mayStart(turn, usualTime) || ownedSlotsIn(*state, turn.number + 1) == 0) {
        return std::nullopt;
    }
    return turn.left;
}

int OverloadController::ownedSlotsIn(const ServerState &state, std::int64_t turn) const
{
    return overload::ownedSlots(vms_, ownHash_, state.hash, static_cast<int>(state.capacity.slots), turn);
}

int OverloadController::ownedSlots(ServerState &state, const Turn &turn) const
{
    const int slots = static_cast<int>(state.capacity.slots);
    if (state.turn != turn.number || state.slots != slots) {
        state.turn = turn.number;
        state.slots = slots;
        state.ownedSlots = ownedSlotsIn(state, turn.number);
    }
    return state.ownedSlots;
}

void OverloadController::noteAnswer(const ServerKey &server, std::optional<int> refusalsPerSecond)
{
    if (refusalsPerSecond) {
        announce(server, *refusalsPerSecond);
        return;
    }
    const auto found = servers_.find(server.instance);
    if (found != servers_.end()) {
        endAnnouncement(found->second, server.instance);
    }
}

void OverloadController::announce(const ServerKey &server, int refusalsPerSecond)
{
    ServerState &state = servers_[server.instance];
    services_[server.service].refusalsPerSecond = refusalsPerSecond;
    if (!state.refusalsPerSecond) {
        manage(state, server);
    }
    const bool isChange = state.refusalsPerSecond != refusalsPerSecond;
    state.refusalsPerSecond = refusalsPerSecond;
    if (isChange) {
        log("named", server.instance, state);
    }
}

void OverloadController::endAnnouncement(ServerState &state, const std::string &instance)
{
    if (!state.refusalsPerSecond) {
        return;
    }
    log("ended", instance, state);
    state.refusalsPerSecond.reset();
    services_[state.service].announcing--;
}

RefusalBound OverloadController::boundOf(const ServerState &state) const
{
    return {state.refusalsPerSecond.value_or(0), vmCount()};
}

void OverloadController::noteRefused(const ServerKey &server)
{
    if (ServerState *state = managed(server)) {
        state->refusedAt = tools_.loop->now();
        overload::noteRefused(state->capacity, boundOf(*state), tools_.loop->now());
        log("refused", server.instance, *state);
    }
}

bool OverloadController::hasRefusedLately(const ServerKey &server) const
{
    const auto found = servers_.find(server.instance);
    return found != servers_.end() && found->second.refusedAt && tools_.loop->now() - *found->second.refusedAt < RefusalMemory;
}

void OverloadController::noteServed(const ServerKey &server, Duration duration)
{
    duration = std::max(duration, MinServiceTime);
    std::optional<Duration> &average = services_[server.service].serviceTime;
    average = average ? *average + (duration - *average) / ServiceTimeSmoothing : duration;
}

void OverloadController::noteDown(const ServerKey &server)
{
    if (ServerState *state = managed(server)) {
        overload::noteDown(state->capacity, tools_.loop->now());
        log("down", server.instance, *state);
    }
}

double OverloadController::ownRequestsPerSecond(const ServerKey &server) const
{
    const auto found = servers_.find(server.instance);
    if (found == servers_.end() || !found->second.refusalsPerSecond) {
        return 0;
    }
    const double ownSlots = found->second.capacity.slots / static_cast<double>(vmCount());
    return ownSlots / std::chrono::duration<double>(serviceTime(server.service)).count();
}

void OverloadController::log(std::string_view outcome, const std::string &instance, const ServerState &state) const
{
    tools_.log->write(Event::ServerOverload,
        {{Attribute::Server, instance},
            {Attribute::Service, state.service},
            {Attribute::Outcome, outcome},
            {Attribute::Open, static_cast<std::int64_t>(state.capacity.slots)},
            {Attribute::Failed, std::int64_t(state.refusalsPerSecond.value_or(-1))},
            {Attribute::WaitMs, std::max<std::int64_t>(0, toMilliseconds(state.capacity.pausedUntil - tools_.loop->now()))},
            {Attribute::Count, static_cast<std::int64_t>(vmCount())}});
}

void OverloadController::tick()
{
    vms_.clear();
    for (const std::string &vm : tools_.vms()) {
        vms_.push_back(presence::nameHash(vm));
    }
    std::sort(vms_.begin(), vms_.end());
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        if (tools_.isListed(entry->first)) {
            ++entry;
            continue;
        }
        endAnnouncement(entry->second, entry->first);
        entry = servers_.erase(entry);
    }
}

std::size_t OverloadController::managedServers() const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto &entry) { return entry.second.refusalsPerSecond.has_value(); }));
}

} // namespace cardamomlift::overload
