#pragma once

#include "rollout/rolloutoutcomes.h"

namespace cardamomlift::rollout {

/// Adds @p sends answers of usual latency, and @p failed failures.
inline void addSends(OutcomeCounts &counts, std::uint64_t sends, std::uint64_t failed, Duration took = std::chrono::milliseconds(100))
{
    counts.answered[latencyBucket(took)] += sends - failed;
    counts.failed += failed;
}

} // namespace cardamomlift::rollout
