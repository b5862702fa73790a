#include "clientbudget/clientbudget.h"

#include "clientbudget/evictionorder.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamomlift::clientbudget {

namespace {

/// When memory or descriptors are used up, this part of the limit, one divided by it, is freed beyond what is needed, as choosing what to close costs a look at
/// all connections.
constexpr std::size_t HeadroomDivisor = 32;

std::vector<ConnectionAccount *> select(std::span<ConnectionAccount *const> accounts, std::span<const std::size_t> indices)
{
    std::vector<ConnectionAccount *> selected;
    selected.reserve(indices.size());
    for (const std::size_t index : indices) {
        selected.push_back(accounts[index]);
    }
    return selected;
}

} // namespace

ConnectionAccount::ConnectionAccount(std::shared_ptr<ClientBudget> budget, EvictionHandler onEvicted)
    : budget_(std::move(budget))
    , onEvicted_(std::move(onEvicted))
{
}

ConnectionAccount::~ConnectionAccount()
{
    budget_->remove(*this);
}

void ConnectionAccount::setBytes(std::size_t bytes)
{
    if (isClosed_) {
        return;
    }
    const bool hasGrown = bytes > use_.bytes;
    budget_->bytes_ += bytes - use_.bytes;
    use_.bytes = bytes;
    if (hasGrown) {
        budget_->freeMemory(memoryLimitFor(budget_->limits_, bytes));
    }
}

void ConnectionAccount::setActivity(Activity activity)
{
    if (use_.activity != activity) {
        use_.activity = activity;
        use_.since = budget_->clock_.now();
    }
}

void ConnectionAccount::touch()
{
    use_.since = budget_->clock_.now();
}

bool ConnectionAccount::trySetDescriptors(std::size_t descriptors)
{
    if (isClosed_) {
        return false;
    }
    const std::size_t before = use_.descriptors;
    budget_->descriptors_ += descriptors - before;
    use_.descriptors = descriptors;
    if (descriptors <= before) {
        return true;
    }
    budget_->freeDescriptors(budget_->maxDescriptors());
    if (isClosed_) {
        return false;
    }
    if (budget_->descriptors_ <= budget_->maxDescriptors()) {
        return true;
    }
    budget_->descriptors_ -= descriptors - before;
    use_.descriptors = before;
    return false;
}

ClientBudget::ClientBudget(const Clock &clock, const ClientLimits &limits)
    : clock_(clock)
    , limits_(limits)
{
}

std::shared_ptr<ClientBudget> ClientBudget::create(const Clock &clock, const ClientLimits &limits)
{
    return std::shared_ptr<ClientBudget>(new ClientBudget(clock, limits));
}

std::unique_ptr<ConnectionAccount> ClientBudget::open(EvictionHandler onEvicted)
{
    const std::size_t limit = std::max<std::size_t>(1, maxDescriptors());
    freeDescriptors(limit - 1);
    if (descriptors_ >= limit) {
        return nullptr;
    }
    std::unique_ptr<ConnectionAccount> account(new ConnectionAccount(shared_from_this(), std::move(onEvicted)));
    account->use_.since = clock_.now();
    descriptors_ += account->use_.descriptors;
    accounts_.insert(account.get());
    return account;
}

void ClientBudget::setLimits(const ClientLimits &limits)
{
    limits_ = limits;
}

void ClientBudget::onEviction(EvictionHandler observer)
{
    observer_ = std::move(observer);
}

void ClientBudget::noteDescriptorsExhausted()
{
    constexpr std::size_t MarginDivisor = 10;
    constexpr Duration Memory = std::chrono::minutes(1);
    availableDescriptors_ = descriptors_ - descriptors_ / MarginDivisor;
    exhaustedUntil_ = clock_.now() + Memory;
    freeDescriptors(maxDescriptors());
}

std::size_t ClientBudget::maxDescriptors() const
{
    return clock_.now() < exhaustedUntil_ ? std::min(availableDescriptors_, limits_.descriptors) : limits_.descriptors;
}

std::size_t ClientBudget::heldBytes() const
{
    return bytes_;
}

std::size_t ClientBudget::heldDescriptors() const
{
    return descriptors_;
}

std::size_t ClientBudget::openConnections() const
{
    return accounts_.size();
}

std::uint64_t ClientBudget::evictions(Shortage shortage) const
{
    return shortage == Shortage::Memory ? memoryEvictions_ : descriptorEvictions_;
}

std::vector<ConnectionUse> ClientBudget::usesOf(std::span<ConnectionAccount *const> accounts)
{
    std::vector<ConnectionUse> uses;
    uses.reserve(accounts.size());
    for (const ConnectionAccount *account : accounts) {
        uses.push_back(account->use_);
    }
    return uses;
}

std::vector<ConnectionAccount *> ClientBudget::allAccounts() const
{
    return {accounts_.begin(), accounts_.end()};
}

void ClientBudget::freeMemory(std::size_t limit)
{
    if (bytes_ <= limit) {
        return;
    }
    const std::vector<ConnectionAccount *> accounts = allAccounts();
    const std::vector<ConnectionUse> uses = usesOf(accounts);
    evict(select(accounts, evictForMemory(uses, bytes_ - limit, limit / HeadroomDivisor, clock_.now())), Shortage::Memory);
}

void ClientBudget::freeDescriptors(std::size_t limit)
{
    if (descriptors_ <= limit) {
        return;
    }
    const std::vector<ConnectionAccount *> accounts = allAccounts();
    const std::vector<ConnectionUse> uses = usesOf(accounts);
    evict(select(accounts, evictForDescriptors(uses, descriptors_ - limit + limit / HeadroomDivisor)), Shortage::Descriptors);
}

// NOTE The callbacks run last, as they may destroy accounts.
void ClientBudget::evict(std::span<ConnectionAccount *const> accounts, Shortage shortage)
{
    const bool closes = shortage == Shortage::Descriptors;
    (closes ? descriptorEvictions_ : memoryEvictions_) += accounts.size();
    std::vector<std::pair<EvictionHandler, ConnectionUse>> callbacks;
    callbacks.reserve(accounts.size());
    for (ConnectionAccount *account : accounts) {
        callbacks.emplace_back(account->onEvicted_, account->use_);
        bytes_ -= std::exchange(account->use_.bytes, 0);
        if (closes) {
            remove(*account);
        }
    }
    for (const auto &[onEvicted, use] : callbacks) {
        if (observer_) {
            observer_(use, shortage);
        }
        onEvicted(use, shortage);
    }
}

void ClientBudget::remove(ConnectionAccount &account)
{
    if (std::exchange(account.isClosed_, true)) {
        return;
    }
    bytes_ -= account.use_.bytes;
    descriptors_ -= account.use_.descriptors;
    accounts_.erase(&account);
}

} // namespace cardamomlift::clientbudget
