#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <string_view>

namespace cardamomlift::stragglers {

/// How the events of one run have come from its server.
struct EventGaps {
    std::uint64_t pauses = 0; ///< Times that were noted; events that are read together share one.
    Duration meanPause{0}; ///< Of the last pauses, as the caller sees them.
    Duration meanGap{0}; ///< The same per event.
    std::uint8_t lateBits = 0; ///< One for each of the last eight pauses: whether it was over the route's goal.
};

/// How far a stream is, and how fast it goes on at its server.
struct RunProgress {
    EventGaps gaps;
    std::uint64_t events = 0; ///< Of the stream so far.
    double eventsLeft = 0; ///< As expected.
    Duration waited{0}; ///< Since the last event.
    Duration gapGoal{0}; ///< Within which the next event should follow; zero: none.
    Duration timeLeft{0}; ///< Until the caller's deadline.
};

/// Why a run should not go on where it is.
enum class RunNeed {
    None,
    Gaps, ///< Its pauses break the route's goal, or nearly do.
    Deadline, ///< It can't end in time.
};

/// Another server that the run may go on at.
struct MoveTarget {
    std::uint64_t server = 0;
    double pace = 1; ///< How long work takes there, relative to the mean of the service.
    double openRequests = 0; ///< Running and queued, of all VMs.
    int slots = 0;
    int takenLately = 0; ///< Late runs of this VM that have just been moved there, or are being moved.
    bool isInOwnZone = true; ///< In the failure domain of the run's server.
    Duration pause{0}; ///< Between the last event here and the first one there, as expected.
};

/// What becomes of a run.
enum class RunDecision {
    KeepsUp,
    NoBetterServer, ///< None has room and is clearly faster: the whole service is slow, or full.
    TooLate, ///< No other server could end it in time, or its caller would leave meanwhile.
    CostsMore, ///< A move would take more time than it gains.
    Move,
};

std::string_view decisionName(RunDecision decision);

/// Bounds and weights of the decision.
struct StragglerParameters {
    /// A run with fewer pauses at its server says nothing of its pace.
    std::uint64_t minPauses = 3;
    /// A pause of this part of the goal leaves no room for jitter.
    double nearGoal = 0.7;
    /// So many of the last eight pauses over the goal are more than a single lost packet.
    int maxLateGaps = 2;
    /// The rest of the run must fit into this part of the time left.
    double usableTime = 0.9;
    /// The target must take at most this part of the time that work takes here.
    double maxPaceRatio = 0.6;
    /// The target keeps this part of its slots for requests that are on their way to it.
    double freeShare = 0.15;
    /// A move must gain this many times the pause that it makes.
    double minGain = 2;
    /// Callers take a longer pause for the end of the stream.
    Duration maxPause = std::chrono::milliseconds(1800);
    /// Open slots by which a server in another failure domain counts as busier: the copy takes longer, and is billed.
    double crossZoneCost = 0.3;
    /// Late runs that one VM moves to one server within TargetMemory.
    int maxMovesPerTarget = 1;
};

} // namespace cardamomlift::stragglers
