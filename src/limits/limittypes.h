#pragma once

#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <cstdint>
#include <map>
#include <string>

namespace cardamomlift::limits {

/// A token bucket. Levels may be fractions: a small limit over many VMs is less than one a second each.
struct Bucket {
    double level = 0;
    TimePoint updatedAt;
};

/// How fast a bucket fills, and up to where.
struct BucketRate {
    double perSecond = 0;
    double capacity = 0;
};

/// What one entry VM holds of a customer's concurrency limit.
struct SlotHolder {
    std::int64_t held = 0;
    std::uint64_t sequence = 0; ///< Of its newest ask; an older one comes late and is ignored.
};

/// The grantor's books on one customer.
struct GrantPool {
    Bucket requests;
    Bucket tokens;
    std::map<std::string, SlotHolder> holders; ///< By instance.
};

/// What is taken for one request.
struct AcquireResult {
    bool acquired = false;
    metrics::RefusalReason reason = metrics::RefusalReason::TooManyRequests;
    Duration retryAfter{0}; ///< 0: a repeat does not help.
};

} // namespace cardamomlift::limits
