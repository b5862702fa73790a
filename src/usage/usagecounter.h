#pragma once

#include "forwarding/customerhooks.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::usage {

/// Requests by customer's hash.
using CustomerCounts = std::map<std::uint64_t, std::uint64_t>;

/// Counts the requests of each customer that began to run, by windows of true time. Each VM tells the others its newest
/// windows, so that any of them knows the sums.
class UsageCounter : public forwarding::UsageMeter, public std::enable_shared_from_this<UsageCounter>
{
public:
    static std::shared_ptr<UsageCounter> create(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> time, Duration window);
    void noteStarted(const std::string &customer) override;

    /// The window of true time now; empty while the time is not known.
    std::optional<std::int64_t> currentWindow() const;
    /// When a window has ended.
    WallTime windowEnd(std::int64_t window) const;
    /// The sums over all VMs, as far as they have told.
    CustomerCounts total(std::int64_t window) const;

private:
    /// One process of another VM.
    struct Source {
        std::string instance;
        std::uint64_t incarnation = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): a false finding on a defaulted comparison.
        auto operator<=>(const Source &) const = default;
    };
    UsageCounter(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> time, Duration window);
    void fill(presence::Status &status);
    void takeStatus(const presence::Status &status);
    void dropOld();
    std::shared_ptr<presence::Presence> presence_;
    std::shared_ptr<presence::ClusterClock> time_;
    Duration window_;
    std::map<std::int64_t, CustomerCounts> own_;
    std::map<std::int64_t, std::map<Source, CustomerCounts>> others_;
};

} // namespace cardamomlift::usage
