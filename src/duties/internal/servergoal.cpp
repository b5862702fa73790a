#include "duties/servergoal.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::duties {

namespace {

/// Prompt tokens that one engine is asked for a second when first tokens still come well in time. Engines read some 65,000
/// a second when they do nothing else; half of the prompts' tokens are found cached, and generation takes its share.
constexpr double TokensPerServer = 25'000;
/// The part of an engine's slots that may be taken on average: requests come in bunches.
constexpr double SlotUse = 0.5;
/// First bytes may come after this part of the goal on average; later ones call for more servers.
constexpr double LatenessGoal = 0.35;
/// The most that late answers add: a queue that is being worked off stays late for a while after help has come.
constexpr double MostPressure = 1.5;
/// The need for ordinary servers, the dear ones, falls by half in this time.
constexpr double ShortHalfLifeSeconds = 6;
/// That for reclaimable ones, which cost a fifth: they outlast the pauses between bursts.
constexpr double LongHalfLifeSeconds = 40;
/// The goal is lowered only when the need lies this far below it: a server that goes ends what it runs within seconds.
constexpr double Hysteresis = 1.5;
/// Reclaimable servers beyond the need: one failure domain after the other may be taken away while no new ones are to be
/// had, and first tokens come sooner with more of them. At a fifth of the price, 2.2 gave more than 1.3 on the days of
/// two deployments (mean share of what was owed 0.552 against 0.513, and 0.445 against 0.430).
constexpr double ReclaimableReserve = 2.2;
/// Reclaimable servers for each ordinary one that is found at the start. Ordered at once and all, they are there some
/// seconds before the first requests, and the ordinary ones, which cost five times as much, can go then: with half of them
/// at first, and the rest once there was load, the ordinary ones stayed six seconds longer (0.018 of what is owed in a
/// minute, on three deployments 0.010 to 0.019).
constexpr double StartReserve = 2;
/// The part of the need that the next reclaim must leave, as ordinary servers take seconds to start. 0.7 cost 0.005 more of what is owed than this in
/// the mean of 25 plays on three deployments each; nothing at all cost the same as this, but on a day on which the orders
/// failed in the third reclaim five of twelve servers were left for eight seconds.
constexpr double KeptAfterReclaim = 0.5;
/// The same while reclaimable servers are not to be had: what the next reclaim takes does not come back before the one after
/// it. Four failure domains of 90 VMs lost theirs within eleven seconds: 0.32 of what was owed was earned in the worst
/// windows with half of the need kept, 0.67 with this, 0.83 with all of it. On two small deployments this cost 0.010 in the
/// mean of 20 plays, all of it 0.018.
constexpr double KeptWithoutStock = 0.75;
/// Reclaimable servers in each failure domain at least.
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

double neededServers(const FleetLoad &load, const manifest::Service &service)
{
    const double byTokens = load.promptTokensPerSecond / TokensPerServer;
    const double slots = service.engine ? std::max(1, service.engine->slots) : 1;
    const double bySlots = load.open / (slots * SlotUse);
    const double pressure = std::clamp(load.lateness / LatenessGoal, 1.0, MostPressure);
    return std::max(byTokens, bySlots) * pressure;
}

PlanGoal updateGoal(NeedMemory &memory, double need, const PresentServers &present, std::size_t zones, const manifest::Scaling &scaling, TimePoint now)
{
    const double places = static_cast<double>(std::max<std::size_t>(1, zones));
    if (!memory.updatedAt) {
        // Nothing is known of the load, but somebody has found the servers that are there to be right.
        memory.shortTerm = present.ordinary + present.reclaimable;
        memory.longTerm = present.reclaimable / ReclaimableReserve;
    }
    // Before the first request the load says nothing; the list of servers fills up in the first seconds.
    if (need <= 0) {
        memory.shortTerm = std::max(memory.shortTerm, static_cast<double>(present.ordinary));
        memory.longTerm = std::max(memory.longTerm, present.ordinary * StartReserve / ReclaimableReserve);
    }
    const Duration elapsed = memory.updatedAt && need > 0 ? now - *memory.updatedAt : Duration(0);
    const double seconds = static_cast<double>(elapsed.count()) / MicrosecondsPerSecond;
    memory.updatedAt = now;
    memory.shortTerm = std::max(need, memory.shortTerm * std::exp2(-seconds / ShortHalfLifeSeconds));
    memory.longTerm = std::max(need, memory.longTerm * std::exp2(-seconds / LongHalfLifeSeconds));
    if (memory.shortTerm > memory.servers || memory.shortTerm < memory.servers - Hysteresis) {
        memory.servers = static_cast<int>(std::ceil(memory.shortTerm));
    }
    PlanGoal goal;
    goal.servers = memory.servers;
    goal.serversAfterReclaim = static_cast<int>(std::ceil(memory.servers * (present.isStockOut ? KeptWithoutStock : KeptAfterReclaim)));
    const int reclaimable = static_cast<int>(std::lround(memory.longTerm * ReclaimableReserve / places));
    goal.reclaimablePerZone = std::clamp(reclaimable, std::min(LeastReclaimable, scaling.maxPerZone), std::max(1, scaling.maxPerZone));
    return goal;
}

} // namespace cardamomlift::duties
