#include "duties/capacitytarget.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::duties {

namespace {

/// The fraction of an engine's slots that may be in use on average: requests arrive in bursts.
constexpr double SlotUse = 0.5;
/// The average time to the first byte may be this fraction of its goal; above it, more servers are needed.
constexpr double LatenessGoal = 0.35;
/// The largest factor by which late answers raise the need: answers from a backlog stay late for a while after servers were
/// added.
constexpr double MostPressure = 1.5;
/// Half-life of the demand for ordinary servers, the expensive ones.
constexpr double ShortHalfLifeSeconds = 6;
/// Half-life of the demand for reclaimable servers, which cost a fifth: they are kept over the pauses between bursts.
constexpr double LongHalfLifeSeconds = 40;
/// The target is lowered only when the need is this many servers below it: a server that is stopped terminates its running
/// requests within seconds.
constexpr double Hysteresis = 1.5;
/// The same as a fraction of the target, for services of many servers: a server that is stopped and ordered again is charged while
/// it ends its requests and while it starts.
constexpr double HysteresisShare = 0.1;
/// Reclaimable servers, as a multiple of the need: one failure domain after the other may lose them while no new ones are
/// available, and first tokens come sooner with more of them. At a fifth of the price, 2.2 did better than 1.3 on the days of
/// two deployments (mean share earned of what was due: 0.552 against 0.513, and 0.445 against 0.430).
constexpr double ReclaimableReserve = 2.2;
/// Reclaimable servers to order for each ordinary one that is running at the start. If all are ordered at once, they are
/// ready some seconds before the first requests, and the ordinary ones, which cost five times as much, can then be stopped.
/// With half of them ordered at first and the rest under load, the ordinary ones stayed six seconds longer, which cost 0.018
/// of what is due in a minute (0.010 to 0.019 on three deployments).
constexpr double StartReserve = 2;
/// The fraction of the need that must remain after the next reclaim, as ordinary servers take seconds to start. 0.7 cost 0.005
/// more of what is due than this, in the mean of 25 runs on each of three deployments. 0 cost the same as this, but when the
/// orders failed in the third reclaim of a day, five of twelve servers were left for eight seconds.
constexpr double KeptAfterReclaim = 0.5;
/// The same fraction while reclaimable servers are unavailable: those that the next reclaim takes are not replaced before the
/// reclaim after it. When the four failure domains of a deployment of 90 VMs lost theirs within eleven seconds, 0.32 of what
/// was due was earned in the worst windows with half of the need kept, 0.67 with this fraction, and 0.83 with the whole need.
/// On two small deployments this fraction cost 0.010 in the mean of 20 runs, the whole need 0.018.
constexpr double KeptWhileUnavailable = 0.75;
/// Reclaims in two failure domains within this time are taken for a series, of which two more may come before ordinary servers that
/// are ordered then are ready.
constexpr Duration ReclaimSeriesSpan = std::chrono::seconds(10);
constexpr int ReclaimsOfSeries = 2;
/// The orders for reclaimable servers are changed only when the wanted number is below the ordered one by more than this fraction, or
/// above it by more than the other: each change is a call for each failure domain, and the reserve covers the difference.
constexpr double ReclaimableSurplus = 0.1;
constexpr double ReclaimableShortfall = 0.05;
/// The least number of reclaimable servers in each failure domain.
constexpr int LeastReclaimable = 2;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

FleetLoad sumLoads(std::span<const presence::ServiceLoad> loads, std::uint64_t service)
{
    FleetLoad sum;
    double answers = 0;
    for (const presence::ServiceLoad &load : loads) {
        if (load.service != service) {
            continue;
        }
        sum.promptTokensPerSecond += load.promptTokensPerSecond;
        sum.open += load.open;
        sum.lateness += load.latencyRatio * load.answersPerSecond;
        answers += load.answersPerSecond;
    }
    sum.lateness = answers > 0 ? sum.lateness / answers : 0;
    return sum;
}

double ServerNeed::servers() const
{
    return std::max(byTokens, bySlots) * pressure;
}

ServerNeed assessNeed(const FleetLoad &load, const manifest::Service &service, const ServerCapacity &capacity)
{
    const double slots = service.engine ? std::max(1, service.engine->slots) : 1;
    ServerNeed need;
    need.byTokens = load.promptTokensPerSecond / capacity.tokensPerSecond;
    need.bySlots = load.open / (slots * SlotUse);
    need.pressure = std::clamp(load.lateness / LatenessGoal, 1.0, MostPressure);
    return need;
}

double neededServers(const FleetLoad &load, const manifest::Service &service, const ServerCapacity &capacity)
{
    return assessNeed(load, service, capacity).servers();
}

void rescaleDemand(DemandHistory &history, double growth)
{
    history.shortTerm /= growth;
    history.longTerm /= growth;
}

int countRecentReclaims(ReclaimHistory &history, std::span<const ZoneServers> zones, TimePoint now)
{
    for (const ZoneServers &zone : zones) {
        const int reclaimable = zone.reclaimable + zone.onTrialReclaimable;
        int &before = history.reclaimable[zone.zone];
        if (before > 0 && reclaimable == 0) {
            history.reclaimedAt[zone.zone] = now;
        }
        before = reclaimable;
    }
    std::erase_if(history.reclaimedAt, [now](const auto &entry) { return now - entry.second > ReclaimSeriesSpan; });
    return static_cast<int>(history.reclaimedAt.size());
}

CapacityTarget updateTarget(
    DemandHistory &history, double need, const PresentServers &present, std::size_t zones, const manifest::Scaling &scaling, TimePoint now)
{
    const double zoneCount = static_cast<double>(std::max<std::size_t>(1, zones));
    if (!history.updatedAt) {
        // Nothing is known of the load yet. The running servers are taken as the need: an earlier leader or an operator chose
        // them.
        history.shortTerm = present.ordinary + present.reclaimable;
        history.longTerm = present.reclaimable / ReclaimableReserve;
    }
    // Before the first request the load says nothing, and the server list is still filling up in the first seconds.
    if (need <= 0) {
        history.shortTerm = std::max(history.shortTerm, static_cast<double>(present.ordinary));
        history.longTerm = std::max(history.longTerm, present.ordinary * StartReserve / ReclaimableReserve);
    }
    const Duration elapsed = history.updatedAt && need > 0 ? now - *history.updatedAt : Duration(0);
    const double seconds = static_cast<double>(elapsed.count()) / MicrosecondsPerSecond;
    history.updatedAt = now;
    history.shortTerm = std::max(need, history.shortTerm * std::exp2(-seconds / ShortHalfLifeSeconds));
    history.longTerm = std::max(need, history.longTerm * std::exp2(-seconds / LongHalfLifeSeconds));
    if (history.shortTerm > history.servers || history.shortTerm < history.servers - std::max(Hysteresis, HysteresisShare * history.servers)) {
        history.servers = static_cast<int>(std::ceil(history.shortTerm));
    }
    CapacityTarget target;
    target.servers = history.servers;
    target.serversAfterReclaim = static_cast<int>(std::ceil(history.servers * (present.isReclaimableUnavailable ? KeptWhileUnavailable : KeptAfterReclaim)));
    const bool isSeries = present.isReclaimableUnavailable && present.recentReclaims >= ReclaimsOfSeries;
    target.reclaimsToSurvive = isSeries ? ReclaimsOfSeries : 1;
    const double reclaimable = history.longTerm * ReclaimableReserve / zoneCount;
    if (reclaimable < history.reclaimablePerZone * (1 - ReclaimableSurplus) || reclaimable > history.reclaimablePerZone * (1 + ReclaimableShortfall)) {
        history.reclaimablePerZone = static_cast<int>(std::lround(reclaimable));
    }
    target.reclaimablePerZone = std::clamp(history.reclaimablePerZone, std::min(LeastReclaimable, scaling.maxPerZone), std::max(1, scaling.maxPerZone));
    return target;
}

} // namespace cardamomlift::duties
