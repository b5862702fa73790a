#pragma once

#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::metrics {

/// Counters and distributions of one daemon, and their page in the text exposition format.
class Metrics
{
public:
    static std::shared_ptr<Metrics> create();
    virtual ~Metrics() = default;

    virtual void refused(RefusalReason reason) = 0;
    virtual void retried(RetryReason reason) = 0;
    virtual std::uint64_t refusals(RefusalReason reason) const = 0;
    virtual std::uint64_t retries(RetryReason reason) const = 0;
    /// Adds to counter @p name, as in "requests_accepted_total". A label may follow: "attempts_total{end=\"answered\"}".
    virtual void add(std::string_view name, std::uint64_t amount = 1) = 0;
    virtual std::uint64_t counter(std::string_view name) const = 0;
    /// Adds a sample to distribution @p name, in seconds (Boost.Accumulators: count, sum, p50, p95, p99).
    virtual void observe(std::string_view name, Duration sample, std::string_view labels = {}) = 0;
    /// A value read when the page is made.
    virtual void gauge(std::string name, std::function<double()> read) = 0;
    virtual std::string page() const = 0;
};

} // namespace cardamomlift::metrics
