#include "rollout/rolloutoutcomes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cardamomlift::rollout {

namespace {

/// Upper bound of the first bucket. Shorter times are dominated by the network.
constexpr double FirstBucketMs = 4;
constexpr double MicrosecondsPerMs = 1000;
/// Buckets per doubling of the time.
constexpr double BucketsPerOctave = 2;

std::uint64_t increase(std::uint64_t now, std::uint64_t earlier)
{
    return now - std::min(now, earlier);
}

presence::RolloutCounts toCounts(std::uint64_t route, std::uint64_t server, const OutcomeCounts &counts)
{
    presence::RolloutCounts result;
    result.route = route;
    result.server = server;
    result.failed = static_cast<std::uint32_t>(counts.failed);
    result.answered.assign(counts.answered.begin(), counts.answered.end());
    while (!result.answered.empty() && result.answered.back() == 0) {
        result.answered.pop_back();
    }
    return result;
}

} // namespace

std::size_t latencyBucket(Duration took)
{
    const double ms = static_cast<double>(took.count()) / MicrosecondsPerMs;
    if (ms <= FirstBucketMs) {
        return 0;
    }
    const double index = std::ceil(std::log2(ms / FirstBucketMs) * BucketsPerOctave);
    return std::min(LatencyBuckets - 1, static_cast<std::size_t>(index));
}

std::uint64_t OutcomeCounts::answers() const
{
    return std::accumulate(answered.begin(), answered.end(), std::uint64_t(0));
}

std::uint64_t OutcomeCounts::total() const
{
    return answers() + failed;
}

std::uint64_t OutcomeCounts::slowerThan(std::size_t last) const
{
    const auto first = answered.begin() + static_cast<std::ptrdiff_t>(std::min(LatencyBuckets, last + 1));
    return std::accumulate(first, answered.end(), std::uint64_t(0));
}

OutcomeCounts &OutcomeCounts::operator+=(const OutcomeCounts &other)
{
    failed += other.failed;
    for (std::size_t i = 0; i < LatencyBuckets; i++) {
        answered[i] += other.answered[i];
    }
    return *this;
}

OutcomeCounts OutcomeCounts::since(const OutcomeCounts &earlier) const
{
    OutcomeCounts result;
    result.failed = increase(failed, earlier.failed);
    for (std::size_t i = 0; i < LatencyBuckets; i++) {
        result.answered[i] = increase(answered[i], earlier.answered[i]);
    }
    return result;
}

void addOutcome(RolloutOutcomes &outcomes, const SendOutcome &outcome)
{
    RouteOutcomes &route = outcomes[outcome.route];
    OutcomeCounts &counts = outcome.trialServer ? route.trial[*outcome.trialServer] : route.baseline;
    if (outcome.timeToFirstByte) {
        counts.answered[latencyBucket(*outcome.timeToFirstByte)]++;
        return;
    }
    counts.failed++;
}

void add(RolloutOutcomes &sum, const RolloutOutcomes &other)
{
    for (const auto &[route, entry] : other) {
        RouteOutcomes &routeSum = sum[route];
        routeSum.baseline += entry.baseline;
        for (const auto &[server, counts] : entry.trial) {
            routeSum.trial[server] += counts;
        }
    }
}

RolloutOutcomes since(const RolloutOutcomes &now, const RolloutOutcomes &earlier)
{
    RolloutOutcomes result = now;
    for (auto &[route, entry] : result) {
        const auto earlierRoute = earlier.find(route);
        if (earlierRoute == earlier.end()) {
            continue;
        }
        entry.baseline = entry.baseline.since(earlierRoute->second.baseline);
        for (auto &[server, counts] : entry.trial) {
            const auto earlierServer = earlierRoute->second.trial.find(server);
            counts = earlierServer == earlierRoute->second.trial.end() ? counts : counts.since(earlierServer->second);
        }
    }
    return result;
}

std::vector<presence::RolloutCounts> toRolloutCounts(const RolloutOutcomes &outcomes)
{
    std::vector<presence::RolloutCounts> result;
    for (const auto &[route, entry] : outcomes) {
        result.push_back(toCounts(route, 0, entry.baseline));
        for (const auto &[server, counts] : entry.trial) {
            result.push_back(toCounts(route, server, counts));
        }
    }
    return result;
}

RolloutOutcomes fromRolloutCounts(std::span<const presence::RolloutCounts> rolloutCounts)
{
    RolloutOutcomes outcomes;
    for (const presence::RolloutCounts &entry : rolloutCounts) {
        OutcomeCounts counts;
        counts.failed = entry.failed;
        for (std::size_t i = 0; i < std::min(LatencyBuckets, entry.answered.size()); i++) {
            counts.answered[i] = entry.answered[i];
        }
        RouteOutcomes &route = outcomes[entry.route];
        (entry.server == 0 ? route.baseline : route.trial[entry.server]) += counts;
    }
    return outcomes;
}

} // namespace cardamomlift::rollout
