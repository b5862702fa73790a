#include "rollout/versionrules.h"

#include <algorithm>

namespace cardamomlift::rollout {

namespace {

VersionState targetState(Phase phase)
{
    switch (phase) {
    case Phase::Trial:
        return VersionState::OnTrial;
    case Phase::Moving:
        return VersionState::Preferred;
    case Phase::Succeeded:
        return VersionState::Usable;
    case Phase::RolledBack:
        return VersionState::Excluded;
    }
    return VersionState::Excluded;
}

// The state of a target version whose order was replaced by a newer one: it stays in use only if it was accepted by then.
VersionState replacedTargetState(Phase phase)
{
    return phase == Phase::Moving || phase == Phase::Succeeded ? VersionState::Usable : VersionState::Excluded;
}

bool excludes(const Record &record, std::string_view version)
{
    return std::find(record.excluded.begin(), record.excluded.end(), version) != record.excluded.end();
}

} // namespace

VersionState versionStateOf(std::string_view version, const Order *order, const Record *record)
{
    const bool isCovered = record && (!order || coversOrder(*record, *order));
    const bool isTarget = record && version == record->toVersion;
    if (isTarget) {
        return isCovered ? targetState(record->phase) : replacedTargetState(record->phase);
    }
    if (order && !isCovered && version == order->toVersion) {
        return VersionState::Excluded;
    }
    return record && excludes(*record, version) ? VersionState::Excluded : VersionState::Usable;
}

} // namespace cardamomlift::rollout
