#pragma once

#include "kernel/clock.h"
#include "membership/membershiptypes.h"

#include <cstdint>

namespace cardamomlift::membership {

/// A statement about one entry VM. Of two statements the higher version counts: within one incarnation suspicion beats
/// life and failure beats suspicion; only the VM itself raises its incarnation.
struct HealthStatus {
    std::uint64_t incarnation = 0;
    Health health = Health::Alive;
};

std::uint64_t versionOf(const HealthStatus &status);
HealthStatus statusOf(std::uint64_t version);

/// What a VM answers to a statement about itself: life in the next incarnation, if the statement denies it.
bool mustRefute(const HealthStatus &aboutSelf);

/// What one VM knows of a neighbour from its own heartbeats.
struct ProbeRecord {
    TimePoint firstProbed; ///< Silence counts from here on: a VM may be listed before its daemon is up.
    TimePoint lastHeard; ///< Last sign of life that came directly.
    unsigned missedRounds = 0; ///< Rounds in a row without an answer, neither direct nor through others.
};

/// When a silent neighbour is suspected, and when it counts as failed.
struct FailureThresholds {
    unsigned missedRoundsToSuspect = 3;
    Duration silenceToSuspect = std::chrono::seconds(5); ///< Without any sign of life, also a late one.
    Duration suspicionTimeout = std::chrono::seconds(5);
};

/// Time without a direct sign of life.
Duration timeSinceHeard(const ProbeRecord &record, TimePoint now);
/// A neighbour answered, also late.
void recordAnswer(ProbeRecord &record, TimePoint now);
/// A whole round passed without an answer.
void recordMissedRound(ProbeRecord &record);

/// What else a judgement rests on.
struct ProbeEvidence {
    Duration silentFor{0}; ///< Since the neighbour's last direct sign of life.
    Duration statusAge{0}; ///< Age of the held statement on this VM.
    bool selfIsPartitioned = false;
};

/// The statement this VM should spread about a neighbour now.
///
/// @p held is the statement in force. A VM that is itself cut off judges nobody. Failure needs
/// that this VM got no answer either and that the suspicion stood unrefuted for the timeout: a slow peer refutes in time.
HealthStatus nextStatus(const ProbeRecord &record, const HealthStatus &held, const ProbeEvidence &evidence, const FailureThresholds &thresholds = {});

} // namespace cardamomlift::membership
