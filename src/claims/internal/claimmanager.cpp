#include "claims/claimmanager.h"

#include "claims/internal/claimwire.h"
#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::claims {

namespace {

constexpr std::size_t NonceBytes = 12;
constexpr Duration Lease = std::chrono::seconds(3); ///< A claim older than this is not dispatched.
constexpr Duration MaxClaimTimeout = std::chrono::seconds(2); ///< Leaves part of the lease for connecting.
constexpr Duration Retention = std::chrono::hours(72);
constexpr Duration InitialBackoff = std::chrono::milliseconds(50);
constexpr Duration MaxBackoff = std::chrono::milliseconds(400);
constexpr Duration MaxAnswerWait = std::chrono::seconds(1); ///< How long a holder may delay its answer to wait for the outcome.
constexpr Duration QueryTimeout = std::chrono::seconds(2); ///< A holder that takes longer counts as not answering.
constexpr char QueryTopic[] = "claims.ask";

} // namespace

/// One call of begin().
struct ClaimManager::Attempt {
    Claim claim;
    BeginHandler handler;
    TimePoint claimDeadline;
    TimePoint answerDeadline;
    TimerId claimTimer = 0; ///< 0: not running.
    Duration backoff = InitialBackoff;
    std::string replacedNonce; ///< Nonce of the released claim that ours replaces; empty: the key must be free.
    std::string releasedNonce;
    std::string unresponsiveNonce;
    ClaimRow otherClaim; ///< The claim of another attempt.
    StoredResponse response;
    bool otherClaimSeen = false;
    bool writeInDoubt = false; ///< A write of the claim got no answer; it may still take effect.
    bool mayBeStored = false; ///< The claim may be in the table, or may still get there.
    bool ended = false;
};

std::shared_ptr<ClaimManager> ClaimManager::create(ClaimTools tools)
{
    std::shared_ptr<ClaimManager> manager(new ClaimManager);
    manager->tools_ = std::move(tools);
    const ClaimTools &own = manager->tools_;
    manager->batcher_ = WriteBatcher::create(*own.loop, own.table);
    manager->registry_ = ClaimRegistry::create(*own.loop, manager->batcher_, own.holder);
    own.peers->handle(
        QueryTopic, [raw = manager.get()](const std::string &, const std::string &payload, const peers::Reply &reply) { raw->onPeerQuery(payload, reply); });
    return manager;
}

void ClaimManager::begin(ClaimRequest request, BeginHandler handler)
{
    const Clock &clock = tools_.loop->clock();
    auto attempt = std::make_shared<Attempt>();
    attempt->handler = std::move(handler);
    attempt->claim.nonce = text::randomHex(NonceBytes);
    attempt->claim.expiresAt = std::chrono::duration_cast<std::chrono::seconds>((clock.wallNow() + Retention).time_since_epoch()).count();
    attempt->answerDeadline = clock.now() + request.answerTimeout;
    attempt->claim.request = std::move(request);
    if (registry_->isFull()) {
        tools_.loop->post([this, attempt] { endAttempt(attempt, BeginOutcome::NotRun); });
        return;
    }
    registry_->open(attempt->claim.nonce);
    execute(attempt, {Step::WriteClaim, BeginOutcome::NotRun}, Duration(0));
}

AttemptView ClaimManager::viewOf(const Attempt &attempt, TimePoint now)
{
    AttemptView view;
    view.nonce = attempt.claim.nonce;
    view.bodyHash = attempt.claim.request.bodyHash;
    view.beforeDeadline = attempt.claimTimer == 0 || now < attempt.claimDeadline;
    view.mayWait = now < attempt.answerDeadline;
    view.otherClaimSeen = attempt.otherClaimSeen;
    view.releasedNonce = attempt.releasedNonce;
    view.unresponsiveNonce = attempt.unresponsiveNonce;
    return view;
}

void ClaimManager::execute(const AttemptPtr &attempt, Decision decision, Duration delay)
{
    if (decision.step == Step::End) {
        endAttempt(attempt, decision.outcome);
        return;
    }
    if (decision.step == Step::AskHolder) {
        cancelClaimTimer(attempt);
        askHolder(attempt);
        return;
    }
    startClaimTimer(attempt);
    if (delay.count() > 0) {
        tools_.loop->after(delay, [this, attempt, step = decision.step] {
            if (!attempt->ended) {
                execute(attempt, {step, BeginOutcome::NotRun}, Duration(0));
            }
        });
        return;
    }
    if (decision.step == Step::Read) {
        readRow(attempt);
        return;
    }
    if (decision.step == Step::ReplaceClaim) {
        attempt->replacedNonce = attempt->releasedNonce;
        attempt->otherClaimSeen = false;
    }
    writeClaim(attempt);
}

void ClaimManager::startClaimTimer(const AttemptPtr &attempt)
{
    if (attempt->claimTimer != 0) {
        return;
    }
    // The lease starts here: a repeated request may have waited long for another attempt before it claims the key itself.
    const Clock &clock = tools_.loop->clock();
    attempt->claim.leaseStart = clock.now();
    attempt->claim.leaseStartWall = clock.wallNow();
    const Duration timeout = std::min(attempt->claim.request.claimTimeout, MaxClaimTimeout);
    attempt->claimDeadline = clock.now() + timeout;
    attempt->claimTimer = tools_.loop->after(timeout, [this, attempt] { endAttempt(attempt, outcomeAfterDeadline(viewOf(*attempt, tools_.loop->now()))); });
}

void ClaimManager::cancelClaimTimer(const AttemptPtr &attempt)
{
    tools_.loop->cancel(attempt->claimTimer);
    attempt->claimTimer = 0;
}

void ClaimManager::writeClaim(const AttemptPtr &attempt)
{
    table::Write write;
    write.item = claimedItem(attempt->claim, tools_.holder);
    write.condition.kind = table::ConditionKind::ItemAbsent;
    if (!attempt->replacedNonce.empty()) {
        write.condition = {table::ConditionKind::AttributeEquals, "nonce", attempt->replacedNonce};
    }
    const auto isWanted = [attempt] {
        attempt->mayBeStored = attempt->mayBeStored || !attempt->ended;
        return !attempt->ended;
    };
    batcher_->submit(std::move(write), isWanted, [this, attempt](const table::WriteResult &result) { onClaimWritten(attempt, result.outcome); });
}

void ClaimManager::onClaimWritten(const AttemptPtr &attempt, table::WriteOutcome outcome)
{
    if (attempt->ended) {
        return;
    }
    if (outcome == table::WriteOutcome::Unknown) {
        attempt->writeInDoubt = true;
    }
    if (outcome == table::WriteOutcome::ConditionFailed) {
        attempt->otherClaimSeen = attempt->otherClaimSeen || !attempt->writeInDoubt;
        attempt->replacedNonce.clear();
    }
    attempt->mayBeStored = attempt->writeInDoubt || outcome == table::WriteOutcome::Written;
    const bool isRetry = outcome == table::WriteOutcome::Unknown || outcome == table::WriteOutcome::NotWritten;
    const Duration delay = isRetry ? attempt->backoff : Duration(0);
    if (isRetry) {
        attempt->backoff = std::min(MaxBackoff, attempt->backoff * 2);
    }
    execute(attempt, afterClaimWrite(outcome, viewOf(*attempt, tools_.loop->now())), delay);
}

void ClaimManager::readRow(const AttemptPtr &attempt)
{
    tools_.table->get(rowKey(attempt->claim.request), [this, attempt](const Result<std::optional<table::Item>> &item) {
        if (!attempt->ended) {
            onRowRead(attempt, item);
        }
    });
}

void ClaimManager::onRowRead(const AttemptPtr &attempt, const Result<std::optional<table::Item>> &item)
{
    if (!item) {
        const Duration delay = attempt->backoff;
        attempt->backoff = std::min(MaxBackoff, attempt->backoff * 2);
        execute(attempt, afterFailedRead(viewOf(*attempt, tools_.loop->now())), delay);
        return;
    }
    std::optional<ClaimRow> row;
    if (item.value()) {
        row = parseRow(*item.value());
        attempt->otherClaim = *row;
        attempt->response = row->response;
    }
    attempt->otherClaimSeen = row && row->nonce != attempt->claim.nonce;
    execute(attempt, afterRead(row, viewOf(*attempt, tools_.loop->now())), Duration(0));
}

void ClaimManager::askHolder(const AttemptPtr &attempt)
{
    const ClaimRow &row = attempt->otherClaim;
    const Duration wait = std::clamp(attempt->answerDeadline - tools_.loop->now(), Duration(0), MaxAnswerWait);
    const auto onAnswer = [this, attempt](const HolderAnswer &answer) {
        onHolderAnswer(attempt, answer);
    };
    if (row.holder == tools_.holder.instance && row.bootId == tools_.holder.bootId) {
        registry_->query(row.nonce, wait, onAnswer);
        return;
    }
    const membership::Vm *vm = tools_.members->find(row.holder);
    if (!vm || vm->state == membership::VmState::Gone) {
        tools_.loop->post([onAnswer] { onAnswer({HolderState::NoAnswer, {}}); });
        return;
    }
    tools_.peers->send(
        membership::peerAddress(*vm), QueryTopic, encodeQuery({row.bootId, row.nonce, wait}), QueryTimeout, [onAnswer](const Result<std::string> &payload) {
            onAnswer(payload ? decodeAnswer(payload.value()) : HolderAnswer{});
        });
}

void ClaimManager::onHolderAnswer(const AttemptPtr &attempt, const HolderAnswer &answer)
{
    const std::string &nonce = attempt->otherClaim.nonce;
    if (answer.state == HolderState::NoAnswer) {
        attempt->unresponsiveNonce = nonce;
    }
    if (answer.state == HolderState::NotHeld || answer.state == HolderState::NotRun) {
        attempt->releasedNonce = nonce;
    }
    attempt->response = answer.response;
    execute(attempt, afterHolderAnswer(answer.state, viewOf(*attempt, tools_.loop->now())), Duration(0));
}

void ClaimManager::endAttempt(const AttemptPtr &attempt, BeginOutcome outcome)
{
    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    tools_.loop->cancel(attempt->claimTimer);
    // An attempt that does not run deletes the claim that it may have written; it never dispatches from here on.
    if (outcome != BeginOutcome::Run && attempt->mayBeStored) {
        registry_->settle(attempt->claim, Outcome::NotRun, {});
    } else if (outcome != BeginOutcome::Run) {
        registry_->close(attempt->claim.nonce);
    }
    BeginResult result;
    result.outcome = outcome;
    result.claim = attempt->claim;
    result.response = attempt->response;
    result.keyLookedUp = attempt->otherClaimSeen || outcome == BeginOutcome::Run;
    attempt->handler(std::move(result));
}

bool ClaimManager::mayDispatch(const Claim &claim) const
{
    const Clock &clock = tools_.loop->clock();
    return claims::mayDispatch(claim, clock.now(), clock.wallNow(), Lease);
}

void ClaimManager::finish(const Claim &claim, Outcome outcome, StoredResponse response)
{
    registry_->settle(claim, outcome, std::move(response));
}

std::size_t ClaimManager::unsettledCount() const
{
    return registry_->unsettledCount();
}

void ClaimManager::onPeerQuery(const std::string &payload, const peers::Reply &reply)
{
    const auto query = decodeQuery(payload);
    if (!query || query->bootId != tools_.holder.bootId) {
        reply(failure(ErrorKind::NotFound, "claim query is unreadable or names another process of this VM"));
        return;
    }
    registry_->query(query->nonce, std::min(query->wait, MaxAnswerWait), [reply](const HolderAnswer &answer) { reply(encodeAnswer(answer)); });
}

} // namespace cardamomlift::claims
