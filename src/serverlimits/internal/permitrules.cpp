#include "serverlimits/permitrules.h"

#include <algorithm>
#include <cmath>

namespace cardamomlift::serverlimits {

namespace {

/// The permits that can be used at one time: this many, plus those issued in this many seconds. With fewer, the permits of VMs
/// with few callers would expire unused. The rest up to what an overloaded server tolerates is a margin for small differences
/// between the VMs' clocks and lists of VMs.
constexpr double BurstRequests = 3;
constexpr double BurstSeconds = 1;
/// A server whose limit is lower, or zero, still gets one request in ten seconds: only an answer shows that the limit has ended.
constexpr double MinRequestsPerSecond = 0.1;
constexpr double MicrosecondsPerSecond = 1e6;

/// Spreads @p value evenly (the finalizer of SplitMix64).
std::uint64_t mix(std::uint64_t value)
{
    value ^= value >> 30;
    value *= 0xbf58476d1ce4e5b9;
    value ^= value >> 27;
    value *= 0x94d049bb133111eb;
    return value ^ (value >> 31);
}

Duration fromSeconds(double seconds)
{
    return Duration(static_cast<std::int64_t>(seconds * MicrosecondsPerSecond));
}

double seconds(Duration duration)
{
    return static_cast<double>(duration.count()) / MicrosecondsPerSecond;
}

double effectiveRate(const PermitSchedule &schedule)
{
    return std::max(MinRequestsPerSecond, schedule.requestsPerSecond);
}

/// Offset of a server's permits as a fraction of their interval, so that servers with the same limit don't issue them all at once.
double phaseOf(std::uint64_t server)
{
    return static_cast<double>(mix(server) >> 32) / static_cast<double>(UINT32_MAX);
}

std::int64_t latestPermit(const PermitSchedule &schedule, Duration storeTime)
{
    return static_cast<std::int64_t>(std::floor(seconds(storeTime) * effectiveRate(schedule) - phaseOf(schedule.server)));
}

Duration permitTime(const PermitSchedule &schedule, std::int64_t number)
{
    return fromSeconds((static_cast<double>(number) + phaseOf(schedule.server)) / effectiveRate(schedule));
}

} // namespace

Duration permitLifetime(double requestsPerSecond)
{
    return fromSeconds(BurstSeconds + BurstRequests / std::max(MinRequestsPerSecond, requestsPerSecond));
}

std::uint64_t permitOwner(std::span<const std::uint64_t> vms, std::uint64_t server, std::int64_t number)
{
    const std::uint64_t permitHash = mix(server ^ static_cast<std::uint64_t>(number));
    std::uint64_t owner = 0;
    std::uint64_t highest = 0;
    for (const std::uint64_t vm : vms) {
        const std::uint64_t rank = mix(vm ^ permitHash);
        if (rank >= highest) {
            highest = rank;
            owner = vm;
        }
    }
    return owner;
}

void setRate(PermitSchedule &schedule, double requestsPerSecond, std::optional<Duration> storeNow)
{
    schedule.requestsPerSecond = requestsPerSecond;
    // NOTE Permits are numbered by the rate, so the numbers change with it.
    schedule.lastCollected = storeNow ? std::optional(latestPermit(schedule, *storeNow)) : std::nullopt;
}

void collectPermits(PermitSchedule &schedule, std::span<const std::uint64_t> vms, std::uint64_t ownHash, Duration storeNow)
{
    const Duration oldest = storeNow - permitLifetime(schedule.requestsPerSecond);
    while (!schedule.permits.empty() && schedule.permits.front() <= oldest) {
        schedule.permits.pop_front();
    }
    const std::int64_t newest = latestPermit(schedule, storeNow);
    // Without this, a clock that goes back, as when the store is restarted, would stop the permits for that length of time.
    const bool wasClockSetBack = schedule.lastCollected && *schedule.lastCollected > newest + 1;
    if (!schedule.lastCollected || wasClockSetBack) {
        schedule.permits.clear();
        schedule.lastCollected = newest;
        return;
    }
    const std::int64_t first = std::max(*schedule.lastCollected, latestPermit(schedule, oldest)) + 1;
    for (std::int64_t number = first; number <= newest; number++) {
        if (permitOwner(vms, schedule.server, number) == ownHash) {
            schedule.permits.push_back(permitTime(schedule, number));
        }
    }
    schedule.lastCollected = std::max(*schedule.lastCollected, newest);
}

void usePermit(PermitSchedule &schedule)
{
    if (!schedule.permits.empty()) {
        schedule.permits.pop_front();
    }
}

} // namespace cardamomlift::serverlimits
