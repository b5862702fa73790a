#include "duties/autoscaler.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::duties {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// Interval at which a refused or failed order is sent again: each call is charged, and reclaimable servers are unavailable
/// for many seconds after a reclaim.
constexpr Duration RetryInterval = std::chrono::milliseconds(2000);
/// An order whose servers are still missing this long after their usual startup time is sent again.
constexpr Duration StartGrace = std::chrono::milliseconds(3000);
/// Least time between two equal orders if servers have gone in between, as many may go one after the other.
constexpr Duration LossInterval = std::chrono::milliseconds(1000);

/// The last load that a VM reported counts for this long after it was heard: its callers reconnect to other VMs.
constexpr Duration LoadReportLifetime = std::chrono::seconds(4);

/// A new leader waits this long before it orders more reclaimable servers: by then it has read the server list and heard its
/// peers.
constexpr Duration ObserveBeforeOrdering = std::chrono::milliseconds(500);
/// It waits this long before it sends any other order, and also after each growth of the list before the first request. When
/// all VMs start together, servers appear in the list over seconds, and an order based on an incomplete list is too low and
/// stops running servers: of 60 ordinary ones 12 were left, and a third of the requests of the first six seconds failed.
constexpr Duration ListSettleTime = std::chrono::milliseconds(1500);

PresentServers presentServers(std::span<const ZoneServers> zones)
{
    PresentServers sum;
    for (const ZoneServers &zone : zones) {
        sum.ordinary += zone.ordinary;
        sum.reclaimable += zone.reclaimable;
    }
    return sum;
}

} // namespace

Autoscaler::Autoscaler(AutoscalerTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<Autoscaler> Autoscaler::start(AutoscalerTools tools)
{
    std::shared_ptr<Autoscaler> autoscaler(new Autoscaler(std::move(tools)));
    Autoscaler *raw = autoscaler.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    raw->tools_.directory->onLeaving([weak = std::weak_ptr<Autoscaler>(autoscaler), loop = raw->tools_.loop](const directory::ServerPtr &) {
        loop->post([weak] {
            if (const auto self = weak.lock()) {
                self->tick();
            }
        });
    });
    return autoscaler;
}

Autoscaler::~Autoscaler()
{
    tools_.loop->cancel(timer_);
}

void Autoscaler::tick()
{
    const auto manifest = tools_.manifests->current();
    if (!manifest || !tools_.lease->isHeld() || tools_.directory->size() == 0) {
        return;
    }
    if (fence_ != tools_.lease->fence()) {
        fence_ = tools_.lease->fence();
        sentOrders_.clear();
        services_.clear();
        leaderSince_ = tools_.loop->now();
    }
    if (tools_.loop->now() - leaderSince_ < ObserveBeforeOrdering) {
        return;
    }
    for (const manifest::Service &service : manifest->manifest().services) {
        if (service.scaling) {
            planService(service);
        }
    }
}

std::vector<ZoneServers> Autoscaler::countServers(const manifest::Service &service) const
{
    std::vector<ZoneServers> zones;
    for (const std::string &zone : tools_.zones) {
        zones.push_back({zone});
    }
    for (const auto &entry : tools_.directory->all()) {
        const directory::KnownServer &known = *entry.second;
        if (known.server.service != service.name) {
            continue;
        }
        const auto zone = std::find_if(zones.begin(), zones.end(), [&known](const ZoneServers &candidate) { return candidate.zone == known.server.zone; });
        if (zone == zones.end()) {
            continue;
        }
        if (known.isLeaving) {
            zone->leaving++;
        } else if (tools_.versions && !tools_.versions->servesRegularTraffic(known.server)) {
            (known.server.isReclaimable ? zone->onTrialReclaimable : zone->onTrial)++;
        } else {
            (known.server.isReclaimable ? zone->reclaimable : zone->ordinary)++;
        }
    }
    return zones;
}

FleetLoad Autoscaler::fleetLoad(const std::string &service) const
{
    std::vector<presence::ServiceLoad> loads = tools_.ownLoads();
    for (const presence::Peer *peer : tools_.presence->recentlyHeard(LoadReportLifetime)) {
        loads.insert(loads.end(), peer->status->services.begin(), peer->status->services.end());
    }
    return sumLoads(loads, presence::nameHash(service));
}

void Autoscaler::addGauges(const std::string &service)
{
    const auto add = [this, &service](std::string_view name, std::function<double(const ServiceState &)> read) {
        const std::string labelled = std::string(name) + "{service=\"" + service + "\"}";
        tools_.metrics->gauge(labelled, [weak = weak_from_this(), service, read = std::move(read)] {
            const auto self = weak.lock();
            if (!self || !self->tools_.lease->isHeld()) {
                return 0.0;
            }
            const auto found = self->services_.find(service);
            return found == self->services_.end() ? 0.0 : read(found->second);
        });
    };
    add("capacity_servers_needed", [](const ServiceState &state) { return state.lastNeed.servers(); });
    add("capacity_servers_target", [](const ServiceState &state) { return state.target ? state.target->servers : 0.0; });
    add("capacity_prompt_tokens_per_second", [](const ServiceState &state) { return state.load.promptTokensPerSecond; });
    add("capacity_tokens_per_server", [](const ServiceState &state) { return state.capacity.tokensPerSecond; });
    add("capacity_requests_open", [](const ServiceState &state) { return state.load.open; });
    add("capacity_pressure", [](const ServiceState &state) { return state.lastNeed.pressure; });
}

ServerNeed Autoscaler::updateNeed(ServiceState &state, const manifest::Service &service) const
{
    const auto measured = tools_.firstByteModel ? tools_.firstByteModel(service.name) : std::nullopt;
    rescaleDemand(state.need, updateCapacity(state.capacity, measured, tools_.loop->now()));
    state.load = fleetLoad(service.name);
    state.lastNeed = assessNeed(state.load, service, state.capacity);
    return state.lastNeed;
}

void Autoscaler::noteTarget(ServiceState &state, const std::string &service, const CapacityTarget &target, const PresentServers &present)
{
    if (state.target == target) {
        return;
    }
    state.target = target;
    tools_.log->write(Event::CapacityTarget,
        {{Attribute::Service, service},
            {Attribute::Wanted, std::int64_t(target.servers)},
            {Attribute::Reclaimable, std::int64_t(target.reclaimablePerZone)},
            {Attribute::Present, std::int64_t(present.ordinary + present.reclaimable)},
            {Attribute::Reclaims, std::int64_t(present.recentReclaims)},
            {Attribute::Need, std::lround(std::ceil(state.lastNeed.servers()))},
            {Attribute::Tokens, std::llround(state.load.promptTokensPerSecond)},
            {Attribute::TokensPerServer, std::llround(state.capacity.tokensPerSecond)},
            {Attribute::Open, std::llround(state.load.open)},
            {Attribute::PressurePercent, std::llround(state.lastNeed.pressure * 100)}});
}

void Autoscaler::planService(const manifest::Service &service)
{
    const auto zones = countServers(service);
    const auto [entry, isNew] = services_.try_emplace(service.name);
    if (isNew) {
        addGauges(service.name);
    }
    ServiceState &state = entry->second;
    const double need = updateNeed(state, service).servers();
    PresentServers present = presentServers(zones);
    present.isReclaimableUnavailable = isReclaimableUnavailable(service.name);
    present.recentReclaims = countRecentReclaims(state.reclaims, zones, tools_.loop->now());
    const bool isSettling = isListSettling(state, present, need);
    const CapacityTarget target = updateTarget(state.need, need, present, zones.size(), *service.scaling, tools_.loop->now());
    noteTarget(state, service.name, target, present);
    const bool isInRollout = isRollingOut(service.name);
    for (ServerOrder &order : planOrders(service.name, *service.scaling, zones, target)) {
        const auto zone = std::find_if(zones.begin(), zones.end(), [&](const ZoneServers &entry) { return entry.zone == order.zone; });
        const int presentInZone = order.isReclaimable ? zone->reclaimable : zone->ordinary;
        // While servers of two versions run side by side, an order for fewer might stop those that carry the traffic.
        if (isInRollout && order.wanted <= presentInZone) {
            continue;
        }
        order.wanted = std::min(service.scaling->maxPerZone, order.wanted + (order.isReclaimable ? zone->onTrialReclaimable : zone->onTrial));
        if (isSettling && !(order.isReclaimable && order.wanted > presentInZone)) {
            continue;
        }
        if (isDue(sentOrders_[{order.service, order.zone, order.isReclaimable}], order, presentInZone, *service.scaling)) {
            send(order, presentInZone);
        }
    }
}

bool Autoscaler::isRollingOut(const std::string &service) const
{
    return tools_.versions && tools_.versions->isRolloutInProgress(service);
}

// A refused order is repeated every RetryInterval, so the last outcome is only seconds old.
bool Autoscaler::isReclaimableUnavailable(const std::string &service) const
{
    return std::any_of(tools_.zones.begin(), tools_.zones.end(), [this, &service](const std::string &zone) {
        const auto sent = sentOrders_.find({service, zone, true});
        return sent != sentOrders_.end() && sent->second.outcome == LeaderCallOutcome::Refused;
    });
}

bool Autoscaler::isListSettling(ServiceState &state, const PresentServers &present, double need) const
{
    const TimePoint now = tools_.loop->now();
    if (present.ordinary > state.maxOrdinary) {
        state.maxOrdinary = present.ordinary;
        state.listGrewAt = now;
    }
    const bool isGrowing = need <= 0 && now - state.listGrewAt < ListSettleTime;
    return isGrowing || now - leaderSince_ < ListSettleTime;
}

bool Autoscaler::isDue(SentOrder &sent, const ServerOrder &order, int present, const manifest::Scaling &scaling) const
{
    if (sent.isPending) {
        return false;
    }
    if (sent.wanted != order.wanted) {
        // A new leader does not know earlier orders. It needs to send none where the wanted number is present.
        return sent.wanted >= 0 || present != order.wanted;
    }
    const Duration since = tools_.loop->now() - sent.at;
    sent.mostPresent = std::max(sent.mostPresent, present);
    if (sent.outcome != LeaderCallOutcome::Done) {
        return since >= RetryInterval;
    }
    // Servers that have gone are replaced at once: only the answer tells whether new ones are to be had.
    const bool hasLost = present < sent.mostPresent && since >= LossInterval;
    return present < order.wanted && (hasLost || since >= scaling.startup + StartGrace);
}

void Autoscaler::send(const ServerOrder &order, int present)
{
    SentOrder &sent = sentOrders_[{order.service, order.zone, order.isReclaimable}];
    sent.wanted = order.wanted;
    sent.at = tools_.loop->now();
    sent.mostPresent = present;
    if (!tools_.lease->isHeld()) {
        sent.outcome = LeaderCallOutcome::Failed;
        return;
    }
    // NOTE The last outcome is kept until the response comes, as isReclaimableUnavailable() depends on it.
    sent.isPending = true;
    tools_.metrics->add("server_orders_total");
    tools_.api->orderServers(tools_.lease->fence(), order, [weak = weak_from_this(), order, present, fence = fence_](LeaderCallOutcome outcome) {
        const auto self = weak.lock();
        if (!self || self->fence_ != fence) {
            return;
        }
        SentOrder &entry = self->sentOrders_[{order.service, order.zone, order.isReclaimable}];
        entry.isPending = false;
        entry.outcome = outcome;
        self->tools_.log->write(outcome == LeaderCallOutcome::Done ? Event::OrderSent : Event::OrderRefused,
            {{Attribute::Service, order.service},
                {Attribute::Zone, order.zone},
                {Attribute::Reason, order.isReclaimable ? "reclaimable" : "ordinary"},
                {Attribute::Wanted, std::int64_t(order.wanted)},
                {Attribute::Present, std::int64_t(present)},
                {Attribute::Fence, static_cast<std::int64_t>(fence)},
                {Attribute::Outcome,
                    outcome == LeaderCallOutcome::Refused    ? "none_available"
                        : outcome == LeaderCallOutcome::Done ? "done"
                                                             : "failed"}});
    });
}

} // namespace cardamomlift::duties
