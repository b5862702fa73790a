#include "duties/orderkeeper.h"

#include <algorithm>

namespace cardamomlift::duties {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr Duration TickPeriod = std::chrono::milliseconds(250);
/// An order that was refused or failed is said again at this pace: each call is paid for, and reclaimable servers are
/// not to be had for many seconds after a reclaim.
constexpr Duration RepeatAfter = std::chrono::milliseconds(2000);
/// An order whose servers have not come this long after they should have started is said again.
constexpr Duration LateAfter = std::chrono::milliseconds(3000);

/// What a VM said of its load counts for this long after it fell silent: its callers come back elsewhere.
constexpr Duration LoadLife = std::chrono::seconds(4);

/// A new holder looks on before it orders more reclaimable servers: by then it has read the list and heard of its peers.
constexpr Duration FirstLook = std::chrono::milliseconds(500);
/// And so long before it says anything else, also after the list has grown before the first request. When all start
/// together, servers come into the list over seconds; an order by a list that lacks some sends those away: of 60 ordinary
/// servers 12 were left, and a third of the requests of the first six seconds failed.
constexpr Duration ListFills = std::chrono::milliseconds(1500);

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

OrderKeeper::OrderKeeper(OrderTools tools)
    : tools_(std::move(tools))
{
}

std::shared_ptr<OrderKeeper> OrderKeeper::start(OrderTools tools)
{
    std::shared_ptr<OrderKeeper> keeper(new OrderKeeper(std::move(tools)));
    OrderKeeper *raw = keeper.get();
    raw->timer_ = raw->tools_.loop->every(TickPeriod, [raw] { raw->tick(); });
    raw->tools_.directory->onLeaving([weak = std::weak_ptr<OrderKeeper>(keeper), loop = raw->tools_.loop](const directory::ServerPtr &) {
        loop->post([weak] {
            if (const auto self = weak.lock()) {
                self->tick();
            }
        });
    });
    return keeper;
}

OrderKeeper::~OrderKeeper()
{
    tools_.loop->cancel(timer_);
}

void OrderKeeper::tick()
{
    const auto manifest = tools_.manifests->current();
    if (!manifest || !tools_.lease->isHeld() || tools_.directory->size() == 0) {
        return;
    }
    if (fence_ != tools_.lease->fence()) {
        fence_ = tools_.lease->fence();
        said_.clear();
        remembered_.clear();
        heldSince_ = tools_.loop->now();
    }
    if (tools_.loop->now() - heldSince_ < FirstLook) {
        return;
    }
    for (const manifest::Service &service : manifest->manifest().services) {
        if (service.scaling) {
            planService(service);
        }
    }
}

std::vector<ZoneServers> OrderKeeper::countServers(const manifest::Service &service) const
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
            (known.server.isReclaimable ? zone->unprovedReclaimable : zone->unproved)++;
        } else {
            (known.server.isReclaimable ? zone->reclaimable : zone->ordinary)++;
        }
    }
    return zones;
}

FleetLoad OrderKeeper::fleetLoad(const std::string &service) const
{
    std::vector<presence::ServiceLoad> loads = tools_.ownLoads();
    for (const presence::Peer *peer : tools_.presence->recentlyHeard(LoadLife)) {
        loads.insert(loads.end(), peer->status->services.begin(), peer->status->services.end());
    }
    return sumLoads(loads, presence::nameHash(service));
}

void OrderKeeper::planService(const manifest::Service &service)
{
    const auto zones = countServers(service);
    const double need = neededServers(fleetLoad(service.name), service);
    PresentServers present = presentServers(zones);
    present.isStockOut = isStockOut(service.name);
    Remembered &remembered = remembered_[service.name];
    const bool isListShort = mayLackServers(remembered, present, need);
    const PlanGoal goal = updateGoal(remembered.need, need, present, zones.size(), *service.scaling, tools_.loop->now());
    const bool isInRollout = isRollingOut(service.name);
    for (ServerOrder &order : planOrders(service.name, *service.scaling, zones, goal)) {
        const auto zone = std::find_if(zones.begin(), zones.end(), [&](const ZoneServers &entry) { return entry.zone == order.zone; });
        const int there = order.isReclaimable ? zone->reclaimable : zone->ordinary;
        // While servers of two versions run side by side, a lower order might end those that carry the traffic.
        if (isInRollout && order.wanted <= there) {
            continue;
        }
        order.wanted = std::min(service.scaling->maxPerZone, order.wanted + (order.isReclaimable ? zone->unprovedReclaimable : zone->unproved));
        if (isListShort && !(order.isReclaimable && order.wanted > there)) {
            continue;
        }
        if (isDue(said_[{order.service, order.zone, order.isReclaimable}], order, there, *service.scaling)) {
            say(order, there);
        }
    }
}

bool OrderKeeper::isRollingOut(const std::string &service) const
{
    return tools_.versions && tools_.versions->isRolloutInProgress(service);
}

// A refused order is said again soon, so that the last answer is seconds old.
bool OrderKeeper::isStockOut(const std::string &service) const
{
    return std::any_of(tools_.zones.begin(), tools_.zones.end(), [this, &service](const std::string &zone) {
        const auto said = said_.find({service, zone, true});
        return said != said_.end() && said->second.outcome == LeaderCallOutcome::Refused;
    });
}

bool OrderKeeper::mayLackServers(Remembered &remembered, const PresentServers &present, double need) const
{
    const TimePoint now = tools_.loop->now();
    if (present.ordinary > remembered.mostOrdinary) {
        remembered.mostOrdinary = present.ordinary;
        remembered.listGrewAt = now;
    }
    const bool isGrowing = need <= 0 && now - remembered.listGrewAt < ListFills;
    return isGrowing || now - heldSince_ < ListFills;
}

bool OrderKeeper::isDue(const Said &said, const ServerOrder &order, int present, const manifest::Scaling &scaling) const
{
    if (said.isOpen) {
        return false;
    }
    if (said.wanted != order.wanted) {
        // A new holder knows nothing of earlier orders; what is there already needs no word.
        return said.wanted >= 0 || present != order.wanted;
    }
    const Duration since = tools_.loop->now() - said.at;
    if (said.outcome != LeaderCallOutcome::Done) {
        return since >= RepeatAfter;
    }
    return present < order.wanted && since >= scaling.startup + LateAfter;
}

void OrderKeeper::say(const ServerOrder &order, int present)
{
    Said &said = said_[{order.service, order.zone, order.isReclaimable}];
    said.wanted = order.wanted;
    said.at = tools_.loop->now();
    if (!tools_.lease->isHeld()) {
        said.outcome = LeaderCallOutcome::Failed;
        return;
    }
    // NOTE The last outcome stays until the answer: whether there is stock is judged by it.
    said.isOpen = true;
    tools_.metrics->add("server_orders_total");
    tools_.api->orderServers(tools_.lease->fence(), order, [weak = weak_from_this(), order, present, fence = fence_](LeaderCallOutcome outcome) {
        const auto self = weak.lock();
        if (!self || self->fence_ != fence) {
            return;
        }
        Said &entry = self->said_[{order.service, order.zone, order.isReclaimable}];
        entry.isOpen = false;
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
