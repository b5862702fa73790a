#include "claims/claimregistry.h"

namespace cardamomlift::claims {

namespace {

constexpr std::size_t MostEntries = 20000;
constexpr std::size_t LargestBody = 256 * 1024; ///< A larger answer is kept without its body.
constexpr std::size_t MostBodyBytes = 32 * 1024 * 1024; ///< Of all answers that wait for the table.
constexpr Duration FirstBackoff = std::chrono::milliseconds(100);
constexpr Duration LongestBackoff = std::chrono::seconds(5);

HolderState stateOf(Outcome outcome)
{
    switch (outcome) {
    case Outcome::NotRun:
        return HolderState::NotRun;
    case Outcome::Answered:
        return HolderState::Answered;
    case Outcome::Unknown:
        return HolderState::Unknown;
    }
    return HolderState::Unknown;
}

} // namespace

std::shared_ptr<ClaimRegistry> ClaimRegistry::create(EventLoop &loop, std::shared_ptr<WriteBatcher> grouper, Holder holder)
{
    std::shared_ptr<ClaimRegistry> registry(new ClaimRegistry);
    registry->loop_ = &loop;
    registry->grouper_ = std::move(grouper);
    registry->holder_ = std::move(holder);
    return registry;
}

void ClaimRegistry::open(const std::string &nonce)
{
    entries_[nonce];
}

void ClaimRegistry::close(const std::string &nonce)
{
    const auto found = entries_.find(nonce);
    if (found == entries_.end()) {
        return;
    }
    tellWaiters(found->second, {HolderState::NotHeld, {}});
    entries_.erase(found);
}

void ClaimRegistry::settle(const Claim &claim, Outcome outcome, StoredResponse response)
{
    Entry &entry = entries_[claim.nonce];
    if (entry.ended) {
        return;
    }
    if (response.body.size() > LargestBody || bodyBytes_ + response.body.size() > MostBodyBytes) {
        response.body.clear();
        response.hasBody = false;
    }
    bodyBytes_ += response.body.size();
    unsettled_++;
    entry.claim = claim;
    entry.ended = true;
    entry.outcome = outcome;
    entry.response = std::move(response);
    entry.backoff = FirstBackoff;
    tellWaiters(entry, {stateOf(outcome), entry.response});
    write(claim.nonce);
}

void ClaimRegistry::tellWaiters(Entry &entry, const HolderAnswer &answer)
{
    const auto waiters = std::move(entry.waiters);
    entry.waiters.clear();
    for (const auto &waiter : waiters) {
        loop_->cancel(waiter->timer);
        loop_->post([waiter, answer] { waiter->reply(answer); });
    }
}

void ClaimRegistry::ask(const std::string &nonce, Duration wait, HolderReply reply)
{
    const auto found = entries_.find(nonce);
    if (found == entries_.end()) {
        loop_->post([reply = std::move(reply)] { reply({HolderState::NotHeld, {}}); });
        return;
    }
    Entry &entry = found->second;
    if (entry.ended) {
        loop_->post([reply = std::move(reply), answer = HolderAnswer{stateOf(entry.outcome), entry.response}] { reply(answer); });
        return;
    }
    auto waiter = std::make_shared<Waiter>();
    waiter->reply = std::move(reply);
    waiter->timer = loop_->after(wait, [this, nonce, waiter] {
        const auto entryNow = entries_.find(nonce);
        if (entryNow == entries_.end() || std::erase(entryNow->second.waiters, waiter) == 0) {
            return;
        }
        waiter->reply({HolderState::Running, {}});
    });
    entry.waiters.push_back(std::move(waiter));
}

void ClaimRegistry::write(const std::string &nonce)
{
    const Entry &entry = entries_.at(nonce);
    table::Write write;
    write.condition = {table::ConditionKind::AttributeEquals, "nonce", nonce};
    if (entry.outcome == Outcome::NotRun) {
        write.kind = table::WriteKind::Delete;
        write.item.key = rowKey(entry.claim.request);
    } else {
        write.item = endedItem(entry.claim, holder_, entry.outcome, entry.response);
    }
    grouper_->submit(
        std::move(write), [] { return true; }, [this, nonce](const table::WriteResult &result) { onWritten(nonce, result.outcome); });
}

void ClaimRegistry::onWritten(const std::string &nonce, table::WriteOutcome outcome)
{
    const auto found = entries_.find(nonce);
    // A failed condition: another attempt took the released claim over, or our claim never took effect.
    if (outcome == table::WriteOutcome::Written || outcome == table::WriteOutcome::ConditionFailed) {
        bodyBytes_ -= found->second.response.body.size();
        unsettled_--;
        entries_.erase(found);
        return;
    }
    const Duration backoff = found->second.backoff;
    found->second.backoff = std::min(LongestBackoff, backoff * 2);
    loop_->after(backoff, [this, nonce] { write(nonce); });
}

std::size_t ClaimRegistry::unsettled() const
{
    return unsettled_;
}

bool ClaimRegistry::isFull() const
{
    return entries_.size() >= MostEntries;
}

} // namespace cardamomlift::claims
