#pragma once

#include "allowance/allowancetypes.h"
#include "forwarding/customerhooks.h"
#include "kernel/eventloop.h"
#include "presence/presence.h"

#include <memory>
#include <unordered_map>

namespace cardamomlift::allowance {

/// Enforces customers' allowances over all entry VMs, from the usage that the VMs report in their statuses.
class AllowanceLimiter : public forwarding::AllowanceGate, public std::enable_shared_from_this<AllowanceLimiter>
{
public:
    static std::shared_ptr<AllowanceLimiter> create(EventLoop &loop, std::shared_ptr<presence::Presence> presence);
    forwarding::AllowanceDecision take(const manifest::Customer &customer, std::int64_t amount) override;
    void refund(const manifest::Customer &customer, std::int64_t amount) override;

private:
    AllowanceLimiter(EventLoop &loop, std::shared_ptr<presence::Presence> presence);
    BucketEstimate &bucketByName(const std::string &customer);
    BucketEstimate &bucketByHash(std::uint64_t customer);
    void fillStatus(presence::Status &status);
    void applyStatus(const presence::Status &status);
    void resetPeers();
    EventLoop &loop_;
    std::shared_ptr<presence::Presence> presence_;
    TimePoint startedAt_;
    std::unordered_map<std::uint64_t, BucketEstimate> buckets_; ///< Keyed by the hash of the customer's name.
};

} // namespace cardamomlift::allowance
