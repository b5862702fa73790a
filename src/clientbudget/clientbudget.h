#pragma once

#include "clientbudget/clientbudgettypes.h"
#include "kernel/clock.h"

#include <functional>
#include <memory>
#include <span>
#include <unordered_set>
#include <vector>

namespace cardamomlift::clientbudget {

class ClientBudget;

/// Called when a connection has to give up what it holds; @p use is what it held. With Shortage::Memory it frees its memory at once or, if a request is being
/// served, soon; its bytes count as freed already. With Shortage::Descriptors it closes the connection, which is no longer counted.
using EvictionHandler = std::function<void(const ConnectionUse &use, Shortage shortage)>;

/// The account of one client connection. What it holds is given back when it is destroyed.
class ConnectionAccount
{
public:
    ~ConnectionAccount();
    ConnectionAccount(const ConnectionAccount &) = delete;
    ConnectionAccount &operator=(const ConnectionAccount &) = delete;

    /// Closes connections, possibly also this one, if the memory of all of them is used up.
    void setBytes(std::size_t bytes);
    /// As setBytes(), for a changed activity, which begins now.
    void setActivity(Activity activity);
    /// The activity began anew just now.
    void touch();
    /// False if there is no room for so many descriptors although other connections were closed; the account is unchanged then.
    bool trySetDescriptors(std::size_t descriptors);

private:
    friend class ClientBudget;
    ConnectionAccount(std::shared_ptr<ClientBudget> budget, EvictionHandler onEvicted);
    std::shared_ptr<ClientBudget> budget_;
    EvictionHandler onEvicted_;
    ConnectionUse use_;
    bool isClosed_ = false;
};

/// Accounts for the memory and the file descriptors that clients of this process hold, on all its ports together. When they are used up, connections are
/// closed in the order of evictionorder.h, so that clients that hold much and do not complete their requests make room for the others.
class ClientBudget : public std::enable_shared_from_this<ClientBudget>
{
public:
    /// @p clock must outlive the budget.
    static std::shared_ptr<ClientBudget> create(const Clock &clock, const ClientLimits &limits);

    /// Opens the account of a new connection. Null if there is no descriptor for it.
    std::unique_ptr<ConnectionAccount> open(EvictionHandler onEvicted);
    void setLimits(const ClientLimits &limits);
    /// @p observer is told of each connection that is closed, or whose request is refused, in favour of others, before that is done.
    void onEviction(EvictionHandler observer);
    /// The process got no descriptor although the limit is not reached. For a minute the limit is a tenth less than what is held now.
    void noteDescriptorsExhausted();
    std::size_t heldBytes() const;
    std::size_t heldDescriptors() const;
    std::size_t openConnections() const;
    std::uint64_t evictions(Shortage shortage) const;

private:
    friend class ConnectionAccount;
    ClientBudget(const Clock &clock, const ClientLimits &limits);
    std::size_t maxDescriptors() const;
    void freeMemory(std::size_t limit);
    void freeDescriptors(std::size_t limit);
    std::vector<ConnectionAccount *> allAccounts() const;
    static std::vector<ConnectionUse> usesOf(std::span<ConnectionAccount *const> accounts);
    void evict(std::span<ConnectionAccount *const> accounts, Shortage shortage);
    void remove(ConnectionAccount &account);
    const Clock &clock_;
    ClientLimits limits_;
    EvictionHandler observer_;
    std::size_t availableDescriptors_ = 0; ///< The limit while the process has fewer descriptors than ClientLimits says.
    TimePoint exhaustedUntil_;
    std::size_t bytes_ = 0;
    std::size_t descriptors_ = 0;
    std::uint64_t memoryEvictions_ = 0;
    std::uint64_t descriptorEvictions_ = 0;
    std::unordered_set<ConnectionAccount *> accounts_;
};

} // namespace cardamomlift::clientbudget
