#include "forwarding/partdemand.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <vector>

namespace cardamomlift::forwarding {

namespace {

/// Time constant of the averages: a part that is hot at one VM in a hundred is seen there several times.
constexpr double AveragingSeconds = 3;
/// Parts that are counted for each service.
constexpr std::size_t MaxParts = 256;
/// Requests with a part that may be chance, and are left out.
constexpr double ChanceRequests = 2;
/// Parts counted less than this are dropped when there are too many.
constexpr double RareRequests = 1;

std::uint64_t hashOf(std::string_view part)
{
    return XXH3_64bits(part.data(), part.size());
}

} // namespace

double PartDemand::current(const Count &count, TimePoint now)
{
    return count.requests * std::exp(-std::chrono::duration<double>(now - count.updatedAt).count() / AveragingSeconds);
}

void PartDemand::increment(Count &count, TimePoint now)
{
    count.requests = current(count, now) + 1;
    count.updatedAt = now;
}

// Those that are left are at most MaxParts / 2, so that the cost for each request stays small.
void PartDemand::dropRarest(Service &service, TimePoint now)
{
    std::erase_if(service.parts, [now](const auto &part) { return current(part.second, now) <= RareRequests; });
    if (service.parts.size() <= MaxParts / 2) {
        return;
    }
    std::vector<double> counts;
    counts.reserve(service.parts.size());
    std::transform(service.parts.begin(), service.parts.end(), std::back_inserter(counts), [now](const auto &part) { return current(part.second, now); });
    const auto limit = counts.begin() + MaxParts / 2;
    std::nth_element(counts.begin(), limit, counts.end(), std::greater<>());
    std::erase_if(service.parts, [now, least = *limit](const auto &part) { return current(part.second, now) <= least; });
}

void PartDemand::noteRequest(const std::string &service, std::string_view part, TimePoint now)
{
    Service &counts = services_[service];
    increment(counts.all, now);
    if (part.empty()) {
        return;
    }
    if (counts.parts.size() >= MaxParts) {
        dropRarest(counts, now);
    }
    increment(counts.parts[hashOf(part)], now);
}

double PartDemand::share(const std::string &service, std::string_view part, TimePoint now) const
{
    const auto counts = services_.find(service);
    if (counts == services_.end() || part.empty()) {
        return 0;
    }
    const auto found = counts->second.parts.find(hashOf(part));
    if (found == counts->second.parts.end()) {
        return 0;
    }
    return std::max(0.0, current(found->second, now) - ChanceRequests) / current(counts->second.all, now);
}

} // namespace cardamomlift::forwarding
