// How a SpendingLimiter reads and writes an account's item in the table, and finds out whether a write took effect.

#include "spending/spendinglimiter.h"

#include "spending/spendingrules.h"
#include "spendingaccount.h"
#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::spending {

namespace {

constexpr Duration RetryDelay = std::chrono::milliseconds(20);
constexpr std::size_t NonceBytes = 8;
constexpr std::int64_t DaysKept = 2;

} // namespace

void SpendingLimiter::fetchItem(const AccountPtr &account, std::function<void(const AllotmentItem &stored)> handler)
{
    account->isReading = true;
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    tools_.table->get(itemKey(account->key), [weak, account, handler = std::move(handler)](Result<std::optional<table::Item>> item) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        account->isReading = false;
        const auto stored = item && item.value() ? fromTableItem(*item.value()) : AllotmentItem();
        if (!item || !stored) {
            self->onTableDown(account);
            return;
        }
        handler(*stored);
    });
}

void SpendingLimiter::refreshItem(const AccountPtr &account)
{
    // NOTE fetchItem() calls its handler only while the limiter exists.
    fetchItem(account, [this, account](const AllotmentItem &stored) {
        account->item = stored;
        account->isKnown = true;
        account->isFresh = true;
        advance(account);
    });
}

void SpendingLimiter::startWrite(const AccountPtr &account, Micros amount)
{
    AllotmentWrite pending;
    pending.amount = amount;
    pending.after = account->item;
    pending.after.version++;
    pending.after.allotted += amount;
    pending.after.bound = account->currentBound();
    pending.after.boundVersion = std::max(account->boundVersion, account->item.boundVersion);
    const bool mayHold = amount > 0 || account->reserved > 0;
    setHolder(pending.after, tools_.instance, {text::randomHex(NonceBytes), mayHold});
    // What is being returned must not be spent while the write may still take effect.
    account->held += std::min<Micros>(amount, 0);
    account->pendingWrite = std::move(pending);
    sendWrite(account);
}

void SpendingLimiter::sendWrite(const AccountPtr &account)
{
    const AllotmentItem &after = account->pendingWrite->after;
    table::Write write;
    write.item = toTableItem(account->key, after);
    write.condition = {table::ConditionKind::AttributeEquals, "version", std::to_string(after.version - 1)};
    if (after.version == 1) {
        write.condition = {table::ConditionKind::ItemAbsent, {}, {}};
    }
    count("spending_writes_total");
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    tools_.table->write(std::move(write), [weak, account](const table::WriteResult &result) {
        if (const auto self = weak.lock()) {
            self->onWritten(account, result.outcome);
        }
    });
}

void SpendingLimiter::onWritten(const AccountPtr &account, table::WriteOutcome outcome)
{
    AllotmentWrite &pending = *account->pendingWrite;
    if (outcome == table::WriteOutcome::Written) {
        account->item = pending.after;
        if (pending.after.version == 1) {
            deleteOldItem(account->key);
        }
        finishWrite(account, true);
        return;
    }
    if (outcome == table::WriteOutcome::Unknown || (pending.inDoubt && outcome == table::WriteOutcome::ConditionFailed)) {
        pending.inDoubt = true;
        resolveWrite(account);
        return;
    }
    if (outcome == table::WriteOutcome::ConditionFailed) {
        account->isKnown = false;
        finishWrite(account, false);
        return;
    }
    if (!pending.inDoubt) {
        account->held -= std::min<Micros>(pending.amount, 0);
        account->pendingWrite.reset();
    }
    onTableDown(account);
}

void SpendingLimiter::resolveWrite(const AccountPtr &account)
{
    fetchItem(account, [this, account](const AllotmentItem &stored) { decideWriteOutcome(account, stored); });
}

// Determines whether a write whose answer was lost took effect. Only a stored item newer than the one the write was
// based on proves that it did not and never will.
void SpendingLimiter::decideWriteOutcome(const AccountPtr &account, const AllotmentItem &stored)
{
    AllotmentWrite &pending = *account->pendingWrite;
    if (stored.version == pending.after.version - 1) {
        tools_.loop->after(RetryDelay, [weak = weak_from_this(), account] {
            if (const auto limiter = weak.lock()) {
                limiter->sendWrite(account);
            }
        });
        return;
    }
    account->item = stored;
    const std::string &nonce = pending.after.holders[tools_.instance].nonce;
    const auto own = stored.holders.find(tools_.instance);
    // If this VM's entry was removed, it assumes the worse outcome: money was not taken, but was returned.
    const bool tookEffect = own == stored.holders.end() ? pending.amount < 0 : own->second.nonce == nonce;
    finishWrite(account, tookEffect);
}

void SpendingLimiter::finishWrite(const AccountPtr &account, bool tookEffect)
{
    const Micros amount = account->pendingWrite->amount;
    if (tookEffect && account->pendingWrite->after.boundVersion >= account->boundVersion) {
        account->mustPublishBound = false;
    }
    account->shouldReturn = account->shouldReturn && !(tookEffect && amount <= 0);
    account->pendingWrite.reset();
    if (tookEffect) {
        account->held += std::max<Micros>(amount, 0);
        account->exhaustedUntil = TimePoint();
    } else {
        account->held -= std::min<Micros>(amount, 0);
    }
    advance(account);
}

void SpendingLimiter::onTableDown(const AccountPtr &account)
{
    account->tableDownUntil = tools_.loop->now() + TableBackoff;
    account->isKnown = false;
    account->shouldReturn = false;
    for (const auto &reply : std::exchange(account->releaseReplies, {})) {
        reply(std::string());
    }
    failWaiting(account, ReserveOutcome::TableDown, TableBackoff);
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    tools_.loop->after(TableBackoff, [weak, account] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (account->pendingWrite && account->pendingWrite->inDoubt && !account->isReading) {
            self->resolveWrite(account);
            return;
        }
        account->shouldReturn = self->draining_;
        self->advance(account);
    });
}

void SpendingLimiter::deleteOldItem(const AccountKey &today)
{
    table::Write write;
    write.kind = table::WriteKind::Delete;
    write.item.key = itemKey({today.customer, today.day - DaysKept});
    tools_.table->write(std::move(write), [](const table::WriteResult &) {});
}

} // namespace cardamomlift::spending
