#include "clientbudget/evictionorder.h"

#include <algorithm>
#include <numeric>

namespace cardamomlift::clientbudget {

namespace {

/// Up to this size a request counts as small. Callers' usual requests are smaller.
constexpr std::size_t SmallRequestBytes = 131072;
/// The share of the memory that is left to small requests is one divided by this.
constexpr std::size_t SmallRequestDivisor = 8;

/// Bytes times the time they have been held.
double burden(const ConnectionUse &use, TimePoint now)
{
    const std::chrono::duration<double> age = std::max(now - use.since, Duration(std::chrono::milliseconds(1)));
    return static_cast<double>(use.bytes) * age.count();
}

// A connection without a request holds little, however long it has been open.
int memoryRank(Activity activity)
{
    switch (activity) {
    case Activity::Receiving:
    case Activity::Sending:
        return 0;
    case Activity::Waiting:
        return 1;
    case Activity::Serving:
        return 2;
    }
    return 2;
}

int descriptorRank(Activity activity)
{
    switch (activity) {
    case Activity::Waiting:
        return 0;
    case Activity::Receiving:
        return 1;
    case Activity::Sending:
        return 2;
    case Activity::Serving:
        return 3;
    }
    return 3;
}

template<class Before>
std::vector<std::size_t> sortedIndices(std::span<const ConnectionUse> uses, Before isBefore)
{
    std::vector<std::size_t> order(uses.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return isBefore(uses[a], uses[b]); });
    return order;
}

} // namespace

std::vector<std::size_t> evictForMemory(std::span<const ConnectionUse> uses, std::size_t excess, std::size_t headroom, TimePoint now)
{
    const auto isBefore = [now](const ConnectionUse &a, const ConnectionUse &b) {
        const int rankA = memoryRank(a.activity);
        const int rankB = memoryRank(b.activity);
        return rankA != rankB ? rankA < rankB : burden(a, now) > burden(b, now);
    };
    std::vector<std::size_t> evicted;
    std::size_t freed = 0;
    for (const std::size_t index : sortedIndices(uses, isBefore)) {
        const bool isHolder = memoryRank(uses[index].activity) == 0;
        if (freed >= (isHolder ? excess + headroom : excess)) {
            break;
        }
        freed += uses[index].bytes;
        evicted.push_back(index);
    }
    return evicted;
}

std::vector<std::size_t> evictForDescriptors(std::span<const ConnectionUse> uses, std::size_t excess)
{
    const auto isBefore = [](const ConnectionUse &a, const ConnectionUse &b) {
        const int rankA = descriptorRank(a.activity);
        const int rankB = descriptorRank(b.activity);
        return rankA != rankB ? rankA < rankB : a.since < b.since;
    };
    std::vector<std::size_t> evicted;
    std::size_t freed = 0;
    for (const std::size_t index : sortedIndices(uses, isBefore)) {
        if (freed >= excess || uses[index].activity == Activity::Serving) {
            break;
        }
        freed += uses[index].descriptors;
        evicted.push_back(index);
    }
    return evicted;
}

std::size_t memoryLimitFor(const ClientLimits &limits, std::size_t bytes)
{
    return bytes <= SmallRequestBytes ? limits.bytes : limits.bytes - limits.bytes / SmallRequestDivisor;
}

} // namespace cardamomlift::clientbudget
