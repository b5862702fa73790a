#include "duties/servergoal.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::duties {

namespace {

/// Prompt tokens that one engine is asked for a second when first tokens still come well in time. Engines read some 65,000
/// a second when they do nothing else; half of the prompts' tokens are found cached, and generation takes its share.
constexpr double TokensPerServer = 40'000;
/// The part of an engine's slots that may be taken on average: requests come in bunches.
constexpr double SlotUse = 0.5;
/// First bytes may come after this part of the goal on average; later ones call for more servers.
constexpr double LatenessGoal = 0.35;
/// The most that late answers add: a queue that is being worked off stays late for a while after help has come.
constexpr double MostPressure = 1.5;
/// Before anything is known of the load: a server and a half in each failure domain carry the usual load, and the first
/// burst comes sooner than a server starts.
constexpr double FirstNeedPerZone = 2.25;
/// The need falls by half in this time.
constexpr double HalfLifeSeconds = 6;
/// Reclaimable servers beyond the need: a whole failure domain of them may be taken away at once.
constexpr double ReclaimableReserve = 1.3;
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
        sum.lateness += load.lateness * load.answersPerSecond;
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

double holdNeed(NeedMemory &memory, double need, TimePoint now)
{
    const double seconds = static_cast<double>((now - memory.heldAt).count()) / MicrosecondsPerSecond;
    memory.held *= std::exp2(-std::max(0.0, seconds) / HalfLifeSeconds);
    memory.heldAt = now;
    memory.held = std::max(memory.held, need);
    return memory.held;
}

PlanGoal goalFor(double need, std::size_t zones, const manifest::Scaling &scaling)
{
    const double places = static_cast<double>(std::max<std::size_t>(1, zones));
    const double wanted = need > 0 ? need : FirstNeedPerZone * places;
    PlanGoal goal;
    goal.servers = static_cast<int>(std::ceil(wanted));
    goal.reclaimablePerZone = std::clamp(static_cast<int>(std::lround(wanted * ReclaimableReserve / places)), 1, std::max(1, scaling.most));
    return goal;
}

} // namespace cardamomlift::duties
