#pragma once

#include "recovery/recoverytypes.h"

#include <string_view>

namespace cardamomlift::recovery {

/// The cheapest method that is possible. Recompute always is.
RecoveryPlan planRecovery(const RecoveryInputs &inputs);

/// Bytes of KV caches carried through this VM's memory at once.
inline constexpr std::int64_t MaxTransferBytes = 64 << 20;
/// Transfers through this VM at once.
inline constexpr std::size_t MaxTransfers = 4;

/// Whether one more transfer may start now. If not, the stream goes on where it is and is looked at again.
bool canStartTransfer(std::int64_t bytes, std::int64_t bytesInFlight, std::size_t transfersInFlight, bool isKvRateKnown);

/// Silence after which a stream counts as broken, given the usual time between its tokens; before the first token
/// @p betweenTokens is 0.
Duration stallLimit(Duration betweenTokens, bool hasToken);

/// As in metric labels: "stay", "resume", "kv", "recompute".
std::string_view recoveryMethodName(RecoveryMethod method);

} // namespace cardamomlift::recovery
