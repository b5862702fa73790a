#pragma once

#include "forwarding/customerhooks.h"
#include "presence/clusterclock.h"
#include "presence/presence.h"

#include <map>
#include <memory>
#include <string>

namespace cardamomlift::usage {

/// Number of requests by presence::nameHash() of the customer.
using CustomerCounts = std::map<std::uint64_t, std::uint64_t>;

/// Counts the started requests of each customer in windows of cluster time. Each VM sends its counts for the latest windows to
/// the others in its status, so that every VM knows the totals.
class UsageCounter : public forwarding::UsageMeter, public std::enable_shared_from_this<UsageCounter>
{
public:
    static std::shared_ptr<UsageCounter> create(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> clock, Duration window);
    void noteStarted(const std::string &customer) override;

    /// The current window of cluster time; empty while the cluster time is unknown.
    std::optional<std::int64_t> currentWindow() const;
    /// End of @p window.
    WallTime windowEnd(std::int64_t window) const;
    /// The totals of all VMs, as far as their counts have been received.
    CustomerCounts total(std::int64_t window) const;

private:
    /// A process of another VM. A restart of the VM is another process, whose counts start at 0.
    struct PeerProcess {
        std::string instance;
        std::uint64_t incarnation = 0;
        // NOLINTNEXTLINE(modernize-use-nullptr): false positive on a defaulted comparison.
        auto operator<=>(const PeerProcess &) const = default;
    };
    UsageCounter(std::shared_ptr<presence::Presence> presence, std::shared_ptr<presence::ClusterClock> clock, Duration window);
    void addToStatus(presence::Status &status);
    void onStatus(const presence::Status &status);
    void dropExpiredWindows();
    std::shared_ptr<presence::Presence> presence_;
    std::shared_ptr<presence::ClusterClock> clock_;
    Duration window_;
    std::map<std::int64_t, CustomerCounts> localCounts_;
    std::map<std::int64_t, std::map<PeerProcess, CustomerCounts>> peerCounts_;
};

} // namespace cardamomlift::usage
