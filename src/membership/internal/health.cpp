#include "membership/health.h"

#include <algorithm>

namespace cardamomlift::membership {

namespace {

constexpr std::uint64_t HealthLevels = 3;

} // namespace

std::uint64_t versionOf(const HealthStatus &status)
{
    return status.incarnation * HealthLevels + static_cast<std::uint64_t>(status.health);
}

HealthStatus statusOf(std::uint64_t version)
{
    return {version / HealthLevels, static_cast<Health>(version % HealthLevels)};
}

bool mustRefute(const HealthStatus &aboutSelf)
{
    return aboutSelf.health != Health::Alive;
}

Duration timeSinceHeard(const ProbeRecord &record, TimePoint now)
{
    return now - std::max(record.firstProbed, record.lastHeard);
}

void recordAnswer(ProbeRecord &record, TimePoint now)
{
    record.lastHeard = now;
    record.missedRounds = 0;
}

void recordMissedRound(ProbeRecord &record)
{
    record.missedRounds++;
}

HealthStatus nextStatus(const ProbeRecord &record, const HealthStatus &held, const ProbeEvidence &evidence, const FailureThresholds &thresholds)
{
    if (evidence.selfIsPartitioned || record.missedRounds < thresholds.missedRoundsToSuspect || evidence.silentFor < thresholds.silenceToSuspect) {
        return held;
    }
    if (held.health == Health::Alive) {
        return {held.incarnation, Health::Suspected};
    }
    if (held.health == Health::Suspected && evidence.statusAge >= thresholds.suspicionTimeout) {
        return {held.incarnation, Health::Failed};
    }
    return held;
}

} // namespace cardamomlift::membership
