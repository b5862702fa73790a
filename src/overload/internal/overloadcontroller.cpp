#include "overload/overloadcontroller.h"

#include "overload/overloadrules.h"

#include <algorithm>

namespace cardamomlift::overload {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Until the VMs have been counted.
constexpr std::size_t AssumedVms = 8;
/// Until a request of the service has been answered.
constexpr Duration AssumedServiceTime = std::chrono::milliseconds(500);
/// Weight of the latest request in the average time of a service's requests.
constexpr int ServiceTimeSmoothing = 8;

} // namespace

OverloadController::OverloadController(OverloadTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<OverloadController> OverloadController::create(OverloadTools tools)
{
    return std::shared_ptr<OverloadController>(new OverloadController(std::move(tools)));
}

std::size_t OverloadController::vms() const
{
    return std::max<std::size_t>(1, tools_.vmCount().value_or(AssumedVms));
}

bool OverloadController::isPaced(const ServerKey &server) const
{
    const auto found = servers_.find(server.instance);
    if (found != servers_.end()) {
        return found->second.refusalsPerSecond.has_value();
    }
    const auto service = services_.find(server.service);
    return service != services_.end() && service->second.announcing > 0;
}

ServerPace OverloadController::startPace(const ServerKey &server) const
{
    const auto service = services_.find(server.service);
    const auto serviceTime = service == services_.end() ? std::nullopt : service->second.serviceTime;
    return initialPace(server.slots, serviceTime.value_or(AssumedServiceTime), tools_.loop->now());
}

OverloadController::ServerState *OverloadController::paced(const ServerKey &server)
{
    if (!isPaced(server)) {
        return nullptr;
    }
    const auto [entry, isNew] = servers_.try_emplace(server.instance);
    ServerState &state = entry->second;
    if (isNew) {
        // It has not said anything yet, but its service's other servers have: it has just started.
        ServiceState &service = services_[server.service];
        state.service = server.service;
        state.refusalsPerSecond = service.refusalsPerSecond;
        state.pace = startPace(server);
        restart(state.pace);
        service.announcing++;
    }
    return &state;
}

bool OverloadController::hasRoom(const ServerKey &server)
{
    ServerState *state = paced(server);
    if (!state) {
        return true;
    }
    refill(state->pace, vms(), tools_.loop->now());
    return hasToken(state->pace, tools_.loop->now());
}

void OverloadController::noteSent(const ServerKey &server)
{
    if (ServerState *state = paced(server)) {
        takeToken(state->pace);
    }
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
    const auto [entry, isNew] = servers_.try_emplace(server.instance);
    ServerState &state = entry->second;
    ServiceState &service = services_[server.service];
    service.refusalsPerSecond = refusalsPerSecond;
    if (!state.refusalsPerSecond) {
        state.service = server.service;
        state.pace = startPace(server);
        service.announcing++;
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
    return {state.refusalsPerSecond.value_or(0), vms()};
}

void OverloadController::noteRefused(const ServerKey &server)
{
    if (ServerState *state = paced(server)) {
        overload::noteRefused(state->pace, boundOf(*state), tools_.loop->now());
        log("refused", server.instance, *state);
    }
}

void OverloadController::noteServed(const ServerKey &server, Duration duration)
{
    std::optional<Duration> &average = services_[server.service].serviceTime;
    average = average ? *average + (duration - *average) / ServiceTimeSmoothing : duration;
}

void OverloadController::noteDown(const ServerKey &server)
{
    if (ServerState *state = paced(server)) {
        overload::noteDown(state->pace, tools_.loop->now());
        log("down", server.instance, *state);
    }
}

double OverloadController::ownRequestsPerSecond(const ServerKey &server) const
{
    const auto found = servers_.find(server.instance);
    const bool isKnown = found != servers_.end() && found->second.refusalsPerSecond;
    return isKnown ? found->second.pace.requestsPerSecond / static_cast<double>(vms()) : 0;
}

void OverloadController::log(std::string_view outcome, const std::string &instance, const ServerState &state) const
{
    tools_.log->write(Event::ServerPaced,
        {{Attribute::Server, instance},
            {Attribute::Service, state.service},
            {Attribute::Outcome, outcome},
            {Attribute::LimitPerSecond, static_cast<std::int64_t>(state.pace.requestsPerSecond)},
            {Attribute::Failed, std::int64_t(state.refusalsPerSecond.value_or(-1))},
            {Attribute::WaitMs, std::max<std::int64_t>(0, toMilliseconds(state.pace.pausedUntil - tools_.loop->now()))},
            {Attribute::Count, static_cast<std::int64_t>(vms())}});
}

void OverloadController::tick()
{
    for (auto entry = servers_.begin(); entry != servers_.end();) {
        if (tools_.isListed(entry->first)) {
            ++entry;
            continue;
        }
        endAnnouncement(entry->second, entry->first);
        entry = servers_.erase(entry);
    }
}

std::size_t OverloadController::pacedServers() const
{
    return static_cast<std::size_t>(
        std::count_if(servers_.begin(), servers_.end(), [](const auto &entry) { return entry.second.refusalsPerSecond.has_value(); }));
}

} // namespace cardamomlift::overload
