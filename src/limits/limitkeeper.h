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

using TakeHandler = std::function<void(TakeResult result)>;

/// What a keeper works with.
struct LimitTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
};

/// Keeps requestsPerSecond, openRequests and tokensPerMinute of each customer over all entry VMs. For each customer one
/// entry VM, the grantor, hands out what it holds in its buckets; the others ask it a second ahead of need, so a request
/// rarely waits for it. A VM that can't reach the grantor uses its even share of the limit.
class LimitKeeper : public std::enable_shared_from_this<LimitKeeper>
{
public:
    static std::shared_ptr<LimitKeeper> create(LimitTools tools);
    ~LimitKeeper();

    /// Takes one request, one open slot and @p tokens. @p handler is called once, perhaps from inside this call.
    void take(const contract::ContractInForce &contract, std::int64_t tokens, TakeHandler handler);
    /// Ends a request that was let in; @p unusedTokens were taken and not used. Call once for each.
    void release(const std::string &customer, std::int64_t unusedTokens);

private:
    struct Share;
    using SharePtr = std::shared_ptr<Share>;
    LimitKeeper() = default;
    void onEntriesChanged();
    std::string_view grantor(const std::string &customer) const;
    SharePtr shareFor(const contract::ContractInForce &contract);
    static bool hasRoom(const Share &share, std::int64_t tokens);
    static void takeHeld(Share &share, std::int64_t tokens);
    void ask(const SharePtr &share);
    void sendAsk(const SharePtr &share, const std::string &grantor, const wire::GrantAsk &ask);
    void onReply(const SharePtr &share, const wire::GrantReply &reply);
    void onNoGrantor(const SharePtr &share, bool mayWait);
    void askSoon(const SharePtr &share, Duration delay);
    static TakeResult refusal(const Share &share);
    TakeResult fromOwnShare(Share &share, std::int64_t tokens);
    wire::GrantReply grant(const std::string &instance, const wire::GrantAsk &ask);
    void suspect(const std::string &instance);
    void probeSome(std::size_t count);
    void probeSuspects();
    void probe(const std::string &instance);
    void tick();
    LimitTools tools_;
    std::vector<std::string> entries_; ///< Live entry VMs that can be reached, this one among them.
    std::set<std::string> suspects_; ///< Entry VMs that did not answer a call.
    std::size_t listedEntries_ = 1; ///< Also those that leave: they may still serve.
    bool hasMajority_ = true;
    TimePoint entriesSince_;
    std::map<std::string, SharePtr> shares_; ///< By customer: what this VM holds.
    std::map<std::string, Pool> pools_; ///< By customer: what this VM grants.
    std::uint64_t sequence_ = 0; ///< Of the newest ask, over all customers.
    std::minstd_rand random_;
    TimePoint nextProbe_;
    TimerId tickTimer_ = 0;
};

} // namespace cardamomlift::limits
