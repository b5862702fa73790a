#pragma once

#include "kernel/clock.h"
#include "membership/membershiptypes.h"

#include <cstdint>

namespace cardamomlift::membership {

/// A statement about one entry VM. Of two statements the higher version counts: within one incarnation suspicion beats
/// life and failure beats suspicion; only the VM itself raises its incarnation.
struct HealthStatement {
    std::uint64_t incarnation = 0;
    Health health = Health::Alive;
};

std::uint64_t versionOf(const HealthStatement &statement);
HealthStatement statementOf(std::uint64_t version);

/// What a VM answers to a statement about itself: life in the next incarnation, if the statement denies it.
bool mustRefute(const HealthStatement &aboutSelf);

/// What one VM knows of a neighbour from its own heartbeats.
struct ProbeRecord {
    TimePoint firstProbed; ///< Silence counts from here on: a VM may be listed before its daemon is up.
    TimePoint lastHeard; ///< Last sign of life that came directly.
    unsigned missedRounds = 0; ///< Rounds in a row without an answer, neither direct nor through others.
};

/// When a silent neighbour is suspected, and when it counts as failed.
struct ProbeLimits {
    unsigned roundsToSuspect = 3;
    Duration silenceToSuspect = std::chrono::seconds(5); ///< Without any sign of life, also a late one.
    Duration suspicionTimeout = std::chrono::seconds(5);
};

/// Time without a direct sign of life.
Duration silence(const ProbeRecord &record, TimePoint now);
/// A neighbour answered, also late.
void noteHeard(ProbeRecord &record, TimePoint now);
/// A whole round passed without an answer.
void noteMissed(ProbeRecord &record);

/// What else a judgement rests on.
struct JudgeFacts {
    Duration silentFor{0}; ///< Since the neighbour's last direct sign of life.
    Duration heldFor{0}; ///< Age of the held statement on this VM.
    bool selfIsCutOff = false;
};

/// The statement this VM should spread about a neighbour now.
///
/// @p held is the statement in force. A VM that is itself cut off judges nobody. Failure needs
/// that this VM got no answer either and that the suspicion stood unrefuted for the timeout: a slow peer refutes in time.
HealthStatement judge(const ProbeRecord &record, const HealthStatement &held, const JudgeFacts &facts, const ProbeLimits &limits = {});

} // namespace cardamomlift::membership
