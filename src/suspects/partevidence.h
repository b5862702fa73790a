#pragma once

#include "suspects/crashevidence.h"
#include "suspects/suspecttypes.h"

#include <functional>
#include <optional>
#include <span>

namespace cardamomlift::suspects {

/// A part that no server has answered lately waits from so many crashes on, as a whole request does: MaxCrashes. One that servers have answered needs so
/// many since the last answer.
inline constexpr std::size_t MaxCrashesAfterAnswer = 5;
/// Time by which the other VMs have told what they have answered since a crash.
inline constexpr Duration AnswerNewsTime = std::chrono::seconds(1);
/// Crashes under one request alone say more of the request than of a part of its prompt.
inline constexpr std::size_t MinRequestsOfPart = 2;
/// So many events of one run, and so long after its first byte, show that none of its parts crashes servers: one that does ends its server when it begins
/// an answer, or a moment later.
inline constexpr std::uint64_t MinEventsOfAnswer = 8;
inline constexpr Duration MinTimeOfAnswer = std::chrono::seconds(1);

/// What is known of crashes and answers, to judge parts of prompts.
struct PartHistory {
    std::span<const Crash> crashes;
    const TraitCounts *counts = nullptr;
    std::function<bool(Fingerprint)> isRequestBlocked;
    std::function<bool(PartKey)> isPartBlocked;
    std::function<std::optional<TimePoint>(PartKey)> lastAnswer; ///< Of any server to a request with the part.
    TimePoint promptAnsweredAt; ///< When a server last answered any request with a prompt.
    TimePoint now;
};

/// The crashes of which a part of prompts may be the cause.
struct PartEvidence {
    CrashEvidence crashes;
    std::size_t requests = 0; ///< Different requests with the part that were in flight at these crashes.
    bool hasRivals = false; ///< Other requests or parts may be the cause of some of them.
    bool hasCompanion = false; ///< Another part was with this one in all requests: nothing in the crashes tells the two apart.
    bool wasAnswered = false; ///< A server has answered the part not long before.
    bool othersAreAnswered = false; ///< Requests without the part have been answered since the first of them.
};

/// Counts the crashes that @p part may have caused, except those with a known cause. Crashes at which each request with @p part had another suspected
/// part are left out if the request with the parts @p ofRequest lacks that one.
PartEvidence evidenceAgainstPart(const PartHistory &history, PartKey part, std::span<const PartKey> ofRequest);

/// Derives the state of a request with the part. A part that crashes each server that begins an answer on it is in no answer: any answer clears it of
/// the crashes before.
SuspectState partState(const PartEvidence &evidence, bool wasBlocked, TimePoint now);

} // namespace cardamomlift::suspects
