#include "spending/spendinglimiter.h"

#include "kernel/log.h"
#include "spending/spendingrules.h"
#include "spendingaccount.h"

#include <algorithm>
#include <charconv>

namespace cardamomlift::spending {

namespace {

constexpr Duration MaintenancePeriod = std::chrono::seconds(5);
constexpr Duration IdleAfter = std::chrono::minutes(2);
constexpr Duration MaxWait = std::chrono::seconds(1);
constexpr Duration ExhaustedPeriod = std::chrono::seconds(1);
constexpr Duration TakeAheadPeriod = std::chrono::seconds(1);
constexpr Duration ReleaseTimeout = std::chrono::milliseconds(300);
constexpr std::int64_t LowWaterSeconds = 900; ///< How long an outage of the table is bridged at least.
constexpr std::size_t MaxConcurrentAsks = 8;
constexpr std::size_t MaxAsksPerSecond = 16;
constexpr char ReleaseTopic[] = "spending.release";
constexpr char DaySeparator = '#';

std::string formatAccountKey(const AccountKey &key)
{
    return key.customer + DaySeparator + std::to_string(key.day);
}

AccountKey parseAccountKey(const std::string &text)
{
    const auto separator = text.rfind(DaySeparator);
    AccountKey key;
    if (separator != std::string::npos) {
        key.customer = text.substr(0, separator);
        std::from_chars(text.data() + separator + 1, text.data() + text.size(), key.day);
    }
    return key;
}

} // namespace

std::shared_ptr<SpendingLimiter> SpendingLimiter::create(SpendingTools tools)
{
    std::shared_ptr<SpendingLimiter> limiter(new SpendingLimiter);
    limiter->tools_ = std::move(tools);
    const std::weak_ptr<SpendingLimiter> weak = limiter;
    limiter->tools_.contracts->onChange([weak](const contract::ContractInForce &contract) {
        if (const auto self = weak.lock()) {
            self->onContract(contract);
        }
    });
    if (limiter->tools_.peers) {
        limiter->tools_.peers->handle(ReleaseTopic, [weak](const std::string &, const std::string &payload, peers::Reply reply) {
            const auto self = weak.lock();
            if (!self) {
                reply(std::string());
                return;
            }
            self->onReleaseRequest(payload, std::move(reply));
        });
    }
    limiter->maintenanceTimer_ = limiter->tools_.loop->every(MaintenancePeriod, [raw = limiter.get()] { raw->runMaintenance(); });
    return limiter;
}

SpendingLimiter::~SpendingLimiter()
{
    tools_.loop->cancel(maintenanceTimer_);
}

void SpendingLimiter::count(std::string_view name)
{
    if (tools_.metrics) {
        tools_.metrics->add(name);
    }
}

bool SpendingLimiter::isToday(const AccountKey &key) const
{
    return key.day == dayOf(tools_.loop->clock().wallNow());
}

SpendingLimiter::AccountPtr SpendingLimiter::findOrAddAccount(const AccountKey &key, const contract::ContractInForce &contract)
{
    AccountPtr &account = accounts_[key];
    if (!account) {
        account = std::make_shared<Account>();
        account->key = key;
    }
    if (contract.version.version >= account->boundVersion) {
        account->bound = boundOf(contract.contract.spending);
        account->boundVersion = contract.version.version;
    }
    account->lastUse = tools_.loop->now();
    return account;
}

void SpendingLimiter::onContract(const contract::ContractInForce &contract)
{
    for (const auto &[key, account] : accounts_) {
        if (key.customer != contract.contract.customer || contract.version.version <= account->boundVersion) {
            continue;
        }
        const Micros bound = boundOf(contract.contract.spending);
        account->mustPublishBound = account->mustPublishBound || bound < account->bound;
        account->bound = bound;
        account->boundVersion = contract.version.version;
        account->exhaustedUntil = TimePoint();
        advance(account);
    }
}

void SpendingLimiter::reserve(const contract::ContractInForce &contract, Micros micros, ReserveHandler handler)
{
    const WallTime wallNow = tools_.loop->clock().wallNow();
    const AccountKey key{contract.contract.customer, dayOf(wallNow)};
    if (micros <= 0) {
        handler({ReserveOutcome::Reserved, {key, 0}, Duration(0)});
        return;
    }
    const AccountPtr account = findOrAddAccount(key, contract);
    const TimePoint now = tools_.loop->now();
    if (account->mayUseHeld() && account->held >= micros) {
        account->held -= micros;
        account->reserved += micros;
        handler({ReserveOutcome::Reserved, {key, micros}, Duration(0)});
        advance(account);
        return;
    }
    const bool isExhausted = now < account->exhaustedUntil && micros >= account->exhaustedFrom;
    if (micros > account->currentBound() || isExhausted) {
        handler({ReserveOutcome::BoundReached, {}, account->reserved > 0 ? ExhaustedPeriod : untilNextDay(wallNow)});
        return;
    }
    if (now < account->tableDownUntil) {
        handler({ReserveOutcome::TableDown, {}, TableBackoff});
        return;
    }
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    const TimerId timer = tools_.loop->after(MaxWait, [weak, account] {
        if (const auto self = weak.lock()) {
            self->failWaiting(account, ReserveOutcome::TableDown, TableBackoff);
        }
    });
    account->isFresh = false;
    account->waiting.push_back({micros, std::move(handler), timer});
    advance(account);
}

void SpendingLimiter::settle(const Reservation &reservation, Micros spent)
{
    const auto found = accounts_.find(reservation.account);
    if (found == accounts_.end() || reservation.micros == 0) {
        return;
    }
    const AccountPtr account = found->second;
    if (spent > reservation.micros) {
        partLogger("spending")->warn("A request cost more than was reserved for it. customer={}", reservation.account.customer);
    }
    account->reserved -= reservation.micros;
    account->spent += spent;
    account->spentInPeriod += spent;
    account->held += reservation.micros - spent;
    account->shouldReturn = account->shouldReturn || draining_;
    advance(account);
}

// Starts the next operation that the account needs, if any. Called after every event that concerns the account.
void SpendingLimiter::advance(const AccountPtr &account)
{
    if (account->pendingWrite || account->isReading || account->pendingAsks > 0) {
        return;
    }
    serveWaiting(account);
    if (tools_.loop->now() < account->tableDownUntil) {
        return;
    }
    if (mustReturn(account)) {
        if (account->isKnown) {
            startWrite(account, -account->held);
        } else {
            refreshItem(account);
        }
        return;
    }
    account->shouldReturn = false;
    for (const auto &reply : std::exchange(account->releaseReplies, {})) {
        reply(std::string());
    }
    if (!account->waiting.empty()) {
        take(account);
    } else {
        takeAhead(account);
    }
}

bool SpendingLimiter::mustReturn(const AccountPtr &account) const
{
    if (!isToday(account->key)) {
        return false;
    }
    if (account->mustPublishBound) {
        account->mustPublishBound = account->held > 0 || account->reserved > 0;
        return account->mustPublishBound;
    }
    return account->held > 0 && (account->shouldReturn || !account->mayUseHeld());
}

void SpendingLimiter::take(const AccountPtr &account)
{
    if (!account->isKnown) {
        refreshItem(account);
        return;
    }
    ChunkInputs inputs = account->chunkInputs(account->totalNeed());
    Micros amount = chunkSize(inputs);
    if (amount == 0) {
        inputs.need = account->smallestNeed();
        amount = chunkSize(inputs);
    }
    if (amount > 0) {
        startWrite(account, amount);
        return;
    }
    if (!account->isFresh) {
        refreshItem(account);
        return;
    }
    if (askHolders(account)) {
        return;
    }
    account->exhaustedUntil = tools_.loop->now() + ExhaustedPeriod;
    account->exhaustedFrom = account->held + account->smallestNeed();
    const bool mayBecomeFree = account->reserved > 0;
    failWaiting(account, ReserveOutcome::BoundReached, mayBecomeFree ? ExhaustedPeriod : untilNextDay(tools_.loop->clock().wallNow()));
}

void SpendingLimiter::takeAhead(const AccountPtr &account)
{
    const TimePoint now = tools_.loop->now();
    const bool isLow = account->held < account->perSecond * LowWaterSeconds;
    const bool isIdle = now - account->lastUse >= IdleAfter;
    if (!isLow || isIdle || !account->isKnown || draining_ || now < account->nextTakeAhead || !isToday(account->key)) {
        return;
    }
    account->nextTakeAhead = now + TakeAheadPeriod;
    const Micros amount = chunkSize(account->chunkInputs(0));
    if (amount > 0) {
        startWrite(account, amount);
    }
}

void SpendingLimiter::serveWaiting(const AccountPtr &account)
{
    if (!account->mayUseHeld()) {
        return;
    }
    for (auto entry = account->waiting.begin(); entry != account->waiting.end();) {
        if (entry->micros > account->held) {
            ++entry;
            continue;
        }
        account->held -= entry->micros;
        account->reserved += entry->micros;
        tools_.loop->cancel(entry->timer);
        const ReserveResult result{ReserveOutcome::Reserved, {account->key, entry->micros}, Duration(0)};
        const ReserveHandler handler = std::move(entry->handler);
        account->waiting.erase(entry);
        // NOTE The handler may reenter this function, so no iterator is kept across the call.
        handler(result);
        entry = account->waiting.begin();
    }
}

void SpendingLimiter::failWaiting(const AccountPtr &account, ReserveOutcome outcome, Duration retryAfter)
{
    for (auto &entry : std::exchange(account->waiting, {})) {
        tools_.loop->cancel(entry.timer);
        entry.handler({outcome, {}, retryAfter});
    }
}

// Asks some VMs that may hold unused money to return it to the table. Returns whether any was asked.
bool SpendingLimiter::askHolders(const AccountPtr &account)
{
    if (!tools_.peers || !tools_.members) {
        return false;
    }
    const TimePoint now = tools_.loop->now();
    if (now - account->askPeriodStart >= ExhaustedPeriod) {
        account->askedHolders.clear();
        account->askPeriodStart = now;
    }
    std::vector<membership::Vm> targets;
    for (const auto &[instance, holder] : account->item.holders) {
        const membership::Vm *vm = tools_.members->find(instance);
        const bool isNew = instance != tools_.instance && !account->askedHolders.contains(instance);
        if (!holder.mayHold || !isNew || !vm || targets.size() >= MaxConcurrentAsks || account->askedHolders.size() >= MaxAsksPerSecond) {
            continue;
        }
        account->askedHolders.insert(instance);
        targets.push_back(*vm);
    }
    account->pendingAsks = targets.size();
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    for (const membership::Vm &vm : targets) {
        count("spending_release_asks_total");
        tools_.peers->send(
            membership::peerAddress(vm), ReleaseTopic, formatAccountKey(account->key), ReleaseTimeout, [weak, account](const Result<std::string> &) {
                const auto self = weak.lock();
                account->pendingAsks--;
                if (self && account->pendingAsks == 0) {
                    account->isKnown = false;
                    self->advance(account);
                }
            });
    }
    return !targets.empty();
}

void SpendingLimiter::onReleaseRequest(const std::string &payload, peers::Reply reply)
{
    const auto found = accounts_.find(parseAccountKey(payload));
    if (found == accounts_.end() || found->second->held <= 0 || !found->second->waiting.empty()) {
        reply(std::string());
        return;
    }
    const AccountPtr account = found->second;
    account->shouldReturn = true;
    account->releaseReplies.push_back(std::move(reply));
    advance(account);
}

void SpendingLimiter::drain()
{
    draining_ = true;
    for (const auto &[key, account] : accounts_) {
        account->shouldReturn = true;
        advance(account);
    }
}

std::size_t SpendingLimiter::pendingReturns() const
{
    const TimePoint now = tools_.loop->now();
    return static_cast<std::size_t>(std::count_if(accounts_.begin(), accounts_.end(), [now](const auto &entry) {
        const Account &account = *entry.second;
        return account.pendingWrite && account.pendingWrite->amount < 0 && now >= account.tableDownUntil;
    }));
}

AccountView SpendingLimiter::view(const AccountKey &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? AccountView() : AccountView{found->second->held, found->second->reserved, found->second->spent};
}

void SpendingLimiter::runMaintenance()
{
    const TimePoint now = tools_.loop->now();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(MaintenancePeriod).count();
    std::erase_if(accounts_, [this](const auto &entry) {
        return !isToday(entry.first) && !entry.second->pendingWrite && entry.second->reserved == 0 && entry.second->waiting.empty();
    });
    for (const auto &[key, account] : accounts_) {
        account->perSecond = (account->perSecond + std::exchange(account->spentInPeriod, 0) / seconds) / 2;
        if (now - account->lastUse >= IdleAfter && account->held > 0) {
            account->shouldReturn = true;
        }
        advance(account);
    }
}

} // namespace cardamomlift::spending
