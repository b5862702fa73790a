// How a keeper reads and writes an account's item in the table, and finds out what became of a write.

#include "spending/spendinglimiter.h"

#include "spending/spendingrules.h"
#include "spendingaccount.h"
#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::spending {

namespace {

constexpr Duration RewriteAfter = std::chrono::milliseconds(20);
constexpr std::size_t NonceBytes = 8;
constexpr std::int64_t DaysKept = 2;

} // namespace

void SpendingLimiter::readStored(const AccountPtr &account, std::function<void(const AllotmentItem &stored)> handler)
{
    account->isReading = true;
    const std::weak_ptr<SpendingLimiter> weak = weak_from_this();
    tools_.table->get(keyOf(account->key), [weak, account, handler = std::move(handler)](Result<std::optional<table::Item>> item) {
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

void SpendingLimiter::readItem(const AccountPtr &account)
{
    // NOTE readStored() calls its handler only while the keeper lives.
    readStored(account, [this, account](const AllotmentItem &stored) {
        account->item = stored;
        account->isKnown = true;
        account->isFresh = true;
        next(account);
    });
}

void SpendingLimiter::startStep(const AccountPtr &account, Micros amount)
{
    Step step;
    step.amount = amount;
    step.after = account->item;
    step.after.version++;
    step.after.allotted += amount;
    step.after.bound = account->boundNow();
    step.after.boundVersion = std::max(account->boundVersion, account->item.boundVersion);
    const bool mayHold = amount > 0 || account->reserved > 0;
    setHolder(step.after, tools_.instance, {text::randomHex(NonceBytes), mayHold});
    // What is given back can't be spent from now on, however the write ends.
    account->held += std::min<Micros>(amount, 0);
    account->step = std::move(step);
    writeStep(account);
}

void SpendingLimiter::writeStep(const AccountPtr &account)
{
    const AllotmentItem &after = account->step->after;
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
    Step &step = *account->step;
    if (outcome == table::WriteOutcome::Written) {
        account->item = step.after;
        if (step.after.version == 1) {
            forgetDayBefore(account->key);
        }
        endStep(account, true);
        return;
    }
    if (outcome == table::WriteOutcome::Unknown || (step.inDoubt && outcome == table::WriteOutcome::ConditionFailed)) {
        step.inDoubt = true;
        resolve(account);
        return;
    }
    if (outcome == table::WriteOutcome::ConditionFailed) {
        account->isKnown = false;
        endStep(account, false);
        return;
    }
    if (!step.inDoubt) {
        account->held -= std::min<Micros>(step.amount, 0);
        account->step.reset();
    }
    onTableDown(account);
}

void SpendingLimiter::resolve(const AccountPtr &account)
{
    readStored(account, [this, account](const AllotmentItem &stored) { judgeStep(account, stored); });
}

// Finds out whether a write whose answer was lost took effect. Only an item that is newer than the one the write was
// based on proves that it did not and never will.
void SpendingLimiter::judgeStep(const AccountPtr &account, const AllotmentItem &stored)
{
    Step &step = *account->step;
    if (stored.version == step.after.version - 1) {
        tools_.loop->after(RewriteAfter, [weak = weak_from_this(), account] {
            if (const auto keeper = weak.lock()) {
                keeper->writeStep(account);
            }
        });
        return;
    }
    account->item = stored;
    const std::string &nonce = step.after.holders[tools_.instance].nonce;
    const auto own = stored.holders.find(tools_.instance);
    // A VM that finds itself forgotten assumes the worse: not taken, but given back.
    const bool tookEffect = own == stored.holders.end() ? step.amount < 0 : own->second.nonce == nonce;
    endStep(account, tookEffect);
}

void SpendingLimiter::endStep(const AccountPtr &account, bool tookEffect)
{
    const Micros amount = account->step->amount;
    if (tookEffect && account->step->after.boundVersion >= account->boundVersion) {
        account->needsStamp = false;
    }
    account->giveBack = account->giveBack && !(tookEffect && amount <= 0);
    account->step.reset();
    if (tookEffect) {
        account->held += std::max<Micros>(amount, 0);
        account->exhaustedUntil = TimePoint();
    } else {
        account->held -= std::min<Micros>(amount, 0);
    }
    next(account);
}

void SpendingLimiter::onTableDown(const AccountPtr &account)
{
    account->downUntil = tools_.loop->now() + TableBackoff;
    account->isKnown = false;
    account->giveBack = false;
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
        if (account->step && account->step->inDoubt && !account->isReading) {
            self->resolve(account);
            return;
        }
        account->giveBack = self->draining_;
        self->next(account);
    });
}

void SpendingLimiter::forgetDayBefore(const AccountKey &today)
{
    table::Write write;
    write.kind = table::WriteKind::Delete;
    write.item.key = keyOf({today.customer, today.day - DaysKept});
    tools_.table->write(std::move(write), [](const table::WriteResult &) {});
}

} // namespace cardamomlift::spending
