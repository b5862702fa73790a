#pragma once

#include "kernel/clock.h"
#include "presence/presencetypes.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace cardamomlift::rollout {

/// Classes of the time to the first byte: each is wider than the one before by the root of two, from 4 ms to 8 s.
inline constexpr std::size_t LatencyBuckets = 24;

std::size_t latencyBucket(Duration took);

/// What requests came to.
struct OutcomeCounts {
    std::uint64_t failed = 0; ///< Errors, broken answers and silence.
    std::array<std::uint64_t, LatencyBuckets> answered{}; ///< By latencyBucket().

    std::uint64_t answers() const;
    std::uint64_t total() const;
    /// Answers that took longer than those of class @p last.
    std::uint64_t slowerThan(std::size_t last) const;
    OutcomeCounts &operator+=(const OutcomeCounts &other);
    /// What came after @p earlier; nothing where a VM that is counted there is missing here.
    OutcomeCounts since(const OutcomeCounts &earlier) const;
};

/// Of one route.
struct RouteOutcomes {
    OutcomeCounts baseline; ///< At servers of the other versions.
    std::map<std::uint64_t, OutcomeCounts> trial; ///< At those on trial, by nameHash() of the instance.
};

/// Of one service since the order of its rollout, by nameHash() of the route.
using RolloutOutcomes = std::map<std::uint64_t, RouteOutcomes>;

/// How one send of a request ended.
struct SendOutcome {
    std::uint64_t route = 0;
    std::optional<std::uint64_t> trialServer; ///< nameHash() of a server on trial; empty: of another version.
    std::optional<Duration> firstByteAfter; ///< Empty: it failed.
};

void note(RolloutOutcomes &outcomes, const SendOutcome &outcome);
void add(RolloutOutcomes &sum, const RolloutOutcomes &more);
RolloutOutcomes since(const RolloutOutcomes &now, const RolloutOutcomes &earlier);

/// For a status, and back.
std::vector<presence::RolloutCounts> toRolloutCounts(const RolloutOutcomes &outcomes);
RolloutOutcomes fromRolloutCounts(std::span<const presence::RolloutCounts> told);

} // namespace cardamomlift::rollout
