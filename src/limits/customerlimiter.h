#pragma once

#include "contract/contractset.h"
#include "kernel/eventloop.h"
#include "limits/limittypes.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace cardamomlift::limits {

namespace wire {
class GrantAsk;
class GrantReply;
} // namespace wire

using AcquireHandler = std::function<void(AcquireResult result)>;

/// What a CustomerLimiter depends on.
struct CustomerLimiterTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
};

/// Enforces requestsPerSecond, openRequests and tokensPerMinute of each customer across all entry VMs. For each customer one
/// entry VM, the grantor, holds the token buckets and grants quota from them to the others. These prefetch quota for the
/// next second, so that a request rarely waits for a grant. A VM that can't reach the grantor uses its even share of the
/// limits.
class CustomerLimiter : public std::enable_shared_from_this<CustomerLimiter>
{
public:
    static std::shared_ptr<CustomerLimiter> create(CustomerLimiterTools tools);
    ~CustomerLimiter();

    /// Acquires one request, one slot of openRequests and @p tokens. Calls @p handler once, possibly before this call returns.
    void acquire(const contract::ContractInForce &contract, std::int64_t tokens, AcquireHandler handler);
    /// Ends a request that acquired quota, and returns its @p unusedTokens. To be called once for each.
    void release(const std::string &customer, std::int64_t unusedTokens);

private:
    struct Share;
    using SharePtr = std::shared_ptr<Share>;
    CustomerLimiter() = default;
    void onEntriesChanged();
    std::string_view grantor(const std::string &customer) const;
    SharePtr shareFor(const contract::ContractInForce &contract);
    static bool canAcquire(const Share &share, std::int64_t tokens);
    static void consumeHeld(Share &share, std::int64_t tokens);
    void requestGrant(const SharePtr &share);
    void sendGrantRequest(const SharePtr &share, const std::string &grantor, const wire::GrantAsk &request);
    void onGrantReply(const SharePtr &share, const wire::GrantReply &reply);
    void onGrantorUnavailable(const SharePtr &share, bool keepWaiting);
    void scheduleGrantRequest(const SharePtr &share, Duration delay);
    static AcquireResult refusal(const Share &share);
    AcquireResult acquireFromOwnShare(Share &share, std::int64_t tokens);
    wire::GrantReply grant(const std::string &instance, const wire::GrantAsk &request);
    void markUnreachable(const std::string &instance);
    void probeRandom(std::size_t count);
    void probeUnreachable();
    void probe(const std::string &instance);
    void tick();
    CustomerLimiterTools tools_;
    std::vector<std::string> entries_; ///< Live, reachable entry VMs, including this one unless it is leaving.
    std::set<std::string> unreachable_; ///< Entry VMs that did not answer their last call.
    std::size_t listedEntryCount_ = 1; ///< Includes leaving entry VMs, which may still serve requests.
    bool hasMajority_ = true;
    TimePoint entriesChangedAt_;
    std::map<std::string, SharePtr> shares_; ///< By customer: the quota that this VM holds.
    std::map<std::string, GrantPool> pools_; ///< By customer: the quota that this VM grants.
    std::uint64_t sequence_ = 0; ///< Of the latest grant request, for any customer.
    std::minstd_rand random_;
    TimePoint nextProbeAt_;
    TimerId tickTimer_ = 0;
};

} // namespace cardamomlift::limits
