#include "contract/freshness.h"

#include <algorithm>

namespace cardamomlift::contract {

std::size_t majorityOf(std::size_t listed)
{
    return listed / 2 + 1;
}

bool hearsMajority(const FreshnessInputs &inputs)
{
    return inputs.listKnown && inputs.hasAllContracts && inputs.heard + 1 >= majorityOf(inputs.listed);
}

// NOTE A VM that starts without contracts does not count itself: an earlier process on it may have held an edit that the
// others lack, and lost it with its memory.
bool completeFromPeers(const FreshnessInputs &inputs)
{
    const std::size_t others = inputs.listed - 1;
    return inputs.listKnown && others > 0 && inputs.heard >= std::min(majorityOf(inputs.listed), others);
}

FreshnessReason evaluateFreshness(const FreshnessInputs &inputs)
{
    if (!inputs.hasAllContracts) {
        return FreshnessReason::NoContracts;
    }
    if (inputs.tableAge && *inputs.tableAge <= FreshnessBound) {
        return FreshnessReason::ConfirmedByTable;
    }
    return hearsMajority(inputs) ? FreshnessReason::ConfirmedByMajority : FreshnessReason::CutOff;
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
