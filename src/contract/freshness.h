#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace cardamomlift::contract {

/// Maximum age of the evidence, a read of the table or a heartbeat, that no accepted edit is missing on this VM.
inline constexpr Duration FreshnessBound = std::chrono::seconds(4);

/// The inputs of evaluateFreshness(). Ages are measured with the clock of the event loop.
struct FreshnessInputs {
    bool hasAllContracts = false; ///< All contracts were read once, from the table or from enough peers.
    std::optional<Duration> tableAge; ///< Time since the table was last known to hold no edit that is missing here, read by this VM or a peer.
    bool listKnown = false; ///< The platform's list of VMs was read.
    std::size_t listed = 1; ///< Live entry VMs on the list, including this one.
    std::size_t heard = 0; ///< Other listed VMs with a known heartbeat no older than FreshnessBound.
};

/// Why this VM may, or may not, rely on its contracts.
enum class FreshnessReason {
    ConfirmedByTable,
    ConfirmedByMajority, ///< The table is unreachable, but every majority that can accept an edit includes this VM or one it hears.
    NoContracts, ///< This VM does not have all contracts yet.
    CutOff, ///< Neither the table nor a majority of the entry VMs is reachable.
};

/// The smallest majority of @p listed entry VMs.
std::size_t majorityOf(std::size_t listed);
/// True if this VM and those it hears are a majority, so that it may accept an edit.
bool hearsMajority(const FreshnessInputs &inputs);
/// True if a VM that started without contracts has received all of them from peers: it hears a majority
/// without counting itself, or all others.
bool completeFromPeers(const FreshnessInputs &inputs);
/// Decides whether this VM may accept new work (see mayTakeNewWork()), and why.
FreshnessReason evaluateFreshness(const FreshnessInputs &inputs);
bool mayTakeNewWork(FreshnessReason reason);
std::string_view freshnessName(FreshnessReason reason);

} // namespace cardamomlift::contract
