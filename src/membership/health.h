#pragma once

#include "kernel/clock.h"
#include "membership/membershiptypes.h"

#include <cstdint>

namespace cardamomlift::membership {

/// The health of one entry VM in one of its incarnations, as spread by gossip. Of two statuses the one with the higher
/// version counts: a higher incarnation overrides a lower one, and within one incarnation Failed overrides Suspected, which
/// overrides Alive. Only the VM itself raises its incarnation.
struct HealthStatus {
    std::uint64_t incarnation = 0;
    Health health = Health::Alive;
};

/// The rumour version that encodes @p status.
std::uint64_t versionOf(const HealthStatus &status);
/// Decodes a rumour version; the inverse of versionOf().
HealthStatus statusOf(std::uint64_t version);

/// True if this VM must refute a status about itself, that is, publish Alive in the next incarnation.
bool mustRefute(const HealthStatus &aboutSelf);

/// What one VM knows of a neighbour from its own probes.
struct ProbeRecord {
    TimePoint firstProbed; ///< Silence is counted from here at the earliest: a VM may be listed before its daemon is up.
    TimePoint lastHeard; ///< The last answer or ping that came directly from the neighbour.
    unsigned missedRounds = 0; ///< Consecutive rounds without an answer to either a direct or an indirect probe.
};

/// When an unresponsive neighbour is suspected, and when it counts as failed.
struct FailureThresholds {
    unsigned missedRoundsToSuspect = 3;
    Duration silenceToSuspect = std::chrono::seconds(5); ///< Time without any direct answer or ping; late answers count as well.
    Duration suspicionTimeout = std::chrono::seconds(5); ///< From Suspected to Failed, if the suspicion is not refuted.
};

/// Time since the neighbour was last heard directly or since it was first probed, whichever is later.
Duration timeSinceHeard(const ProbeRecord &record, TimePoint now);
/// Records that the neighbour answered a direct probe. Late answers count as well.
void recordAnswer(ProbeRecord &record, TimePoint now);
/// Records a round without an answer to any probe.
void recordMissedRound(ProbeRecord &record);

/// What nextStatus() takes into account besides the probe record.
struct ProbeEvidence {
    Duration silentFor{0}; ///< See timeSinceHeard().
    Duration statusAge{0}; ///< Time since this VM learned the held status.
    bool selfIsPartitioned = false; ///< See isPartitioned() in reachability.h.
};

/// The status this VM should publish about a neighbour after a missed round; @p held if nothing changes.
///
/// @p held is the status with the highest version known. A VM that is itself partitioned changes no status. A suspected
/// neighbour becomes Failed only if it still misses this VM's own probes and did not refute the suspicion within the
/// timeout; a VM that is merely slow refutes in time.
HealthStatus nextStatus(const ProbeRecord &record, const HealthStatus &held, const ProbeEvidence &evidence, const FailureThresholds &thresholds = {});

} // namespace cardamomlift::membership
