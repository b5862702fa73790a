#include "spending/spendinglimiter.h"

#include "kernel/log.h"
#include "spending/spendingrules.h"
#include "spendingaccount.h"

#include <algorithm>
#include <charconv>

namespace cardamomlift::spending {

namespace {

constexpr Duration TidyPeriod = std::chrono::seconds(5);
constexpr Duration IdleAfter = std::chrono::minutes(2);
constexpr Duration LongestWait = std::chrono::seconds(1);
constexpr Duration ExhaustedFor = std::chrono::seconds(1);
constexpr Duration AheadPeriod = std::chrono::seconds(1);
constexpr Duration ReleaseTimeout = std::chrono::milliseconds(300);
constexpr std::int64_t LowWaterSeconds = 900; ///< How long an outage of the table is survived at least.
constexpr std::size_t AskedAtOnce = 8;
constexpr std::size_t AskedPerSecond = 16;
constexpr char ReleaseTopic[] = "spending.release";
constexpr char DaySeparator = '#';

std::string writeAccountKey(const AccountKey &key)
{
    return key.customer + DaySeparator + std::to_string(key.day);
}

AccountKey readAccountKey(const std::string &text)
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
    std::shared_ptr<SpendingLimiter> keeper(new SpendingLimiter);
    keeper->tools_ = std::move(tools);
    const std::weak_ptr<SpendingLimiter> weak = keeper;
    keeper->tools_.contracts->onChange([weak](const contract::ContractInForce &contract) {
        if (const auto self = weak.lock()) {
            self->onContract(contract);
        }
    });
    if (keeper->tools_.peers) {
        keeper->tools_.peers->handle(ReleaseTopic, [weak](const std::string &, const std::string &payload, peers::Reply reply) {
            const auto self = weak.lock();
            if (!self) {
                reply(std::string());
                return;
            }
            self->onReleaseAsked(payload, std::move(reply));
        });
    }
    keeper->tidyTimer_ = keeper->tools_.loop->every(TidyPeriod, [raw = keeper.get()] { raw->tidy(); });
    return keeper;
}

SpendingLimiter::~SpendingLimiter()
{
    tools_.loop->cancel(tidyTimer_);
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

SpendingLimiter::AccountPtr SpendingLimiter::accountOf(const AccountKey &key, const contract::ContractInForce &contract)
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
        account->needsStamp = account->needsStamp || bound < account->bound;
        account->bound = bound;
        account->boundVersion = contract.version.version;
        account->exhaustedUntil = TimePoint();
        next(account);
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
    const AccountPtr account = accountOf(key, contract);
    const TimePoint now = tools_.loop->now();
    if (account->mayUseHeld() && account->held >= micros) {
        account->held -= micros;
        account->reserved += micros;
        handler({ReserveOutcome::Reserved, {key, micros}, Duration(0)});
        next(account);
        return;
    }
    const bool isExhausted = now < account->exhaustedUntil && micros >= account->exhaustedFrom;
    if (micros > account->boundNow() || isExhausted) {
        handler({ReserveOutcome::BoundReached, {}, account->reserved > 0 ? ExhaustedFor : untilNextDay(wallNow)});
        return;
    }
    if (now < account->downUntil) {
        handler({ReserveOutcome::TableDown, {}, TableBackoff});
        return;
    }
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    const TimerId timer = tools_.loop->after(LongestWait, [weak, account] {
        if (const auto self = weak.lock()) {
            self->failWaiting(account, ReserveOutcome::TableDown, TableBackoff);
        }
    });
    account->isFresh = false;
    account->waiting.push_back({micros, std::move(handler), timer});
    next(account);
}

void SpendingLimiter::settle(const Reservation &reservation, Micros spent)
{
    const auto found = accounts_.find(reservation.account);
    if (found == accounts_.end() || reservation.micros == 0) {
        return;
    }
    const AccountPtr account = found->second;
    if (spent > reservation.micros) {
        partLogger("spending")->warn("A request used more than its worst case. customer={}", reservation.account.customer);
    }
    account->reserved -= reservation.micros;
    account->spent += spent;
    account->spentInPeriod += spent;
    account->held += reservation.micros - spent;
    account->giveBack = account->giveBack || draining_;
    next(account);
}

// Decides what this account needs next. Called after everything that happens to it.
void SpendingLimiter::next(const AccountPtr &account)
{
    if (account->step || account->isReading || account->asksOpen > 0) {
        return;
    }
    serveWaiting(account);
    if (tools_.loop->now() < account->downUntil) {
        return;
    }
    if (returnsNow(account)) {
        if (account->isKnown) {
            startStep(account, -account->held);
        } else {
            readItem(account);
        }
        return;
    }
    account->giveBack = false;
    for (const auto &reply : std::exchange(account->releaseReplies, {})) {
        reply(std::string());
    }
    if (!account->waiting.empty()) {
        take(account);
    } else {
        takeAhead(account);
    }
}

bool SpendingLimiter::returnsNow(const AccountPtr &account) const
{
    if (!isToday(account->key)) {
        return false;
    }
    if (account->needsStamp) {
        account->needsStamp = account->held > 0 || account->reserved > 0;
        return account->needsStamp;
    }
    return account->held > 0 && (account->giveBack || !account->mayUseHeld());
}

void SpendingLimiter::take(const AccountPtr &account)
{
    if (!account->isKnown) {
        readItem(account);
        return;
    }
    ChunkQuestion question = account->question(account->wholeNeed());
    Micros amount = chunkToTake(question);
    if (amount == 0) {
        question.need = account->smallestNeed();
        amount = chunkToTake(question);
    }
    if (amount > 0) {
        startStep(account, amount);
        return;
    }
    if (!account->isFresh) {
        readItem(account);
        return;
    }
    if (askHolders(account)) {
        return;
    }
    account->exhaustedUntil = tools_.loop->now() + ExhaustedFor;
    account->exhaustedFrom = account->held + account->smallestNeed();
    const bool mayFree = account->reserved > 0;
    failWaiting(account, ReserveOutcome::BoundReached, mayFree ? ExhaustedFor : untilNextDay(tools_.loop->clock().wallNow()));
}

void SpendingLimiter::takeAhead(const AccountPtr &account)
{
    const TimePoint now = tools_.loop->now();
    const bool isLow = account->held < account->perSecond * LowWaterSeconds;
    const bool isIdle = now - account->lastUse >= IdleAfter;
    if (!isLow || isIdle || !account->isKnown || draining_ || now < account->aheadAfter || !isToday(account->key)) {
        return;
    }
    account->aheadAfter = now + AheadPeriod;
    const Micros amount = chunkToTake(account->question(0));
    if (amount > 0) {
        startStep(account, amount);
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
        // NOTE The handler may come back in here, so nothing of the list is kept over the call.
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

// Asks some VMs that may hold unused money to give it back to the table. Says whether it asked any.
bool SpendingLimiter::askHolders(const AccountPtr &account)
{
    if (!tools_.peers || !tools_.members) {
        return false;
    }
    const TimePoint now = tools_.loop->now();
    if (now - account->askedSince >= ExhaustedFor) {
        account->asked.clear();
        account->askedSince = now;
    }
    std::vector<membership::Vm> targets;
    for (const auto &[instance, holder] : account->item.holders) {
        const membership::Vm *vm = tools_.members->find(instance);
        const bool isNew = instance != tools_.instance && !account->asked.contains(instance);
        if (!holder.mayHold || !isNew || !vm || targets.size() >= AskedAtOnce || account->asked.size() >= AskedPerSecond) {
            continue;
        }
        account->asked.insert(instance);
        targets.push_back(*vm);
    }
    account->asksOpen = targets.size();
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    for (const membership::Vm &vm : targets) {
        count("spending_release_asks_total");
        tools_.peers->send(
            membership::peerAddress(vm), ReleaseTopic, writeAccountKey(account->key), ReleaseTimeout, [weak, account](const Result<std::string> &) {
                const auto self = weak.lock();
                account->asksOpen--;
                if (self && account->asksOpen == 0) {
                    account->isKnown = false;
                    self->next(account);
                }
            });
    }
    return !targets.empty();
}

void SpendingLimiter::onReleaseAsked(const std::string &payload, peers::Reply reply)
{
    const auto found = accounts_.find(readAccountKey(payload));
    if (found == accounts_.end() || found->second->held <= 0 || !found->second->waiting.empty()) {
        reply(std::string());
        return;
    }
    const AccountPtr account = found->second;
    account->giveBack = true;
    account->releaseReplies.push_back(std::move(reply));
    next(account);
}

void SpendingLimiter::drain()
{
    draining_ = true;
    for (const auto &[key, account] : accounts_) {
        account->giveBack = true;
        next(account);
    }
}

std::size_t SpendingLimiter::openReturns() const
{
    const TimePoint now = tools_.loop->now();
    return static_cast<std::size_t>(std::count_if(accounts_.begin(), accounts_.end(), [now](const auto &entry) {
        const Account &account = *entry.second;
        return account.step && account.step->amount < 0 && now >= account.downUntil;
    }));
}

AccountView SpendingLimiter::view(const AccountKey &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? AccountView() : AccountView{found->second->held, found->second->reserved, found->second->spent};
}

void SpendingLimiter::tidy()
{
    const TimePoint now = tools_.loop->now();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(TidyPeriod).count();
    std::erase_if(accounts_,
        [this](const auto &entry) { return !isToday(entry.first) && !entry.second->step && entry.second->reserved == 0 && entry.second->waiting.empty(); });
    for (const auto &[key, account] : accounts_) {
        account->perSecond = (account->perSecond + std::exchange(account->spentInPeriod, 0) / seconds) / 2;
        if (now - account->lastUse >= IdleAfter && account->held > 0) {
            account->giveBack = true;
        }
        next(account);
    }
}

} // namespace cardamomlift::spending
