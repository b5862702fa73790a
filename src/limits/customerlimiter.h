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

/// What a keeper works with.
struct CustomerLimiterTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
};

/// Keeps requestsPerSecond, openRequests and tokensPerMinute of each customer over all entry VMs. For each customer one
/// entry VM, the grantor, hands out what it holds in its buckets; the others ask it a second ahead of need, so a request
/// rarely waits for it. A VM that can't reach the grantor uses its even share of the limit.
class CustomerLimiter : public std::enable_shared_from_this<CustomerLimiter>
{
public:
    static std::shared_ptr<CustomerLimiter> create(CustomerLimiterTools tools);
    ~CustomerLimiter();

    /// Takes one request, one open slot and @p tokens. @p handler is called once, perhaps from inside this call.
    void acquire(const contract::ContractInForce &contract, std::int64_t tokens, AcquireHandler handler);
    /// Ends a request that was let in; @p unusedTokens were taken and not used. Call once for each.
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
    std::vector<std::string> entries_; ///< Live entry VMs that can be reached, this one among them.
    std::set<std::string> unreachable_; ///< Entry VMs that did not answer a call.
    std::size_t listedEntryCount_ = 1; ///< Also those that leave: they may still serve.
    bool hasMajority_ = true;
    TimePoint entriesChangedAt_;
    std::map<std::string, SharePtr> shares_; ///< By customer: what this VM holds.
    std::map<std::string, GrantPool> pools_; ///< By customer: what this VM grants.
    std::uint64_t sequence_ = 0; ///< Of the newest ask, over all customers.
    std::minstd_rand random_;
    TimePoint nextProbeAt_;
    TimerId tickTimer_ = 0;
};

} // namespace cardamomlift::limits
