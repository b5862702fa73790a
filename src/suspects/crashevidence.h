#pragma once

#include "suspects/suspecttypes.h"

#include <functional>
#include <span>
#include <unordered_map>
#include <vector>

namespace cardamomlift::suspects {

/// A request that may have caused this many crashes no longer runs as a suspect: it is blocked, or waits while undecided.
inline constexpr std::size_t MaxCrashes = 3;
/// Of these, how many must have no other possible cause before the request is blocked.
inline constexpr std::size_t MinSoleSuspectCrashes = 2;
/// Time by which the reports of the other VMs about a crash have arrived. No request is blocked earlier.
inline constexpr Duration ReportSettleTime = std::chrono::milliseconds(300);

/// The least CrashEvidence on which a request is blocked, or waits while it is not confirmed.
struct BlockThreshold {
    std::size_t crashes = MaxCrashes;
    std::size_t soleSuspectCrashes = MinSoleSuspectCrashes;
    std::size_t successiveCrashes = 0;
};

/// For requests that the VMs repeat.
inline constexpr BlockThreshold SystemThreshold{};
/// For requests that callers repeat: copies that run at the same time may all be hit by one failure of several servers.
inline constexpr BlockThreshold CallerThreshold{MaxCrashes, MinSoleSuspectCrashes, 2};
/// For a request whose block has ended.
inline constexpr BlockThreshold ThresholdAfterBlock{1, 1, 1};

/// If callers repeat requests: this long after a crash, another request that was in flight at fewer crashes is no possible cause
/// of it any more. Its caller has given it up, so nothing will ever clear it.
inline constexpr Duration BystanderTime = std::chrono::seconds(10);

/// The number of crashes with each request and each part in flight, without those that an answer has cleared.
struct TraitCounts {
    std::unordered_map<Fingerprint, std::size_t> requests;
    std::unordered_map<PartKey, std::size_t> parts;

    std::size_t ofRequest(Fingerprint fingerprint) const;
    std::size_t ofPart(PartKey part) const;
};

TraitCounts countTraits(std::span<const Crash> crashes);

/// The known crashes, and how to judge them.
struct CrashHistory {
    std::span<const Crash> crashes;
    std::function<bool(Fingerprint)> isBlocked; ///< Crashes with a blocked request in flight have a known cause.
    RepeatSource repeats = RepeatSource::System;
    TimePoint now;
    const TraitCounts *counts = nullptr; ///< Set if callers repeat requests.
    std::function<bool(PartKey)> isPartBlocked; ///< Set if callers repeat requests: so have crashes with a blocked part in flight.
};

/// When one request was sent to a server, and when that server crashed.
struct Run {
    TimePoint startedAt;
    TimePoint crashedAt;
};

/// The longest series of @p runs of which each was sent after the crash before.
std::size_t countSuccessive(std::vector<Run> runs);

/// Counts the crashes that @p fingerprint may have caused, except those with a known cause. If callers repeat requests, another
/// request in flight, or a part of its prompt, is a possible cause only if it was in flight at another crash too.
CrashEvidence evidenceAgainst(const CrashHistory &history, Fingerprint fingerprint);

/// Whether @p fingerprint is next to run in isolation although it has reached MaxCrashes: other requests that were in flight
/// at the same crashes may be the cause, and of all of them it is the least suspected one (fewest crashes, then the furthest
/// answer). VMs that know the same crashes choose the same request, so the undecided requests run one after the other and
/// none of them waits forever.
bool mayProbe(const CrashHistory &history, Fingerprint fingerprint);

/// Derives the state of a request from the evidence. A request that crashes every server is never cleared. So if there is no
/// other possible cause of a crash, either this request was the cause, or the server failed for an unrelated reason, which is
/// unlikely to happen repeatedly to the same request.
SuspectState suspectState(const CrashEvidence &evidence, const BlockThreshold &threshold, TimePoint now);

} // namespace cardamomlift::suspects
