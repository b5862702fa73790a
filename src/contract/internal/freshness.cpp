#include "contract/freshness.h"

#include <algorithm>

namespace cardamomlift::contract {

std::size_t majorityOf(std::size_t listed)
{
    return listed / 2 + 1;
}

bool hearsMajority(const FreshnessFacts &facts)
{
    return facts.listKnown && facts.hasAll && facts.heard + 1 >= majorityOf(facts.listed);
}

// NOTE A VM that starts without contracts does not count itself: an earlier instance on it may have held the edit that
// the others lack, and that memory is lost.
bool completeFromPeers(const FreshnessFacts &facts)
{
    const std::size_t others = facts.listed - 1;
    return facts.listKnown && others > 0 && facts.heard >= std::min(majorityOf(facts.listed), others);
}

FreshnessReason judgeFreshness(const FreshnessFacts &facts)
{
    if (!facts.hasAll) {
        return FreshnessReason::NoContracts;
    }
    if (facts.tableAge && *facts.tableAge <= FreshnessBound) {
        return FreshnessReason::ConfirmedByTable;
    }
    return hearsMajority(facts) ? FreshnessReason::ConfirmedByMajority : FreshnessReason::CutOff;
}

bool mayTakeNewWork(FreshnessReason reason)
{
    return reason == FreshnessReason::ConfirmedByTable || reason == FreshnessReason::ConfirmedByMajority;
}

std::string_view freshnessName(FreshnessReason reason)
{
    switch (reason) {
    case FreshnessReason::ConfirmedByTable:
        return "confirmed_by_table";
    case FreshnessReason::ConfirmedByMajority:
        return "confirmed_by_majority";
    case FreshnessReason::NoContracts:
        return "no_contracts";
    case FreshnessReason::CutOff:
        return "cut_off";
    }
    return "";
}

} // namespace cardamomlift::contract
