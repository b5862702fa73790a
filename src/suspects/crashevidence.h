#pragma once

#include "suspects/suspecttypes.h"

#include <functional>
#include <span>

namespace cardamomlift::suspects {

/// A request that may have caused this many crashes no longer runs as a suspect: it is blocked, or waits while undecided.
inline constexpr std::size_t MaxCrashes = 3;
/// Of these, how many must have no other possible cause before the request is blocked.
inline constexpr std::size_t MinSoleSuspectCrashes = 2;
/// Time by which the reports of the other VMs about a crash have arrived. No request is blocked earlier.
inline constexpr Duration ReportSettleTime = std::chrono::milliseconds(300);

/// Counts the crashes that @p fingerprint may have caused. Crashes with a request in flight for which @p isBlocked returns
/// true have a known cause and are not counted.
CrashEvidence evidenceAgainst(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isBlocked);

/// Whether @p fingerprint is next to run in isolation although it has reached MaxCrashes: other requests that were in flight
/// at the same crashes may be the cause, and of all of them it is the least suspected one (fewest crashes, then the furthest
/// answer). VMs that know the same crashes choose the same request, so the undecided requests run one after the other and
/// none of them waits forever.
bool mayProbe(std::span<const Crash> crashes, Fingerprint fingerprint, const std::function<bool(Fingerprint)> &isBlocked);

/// Derives the state of a request from the evidence. A request that crashes every server is never cleared. So if there is no
/// other possible cause of a crash, either this request was the cause, or the server failed for an unrelated reason, which is
/// unlikely to happen repeatedly to the same request.
SuspectState suspectState(const CrashEvidence &evidence, TimePoint now);

} // namespace cardamomlift::suspects
