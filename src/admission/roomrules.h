#pragma once

#include "kernel/clock.h"

#include <cstdint>

namespace cardamomlift::admission {

/// What a service class promises; 0: nothing.
struct LatencyTargets {
    Duration firstToken{0};
    Duration betweenTokens{0};
};

/// How many requests this VM lets run at one model or service at once. It follows the latency that is observed, so it
/// settles at this VM's share of what the backend servers can take, however many VMs there are.
struct Room {
    double limit = 0;
    std::int64_t inFlight = 0;
    std::int64_t deferrableInFlight = 0;
    double endsPerSecond = 0; ///< Smoothed rate at which requests end; 0: not known yet.
    double meanSeconds = 0; ///< Smoothed time that requests run.
    TimePoint lastEnd;
    TimePoint lastCut;
    double othersPeak = 0; ///< Recent peak of what is not deferrable, in flight or waiting; decays.
    TimePoint othersPeakAt;
    LatencyTargets tightest; ///< Of the classes seen of late: the room must suit the most demanding one.
    TimePoint tightestAt;
};

Room startRoom(TimePoint now);
/// Notes the targets of a request that is let in.
void noteTargets(Room &room, const LatencyTargets &targets, TimePoint now);
/// Takes in the latency of one first token, or of a service's answer. Additive growth while the room is in use and the
/// latency is well within the target; a multiplicative cut when it comes near it, at most one until a request that was
/// let in after it has been answered.
void noteFirstToken(Room &room, TimePoint admittedAt, TimePoint now);
/// The same for the mean time between the tokens of one answer.
void notePace(Room &room, Duration betweenTokens, TimePoint admittedAt, TimePoint now);
/// Notes a request that is not deferrable, with how many of these wait: deferrable work leaves room for their recent
/// peak.
void noteDemand(Room &room, std::size_t waiting, TimePoint now);
/// A request ended that ran for @p ran.
void noteEnd(Room &room, Duration ran, TimePoint now);

/// Whether one more may run.
bool hasRoom(const Room &room, bool isDeferrable);
/// Time until @p ahead requests have been let in before; 0 if nothing is known yet. The shorter of two estimates, by
/// the rate of late and by the time requests run: to refuse what would have been in time is worse than to let it wait.
Duration expectedWait(const Room &room, std::size_t ahead);

} // namespace cardamomlift::admission
