#include "rollout/versionrules.h"

#include <algorithm>

namespace cardamomlift::rollout {

namespace {

Standing ofTarget(Phase phase)
{
    switch (phase) {
    case Phase::Trial:
        return Standing::OnTrial;
    case Phase::Moving:
        return Standing::Preferred;
    case Phase::Succeeded:
        return Standing::Usable;
    case Phase::RolledBack:
        return Standing::Excluded;
    }
    return Standing::Excluded;
}

// Another order has come: what was not found good by then is not tried any further.
Standing ofReplacedTarget(Phase phase)
{
    return phase == Phase::Moving || phase == Phase::Succeeded ? Standing::Usable : Standing::Excluded;
}

bool excludes(const Record &record, std::string_view version)
{
    return std::find(record.excluded.begin(), record.excluded.end(), version) != record.excluded.end();
}

} // namespace

Standing standingOf(std::string_view version, const Order *order, const Record *record)
{
    const bool isAnswered = record && (!order || answers(*record, *order));
    const bool isTarget = record && version == record->toVersion;
    if (isTarget) {
        return isAnswered ? ofTarget(record->phase) : ofReplacedTarget(record->phase);
    }
    if (order && !isAnswered && version == order->toVersion) {
        return Standing::Excluded;
    }
    return record && excludes(*record, version) ? Standing::Excluded : Standing::Usable;
}

} // namespace cardamomlift::rollout
