#pragma once

#include "suspects/suspecttypes.h"

#include <functional>
#include <span>

namespace cardamomlift::suspects {

/// Crashes a request may be present at before it is kept from running.
inline constexpr std::size_t MaxCrashes = 3;
/// Of these, how many must have no other possible cause before it is convicted.
inline constexpr std::size_t OnlyCauseNeeded = 2;
/// The other VMs' reports of a crash arrive within this time; nobody is convicted sooner.
inline constexpr Duration SettleTime = std::chrono::milliseconds(300);

/// Counts the crashes that speak against @p fingerprint. @p isConvicted tells requests already known as causes: their
/// crashes are explained and speak against nobody else.
CrashEvidence evidenceAgainst(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isConvicted);

/// Whether it is @p fingerprint's turn to run alone though it was at too many crashes: others that were beside it may be
/// the cause too, and it is the likeliest of them to be innocent (fewest crashes, then furthest answer). All VMs that know
/// the same crashes name the same one, so that the undecided run one after the other and none waits for ever.
bool mayProbe(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isConvicted);

/// A request that really crashes each server never gets cleared, so a crash without another possible cause is proof
/// that it was this one, or that the server died of something else. The latter does not happen again and again to the
/// same request.
Standing standingOf(const CrashEvidence &evidence, TimePoint now);

} // namespace cardamomlift::suspects
