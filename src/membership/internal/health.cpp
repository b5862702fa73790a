#include "membership/health.h"

#include <algorithm>

namespace cardamomlift::membership {

namespace {

constexpr std::uint64_t Ranks = 3;

} // namespace

std::uint64_t versionOf(const HealthStatement &statement)
{
    return statement.incarnation * Ranks + static_cast<std::uint64_t>(statement.health);
}

HealthStatement statementOf(std::uint64_t version)
{
    return {version / Ranks, static_cast<Health>(version % Ranks)};
}

bool mustRefute(const HealthStatement &aboutSelf)
{
    return aboutSelf.health != Health::Alive;
}

Duration silence(const ProbeRecord &record, TimePoint now)
{
    return now - std::max(record.firstProbed, record.lastHeard);
}

void noteHeard(ProbeRecord &record, TimePoint now)
{
    record.lastHeard = now;
    record.missedRounds = 0;
}

void noteMissed(ProbeRecord &record)
{
    record.missedRounds++;
}

HealthStatement judge(const ProbeRecord &record, const HealthStatement &held, const JudgeFacts &facts, const ProbeLimits &limits)
{
    if (facts.selfIsCutOff || record.missedRounds < limits.roundsToSuspect || facts.silentFor < limits.silenceToSuspect) {
        return held;
    }
    if (held.health == Health::Alive) {
        return {held.incarnation, Health::Suspected};
    }
    if (held.health == Health::Suspected && facts.heldFor >= limits.suspicionTimeout) {
        return {held.incarnation, Health::Failed};
    }
    return held;
}

} // namespace cardamomlift::membership
