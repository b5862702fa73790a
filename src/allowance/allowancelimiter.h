#pragma once

#include "allowance/allowancetypes.h"
#include "forwarding/customerhooks.h"
#include "kernel/eventloop.h"
#include "presence/presence.h"

#include <memory>
#include <unordered_map>

namespace cardamomlift::allowance {

/// Keeps customers' allowances over all entry VMs, by what each VM tells the others.
class AllowanceLimiter : public forwarding::AllowanceGate, public std::enable_shared_from_this<AllowanceLimiter>
{
public:
    static std::shared_ptr<AllowanceLimiter> create(EventLoop &loop, std::shared_ptr<presence::Presence> presence);
    forwarding::AllowanceDecision take(const manifest::Customer &customer, std::int64_t amount) override;
    void refund(const manifest::Customer &customer, std::int64_t amount) override;

private:
    AllowanceLimiter(EventLoop &loop, std::shared_ptr<presence::Presence> presence);
    Account &account(const std::string &customer);
    Account &accountOf(std::uint64_t customer);
    void fill(presence::Status &status);
    void takeStatus(const presence::Status &status);
    void forgetPeers();
    EventLoop &loop_;
    std::shared_ptr<presence::Presence> presence_;
    TimePoint startedAt_;
    std::unordered_map<std::uint64_t, Account> accounts_; ///< By the hash of the customer's name.
};

} // namespace cardamomlift::allowance
