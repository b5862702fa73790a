#pragma once

#include "rollout/rolloutoutcomes.h"

namespace cardamomlift::rollout {

/// Counts @p sends requests, of which @p failed fail and the others are answered after @p took.
inline void addSends(OutcomeCounts &counts, std::uint64_t sends, std::uint64_t failed, Duration took = std::chrono::milliseconds(100))
{
    counts.answered[latencyBucket(took)] += sends - failed;
    counts.failed += failed;
}

} // namespace cardamomlift::rollout
