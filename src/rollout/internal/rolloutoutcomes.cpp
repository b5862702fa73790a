#include "rollout/rolloutoutcomes.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace cardamomlift::rollout {

namespace {

/// Upper end of the first class. Shorter times are the network's.
constexpr double FirstClassMs = 4;
constexpr double MicrosecondsPerMs = 1000;
/// Classes to a doubling.
constexpr double ClassesPerOctave = 2;

std::uint64_t difference(std::uint64_t now, std::uint64_t earlier)
{
    return now - std::min(now, earlier);
}

presence::RolloutCounts toldCounts(std::uint64_t route, std::uint64_t server, const OutcomeCounts &counts)
{
    presence::RolloutCounts told;
    told.route = route;
    told.server = server;
    told.failed = static_cast<std::uint32_t>(counts.failed);
    told.answered.assign(counts.answered.begin(), counts.answered.end());
    while (!told.answered.empty() && told.answered.back() == 0) {
        told.answered.pop_back();
    }
    return told;
}

} // namespace

std::size_t latencyBucket(Duration took)
{
    const double ms = static_cast<double>(took.count()) / MicrosecondsPerMs;
    if (ms <= FirstClassMs) {
        return 0;
    }
    const double place = std::ceil(std::log2(ms / FirstClassMs) * ClassesPerOctave);
    return std::min(LatencyBuckets - 1, static_cast<std::size_t>(place));
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
    OutcomeCounts later;
    later.failed = difference(failed, earlier.failed);
    for (std::size_t i = 0; i < LatencyBuckets; i++) {
        later.answered[i] = difference(answered[i], earlier.answered[i]);
    }
    return later;
}

void note(RolloutOutcomes &outcomes, const SendOutcome &outcome)
{
    RouteOutcomes &route = outcomes[outcome.route];
    OutcomeCounts &counts = outcome.trialServer ? route.trial[*outcome.trialServer] : route.baseline;
    if (outcome.firstByteAfter) {
        counts.answered[latencyBucket(*outcome.firstByteAfter)]++;
        return;
    }
    counts.failed++;
}

void add(RolloutOutcomes &sum, const RolloutOutcomes &more)
{
    for (const auto &[route, entry] : more) {
        RouteOutcomes &place = sum[route];
        place.baseline += entry.baseline;
        for (const auto &[server, counts] : entry.trial) {
            place.trial[server] += counts;
        }
    }
}

RolloutOutcomes since(const RolloutOutcomes &now, const RolloutOutcomes &earlier)
{
    RolloutOutcomes later = now;
    for (auto &[route, entry] : later) {
        const auto before = earlier.find(route);
        if (before == earlier.end()) {
            continue;
        }
        entry.baseline = entry.baseline.since(before->second.baseline);
        for (auto &[server, counts] : entry.trial) {
            const auto place = before->second.trial.find(server);
            counts = place == before->second.trial.end() ? counts : counts.since(place->second);
        }
    }
    return later;
}

std::vector<presence::RolloutCounts> toRolloutCounts(const RolloutOutcomes &outcomes)
{
    std::vector<presence::RolloutCounts> told;
    for (const auto &[route, entry] : outcomes) {
        told.push_back(toldCounts(route, 0, entry.baseline));
        for (const auto &[server, counts] : entry.trial) {
            told.push_back(toldCounts(route, server, counts));
        }
    }
    return told;
}

RolloutOutcomes fromRolloutCounts(std::span<const presence::RolloutCounts> told)
{
    RolloutOutcomes outcomes;
    for (const presence::RolloutCounts &entry : told) {
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
