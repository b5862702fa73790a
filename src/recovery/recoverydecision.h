#pragma once

#include "recovery/recoverytypes.h"

#include <string_view>

namespace cardamomlift::recovery {

/// Chooses the cheapest possible method. Recompute is always possible.
RecoveryPlan planRecovery(const RecoveryInputs &inputs);

/// Most bytes of KV caches in this VM's memory at once.
inline constexpr std::int64_t MaxTransferBytes = 64 << 20;
/// Most transfers through this VM at once.
inline constexpr std::size_t MaxTransfers = 4;

/// Whether one more transfer may start now. If not, the stream continues where it is and is checked again later. Until the rate
/// is known, only one transfer runs at a time.
bool canStartTransfer(std::int64_t bytes, std::int64_t bytesInFlight, std::size_t transfersInFlight, bool isKvRateKnown);

/// Time without a token after which a stream counts as stalled, given the usual time between its tokens. @p betweenTokens is 0
/// before the first token.
Duration stallLimit(Duration betweenTokens, bool hasToken);

/// Name used in metric labels: "stay", "resume", "kv" or "recompute".
std::string_view recoveryMethodName(RecoveryMethod method);

} // namespace cardamomlift::recovery
