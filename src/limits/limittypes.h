#pragma once

#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::limits {

/// A token bucket. The level may be fractional: a small limit split between many VMs is less than one per second each.
struct Bucket {
    double level = 0;
    TimePoint updatedAt;
};

/// Refill rate and capacity of a Bucket.
struct BucketRate {
    double perSecond = 0;
    double capacity = 0;
};

/// The share of a customer's concurrency limit that one entry VM holds.
struct SlotHolder {
    std::int64_t held = 0;
    std::uint64_t sequence = 0; ///< Of its latest grant request. Requests that arrive out of order are ignored.
};

/// The quota of one customer that the grantor has left to grant, and the slots it has granted.
struct GrantPool {
    Bucket requests;
    Bucket tokens;
    std::map<std::string, SlotHolder> holders; ///< By instance.
};

/// Whether a request may run within its customer's limits, and if not, why.
struct AcquireResult {
    bool acquired = false;
    metrics::RefusalReason reason = metrics::RefusalReason::TooManyRequests;
    Duration retryAfter{0}; ///< 0: retrying does not help.
};

} // namespace cardamomlift::limits
