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

/// The answer to a reservation.
struct ReserveResult {
    ReserveOutcome outcome = ReserveOutcome::TableDown;
    Reservation reservation;
    Duration retryAfter{0};
};

using ReserveHandler = std::function<void(ReserveResult result)>;

/// What the keeper works with. @c peers and @c members may be null: then no VM is asked to give money back.
struct SpendingTools {
    EventLoop *loop = nullptr;
    std::string instance;
    std::shared_ptr<table::Table> table;
    std::shared_ptr<contract::ContractSet> contracts;
    std::shared_ptr<membership::Members> members;
    std::shared_ptr<peers::PeerTransport> peers;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// What this VM knows of its own part of one account, for the operators' page and tests.
struct AccountView {
    Micros held = 0; ///< Taken from the table, neither reserved nor spent.
    Micros reserved = 0;
    Micros spent = 0;
};

/// Keeps the spending bound of each customer over all entry VMs. A VM spends only what it took from the table before,
/// and the table gives out no more than the bound; so whoever dies, pauses or is cut off takes its part with it and the
/// sum stays within the bound.
class SpendingLimiter : public std::enable_shared_from_this<SpendingLimiter>
{
public:
    static std::shared_ptr<SpendingLimiter> create(SpendingTools tools);
    ~SpendingLimiter();

    /// Sets @p micros aside. @p handler is called once, from inside this call if enough is held.
    void reserve(const contract::ContractInForce &contract, Micros micros, ReserveHandler handler);
    /// Ends a reservation; what was not spent can be spent again. Call once for each.
    void settle(const Reservation &reservation, Micros spent);
    /// Gives all that is not reserved back to the table, now and after each settle().
    void drain();
    /// Writes under way that must end before the process may.
    std::size_t openReturns() const;
    AccountView view(const AccountKey &account) const;

private:
    struct Account;
    struct Step;
    using AccountPtr = std::shared_ptr<Account>;
    SpendingLimiter() = default;
    AccountPtr accountOf(const AccountKey &key, const contract::ContractInForce &contract);
    void onContract(const contract::ContractInForce &contract);
    void next(const AccountPtr &account);
    void serveWaiting(const AccountPtr &account);
    void failWaiting(const AccountPtr &account, ReserveOutcome outcome, Duration retryAfter);
    void readStored(const AccountPtr &account, std::function<void(const AllotmentItem &stored)> handler);
    void readItem(const AccountPtr &account);
    bool returnsNow(const AccountPtr &account) const;
    void take(const AccountPtr &account);
    void takeAhead(const AccountPtr &account);
    void startStep(const AccountPtr &account, Micros amount);
    void writeStep(const AccountPtr &account);
    void onWritten(const AccountPtr &account, table::WriteOutcome outcome);
    void resolve(const AccountPtr &account);
    void judgeStep(const AccountPtr &account, const AllotmentItem &stored);
    void endStep(const AccountPtr &account, bool tookEffect);
    void onTableDown(const AccountPtr &account);
    bool askHolders(const AccountPtr &account);
    void onReleaseAsked(const std::string &payload, peers::Reply reply);
    void forgetDayBefore(const AccountKey &today);
    void tidy();
    bool isToday(const AccountKey &key) const;
    void count(std::string_view name);
    SpendingTools tools_;
    std::map<AccountKey, AccountPtr> accounts_;
    TimerId tidyTimer_ = 0;
    bool draining_ = false;
};

} // namespace cardamomlift::spending
