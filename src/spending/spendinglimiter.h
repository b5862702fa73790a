#pragma once

#include "contract/contractset.h"
#include "kernel/eventloop.h"
#include "membership/members.h"
#include "metrics/metrics.h"
#include "peers/peertransport.h"
#include "spending/spendingtypes.h"
#include "table/table.h"

#include <functional>
#include <map>
#include <memory>

namespace cardamomlift::spending {

/// The result of SpendingLimiter::reserve().
struct ReserveResult {
    ReserveOutcome outcome = ReserveOutcome::TableDown;
    Reservation reservation;
    Duration retryAfter{0};
};

using ReserveHandler = std::function<void(ReserveResult result)>;

/// The dependencies of a SpendingLimiter. @c peers and @c members may be null: then no VM is asked to return money.
struct SpendingTools {
    EventLoop *loop = nullptr;
    std::string instance;
    std::shared_ptr<table::Table> table;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// This VM's own part of one account, for the operators' page and tests.
struct AccountView {
    Micros held = 0; ///< Taken from the table, neither reserved nor spent.
    Micros reserved = 0;
    Micros spent = 0;
};

/// Enforces the daily spending bound of each customer across all entry VMs. A VM spends only what it has taken from the
/// table before, and the table allots no more than the bound. What a VM holds when it crashes, pauses or is cut off stays
/// allotted, so the total spending stays within the bound.
class SpendingLimiter : public std::enable_shared_from_this<SpendingLimiter>
{
public:
    static std::shared_ptr<SpendingLimiter> create(SpendingTools tools);
    ~SpendingLimiter();

    /// Reserves @p micros. @p handler is called once, from inside this call if enough is held.
    void reserve(const contract::ContractInForce &contract, Micros micros, ReserveHandler handler);
    /// Ends a reservation; what was not spent can be reserved again. To be called once for each reservation.
    void settle(const Reservation &reservation, Micros spent);
    /// Returns all money that is not reserved to the table, now and after each settle().
    void drain();
    /// Number of writes in progress that return money and must end before the process exits.
    std::size_t pendingReturns() const;
    AccountView view(const AccountKey &account) const;

private:
    struct Account;
    struct AllotmentWrite;
    using AccountPtr = std::shared_ptr<Account>;
    SpendingLimiter() = default;
    AccountPtr findOrAddAccount(const AccountKey &key, const contract::ContractInForce &contract);
    void onContract(const contract::ContractInForce &contract);
    void advance(const AccountPtr &account);
    void serveWaiting(const AccountPtr &account);
    void failWaiting(const AccountPtr &account, ReserveOutcome outcome, Duration retryAfter);
    void fetchItem(const AccountPtr &account, std::function<void(const AllotmentItem &stored)> handler);
    void refreshItem(const AccountPtr &account);
    bool mustReturn(const AccountPtr &account) const;
    void take(const AccountPtr &account);
    void takeAhead(const AccountPtr &account);
    void startWrite(const AccountPtr &account, Micros amount);
    void sendWrite(const AccountPtr &account);
    void onWritten(const AccountPtr &account, table::WriteOutcome outcome);
    void resolveWrite(const AccountPtr &account);
    void decideWriteOutcome(const AccountPtr &account, const AllotmentItem &stored);
    void finishWrite(const AccountPtr &account, bool tookEffect);
    void onTableDown(const AccountPtr &account);
    bool askHolders(const AccountPtr &account);
    void onReleaseRequest(const std::string &payload, peers::Reply reply);
    void deleteOldItem(const AccountKey &today);
    void runMaintenance();
    bool isToday(const AccountKey &key) const;
    void count(std::string_view name);
    SpendingTools tools_;
    std::map<AccountKey, AccountPtr> accounts_;
    TimerId maintenanceTimer_ = 0;
    bool draining_ = false;
};

} // namespace cardamomlift::spending
