#include "claims/claimregistry.h"

namespace cardamomlift::claims {

namespace {

constexpr std::size_t MaxEntries = 20000;
constexpr std::size_t MaxBodyBytes = 256 * 1024; ///< A larger response is stored without its body.
constexpr std::size_t MaxTotalBodyBytes = 32 * 1024 * 1024; ///< Of all responses that wait to be written to the table.
constexpr Duration InitialBackoff = std::chrono::milliseconds(100);
constexpr Duration MaxBackoff = std::chrono::seconds(5);

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

std::shared_ptr<ClaimRegistry> ClaimRegistry::create(EventLoop &loop, std::shared_ptr<WriteBatcher> batcher, Holder holder)
{
    std::shared_ptr<ClaimRegistry> registry(new ClaimRegistry);
    registry->loop_ = &loop;
    registry->batcher_ = std::move(batcher);
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
    notifyWaiters(found->second, {HolderState::NotHeld, {}});
    entries_.erase(found);
}

void ClaimRegistry::settle(const Claim &claim, Outcome outcome, StoredResponse response)
{
    Entry &entry = entries_[claim.nonce];
    if (entry.ended) {
        return;
    }
    if (response.body.size() > MaxBodyBytes || bodyBytes_ + response.body.size() > MaxTotalBodyBytes) {
        response.body.clear();
        response.hasBody = false;
    }
    bodyBytes_ += response.body.size();
    unsettledCount_++;
    entry.claim = claim;
    entry.ended = true;
    entry.outcome = outcome;
    entry.response = std::move(response);
    entry.backoff = InitialBackoff;
    notifyWaiters(entry, {stateOf(outcome), entry.response});
    write(claim.nonce);
}

void ClaimRegistry::notifyWaiters(Entry &entry, const HolderAnswer &answer)
{
    const auto waiters = std::move(entry.waiters);
    entry.waiters.clear();
    for (const auto &waiter : waiters) {
        loop_->cancel(waiter->timer);
        loop_->post([waiter, answer] { waiter->handler(answer); });
    }
}

void ClaimRegistry::query(const std::string &nonce, Duration wait, HolderAnswerHandler handler)
{
    const auto found = entries_.find(nonce);
    if (found == entries_.end()) {
        loop_->post([handler = std::move(handler)] { handler({HolderState::NotHeld, {}}); });
        return;
    }
    Entry &entry = found->second;
    if (entry.ended) {
        loop_->post([handler = std::move(handler), answer = HolderAnswer{stateOf(entry.outcome), entry.response}] { handler(answer); });
        return;
    }
    auto waiter = std::make_shared<Waiter>();
    waiter->handler = std::move(handler);
    waiter->timer = loop_->after(wait, [this, nonce, waiter] {
        const auto entryNow = entries_.find(nonce);
        if (entryNow == entries_.end() || std::erase(entryNow->second.waiters, waiter) == 0) {
            return;
        }
        waiter->handler({HolderState::Running, {}});
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
        write.item = finishedItem(entry.claim, holder_, entry.outcome, entry.response);
    }
    batcher_->submit(
        std::move(write), [] { return true; }, [this, nonce](const table::WriteResult &result) { onWritten(nonce, result.outcome); });
}

void ClaimRegistry::onWritten(const std::string &nonce, table::WriteOutcome outcome)
{
    const auto found = entries_.find(nonce);
    // A failed condition: another attempt replaced the released claim, or our claim was never written.
    if (outcome == table::WriteOutcome::Written || outcome == table::WriteOutcome::ConditionFailed) {
        bodyBytes_ -= found->second.response.body.size();
        unsettledCount_--;
        entries_.erase(found);
        return;
    }
    const Duration backoff = found->second.backoff;
    found->second.backoff = std::min(MaxBackoff, backoff * 2);
    loop_->after(backoff, [this, nonce] { write(nonce); });
}

std::size_t ClaimRegistry::unsettledCount() const
{
    return unsettledCount_;
}

bool ClaimRegistry::isFull() const
{
    return entries_.size() >= MaxEntries;
}

} // namespace cardamomlift::claims
