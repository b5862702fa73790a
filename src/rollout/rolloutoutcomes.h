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

/// Number of histogram buckets of the time to the first byte. Their upper bounds, 4 ms to 8 s, grow by a factor of sqrt(2).
inline constexpr std::size_t LatencyBuckets = 24;

/// Index of the bucket that @p took falls into.
std::size_t latencyBucket(Duration took);

/// Counts of requests by outcome.
struct OutcomeCounts {
    std::uint64_t failed = 0; ///< Errors, incomplete answers and missing answers.
    std::array<std::uint64_t, LatencyBuckets> answered{}; ///< Indexed by latencyBucket().

    std::uint64_t answers() const;
    std::uint64_t total() const;
    /// Number of answers in buckets above @p last.
    std::uint64_t slowerThan(std::size_t last) const;
    OutcomeCounts &operator+=(const OutcomeCounts &other);
    /// The increase since @p earlier. A count that has decreased, because a VM counted in @p earlier is missing now, gives 0.
    OutcomeCounts since(const OutcomeCounts &earlier) const;
};

/// Outcomes of the requests on one route.
struct RouteOutcomes {
    OutcomeCounts baseline; ///< At servers of the other versions, all together.
    std::map<std::uint64_t, OutcomeCounts> trial; ///< At servers on trial, by nameHash() of the instance.
};

/// Outcomes of a service's requests since the order of its rollout, by nameHash() of the route.
using RolloutOutcomes = std::map<std::uint64_t, RouteOutcomes>;

/// The outcome of one attempt to send a request to a server.
struct SendOutcome {
    std::uint64_t route = 0;
    std::optional<std::uint64_t> trialServer; ///< nameHash() of the server if it is on trial; empty: it runs another version.
    std::optional<Duration> timeToFirstByte; ///< Time to the first byte; empty: the attempt failed.
};

void addOutcome(RolloutOutcomes &outcomes, const SendOutcome &outcome);
void add(RolloutOutcomes &sum, const RolloutOutcomes &other);
/// The increase since @p earlier; see OutcomeCounts::since().
RolloutOutcomes since(const RolloutOutcomes &now, const RolloutOutcomes &earlier);

/// Conversion to and from the counts that VMs exchange in their status messages.
std::vector<presence::RolloutCounts> toRolloutCounts(const RolloutOutcomes &outcomes);
RolloutOutcomes fromRolloutCounts(std::span<const presence::RolloutCounts> rolloutCounts);

} // namespace cardamomlift::rollout
