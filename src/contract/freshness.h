#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace cardamomlift::contract {

/// How old the evidence may be that no accepted edit is missing here.
inline constexpr Duration FreshnessBound = std::chrono::seconds(4);

/// What a VM knows about how current its contracts are. Ages are on the runtime's clock.
struct FreshnessInputs {
    bool hasAllContracts = false; ///< Every contract was read once, from the table or from enough peers.
    std::optional<Duration> tableAge; ///< So long ago the table held no edit that is missing here, as read here or by a peer.
    bool listKnown = false; ///< The platform's list of VMs was read.
    std::size_t listed = 1; ///< Live entry VMs on it, this one counted.
    std::size_t heard = 0; ///< Others of them whose heartbeat, at most FreshnessBound old, is merged here.
};

/// Why the contracts held here may, or may not, be taken as those in force.
enum class FreshnessReason {
    ConfirmedByTable,
    ConfirmedByMajority, ///< The table can't be reached, and no edit can be accepted without one of the VMs heard.
    NoContracts, ///< This VM has not read the contracts yet.
    CutOff, ///< Neither the table nor a majority of the entry VMs can be reached.
};

/// Entry VMs, this one counted, that a decision needs out of @p listed: more than half.
std::size_t majorityOf(std::size_t listed);
/// True if this VM and those it hears are a majority: then it may accept an edit.
bool hearsMajority(const FreshnessInputs &inputs);
/// True if a VM without contracts has got them all from its peers: from a majority, itself not counted, or from all.
bool completeFromPeers(const FreshnessInputs &inputs);
/// Why this VM may take new work, or why not.
FreshnessReason evaluateFreshness(const FreshnessInputs &inputs);
bool mayTakeNewWork(FreshnessReason reason);
std::string_view freshnessName(FreshnessReason reason);

} // namespace cardamomlift::contract
