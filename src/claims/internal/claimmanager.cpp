#include "claims/claimmanager.h"

#include "claims/internal/claimwire.h"
#include "text/digest.h"

#include <algorithm>

namespace cardamomlift::claims {

namespace {

constexpr std::size_t NonceBytes = 12;
constexpr Duration Lease = std::chrono::seconds(3); ///< A claim older than this is not dispatched.
constexpr Duration LongestPatience = std::chrono::seconds(2); ///< Leaves time of the lease to connect.
constexpr Duration Retention = std::chrono::hours(72);
constexpr Duration FirstBackoff = std::chrono::milliseconds(50);
constexpr Duration LongestBackoff = std::chrono::milliseconds(400);
constexpr Duration AskWait = std::chrono::seconds(1); ///< How long the holder may keep the question open.
constexpr Duration AskTimeout = std::chrono::seconds(2); ///< A holder silent for so long gives no answer.
constexpr char AskTopic[] = "claims.ask";

} // namespace

/// One call of begin().
struct ClaimManager::Attempt {
    Claim claim;
    BeginHandler handler;
    TimePoint claimBy;
    TimePoint waitBy;
    TimerId patience = 0; ///< 0: not armed.
    Duration backoff = FirstBackoff;
    std::string replaces; ///< Nonce of the released claim to put ours in place of; empty: the key must be free.
    std::string releasedNonce;
    std::string silentNonce;
    ClaimRow inTheWay; ///< The claim of another attempt.
    StoredResponse response;
    bool keySeen = false;
    bool unsure = false; ///< A write of the claim got no answer; it may take effect even later.
    bool mayStand = false; ///< The claim may be in the table, or may come to be.
    bool ended = false;
};

std::shared_ptr<ClaimManager> ClaimManager::create(ClaimTools tools)
{
    std::shared_ptr<ClaimManager> keeper(new ClaimManager);
    keeper->tools_ = std::move(tools);
    const ClaimTools &own = keeper->tools_;
    keeper->grouper_ = WriteBatcher::create(*own.loop, own.table);
    keeper->registry_ = ClaimRegistry::create(*own.loop, keeper->grouper_, own.holder);
    own.peers->handle(
        AskTopic, [raw = keeper.get()](const std::string &, const std::string &payload, const peers::Reply &reply) { raw->answerPeer(payload, reply); });
    return keeper;
}

void ClaimManager::begin(ClaimRequest request, BeginHandler handler)
{
    const Clock &clock = tools_.loop->clock();
    auto attempt = std::make_shared<Attempt>();
    attempt->handler = std::move(handler);
    attempt->claim.nonce = text::randomHex(NonceBytes);
    attempt->claim.expiresAt = std::chrono::duration_cast<std::chrono::seconds>((clock.wallNow() + Retention).time_since_epoch()).count();
    attempt->waitBy = clock.now() + request.answerTimeout;
    attempt->claim.request = std::move(request);
    if (registry_->isFull()) {
        tools_.loop->post([this, attempt] { end(attempt, BeginOutcome::NotRun); });
        return;
    }
    registry_->open(attempt->claim.nonce);
    follow(attempt, {Step::WriteClaim, BeginOutcome::NotRun}, Duration(0));
}

AttemptView ClaimManager::viewOf(const Attempt &attempt, TimePoint now)
{
    AttemptView view;
    view.nonce = attempt.claim.nonce;
    view.bodyHash = attempt.claim.request.bodyHash;
    view.inTime = attempt.patience == 0 || now < attempt.claimBy;
    view.mayWait = now < attempt.waitBy;
    view.keySeen = attempt.keySeen;
    view.releasedNonce = attempt.releasedNonce;
    view.silentNonce = attempt.silentNonce;
    return view;
}

void ClaimManager::follow(const AttemptPtr &attempt, Decision decision, Duration pause)
{
    if (decision.step == Step::End) {
        end(attempt, decision.outcome);
        return;
    }
    if (decision.step == Step::AskHolder) {
        disarmPatience(attempt);
        ask(attempt);
        return;
    }
    armPatience(attempt);
    if (pause.count() > 0) {
        tools_.loop->after(pause, [this, attempt, step = decision.step] {
            if (!attempt->ended) {
                follow(attempt, {step, BeginOutcome::NotRun}, Duration(0));
            }
        });
        return;
    }
    if (decision.step == Step::Read) {
        read(attempt);
        return;
    }
    if (decision.step == Step::ReplaceClaim) {
        attempt->replaces = attempt->releasedNonce;
        attempt->keySeen = false;
    }
    writeClaim(attempt);
}

void ClaimManager::armPatience(const AttemptPtr &attempt)
{
    if (attempt->patience != 0) {
        return;
    }
    // The lease counts from here: a repeat may have waited long for another attempt before it claims the key itself.
    const Clock &clock = tools_.loop->clock();
    attempt->claim.begunAt = clock.now();
    attempt->claim.begunAtWall = clock.wallNow();
    const Duration patience = std::min(attempt->claim.request.claimTimeout, LongestPatience);
    attempt->claimBy = clock.now() + patience;
    attempt->patience = tools_.loop->after(patience, [this, attempt] { end(attempt, outcomeWhenLate(viewOf(*attempt, tools_.loop->now()))); });
}

void ClaimManager::disarmPatience(const AttemptPtr &attempt)
{
    tools_.loop->cancel(attempt->patience);
    attempt->patience = 0;
}

void ClaimManager::writeClaim(const AttemptPtr &attempt)
{
    table::Write write;
    write.item = claimedItem(attempt->claim, tools_.holder);
    write.condition.kind = table::ConditionKind::ItemAbsent;
    if (!attempt->replaces.empty()) {
        write.condition = {table::ConditionKind::AttributeEquals, "nonce", attempt->replaces};
    }
    const auto isWanted = [attempt] {
        attempt->mayStand = attempt->mayStand || !attempt->ended;
        return !attempt->ended;
    };
    grouper_->submit(std::move(write), isWanted, [this, attempt](const table::WriteResult &result) { onClaimWritten(attempt, result.outcome); });
}

void ClaimManager::onClaimWritten(const AttemptPtr &attempt, table::WriteOutcome outcome)
{
    if (attempt->ended) {
        return;
    }
    if (outcome == table::WriteOutcome::Unknown) {
        attempt->unsure = true;
    }
    if (outcome == table::WriteOutcome::ConditionFailed) {
        attempt->keySeen = attempt->keySeen || !attempt->unsure;
        attempt->replaces.clear();
    }
    attempt->mayStand = attempt->unsure || outcome == table::WriteOutcome::Written;
    const bool isRetry = outcome == table::WriteOutcome::Unknown || outcome == table::WriteOutcome::NotWritten;
    const Duration pause = isRetry ? attempt->backoff : Duration(0);
    if (isRetry) {
        attempt->backoff = std::min(LongestBackoff, attempt->backoff * 2);
    }
    follow(attempt, afterClaimWrite(outcome, viewOf(*attempt, tools_.loop->now())), pause);
}

void ClaimManager::read(const AttemptPtr &attempt)
{
    tools_.table->get(rowKey(attempt->claim.request), [this, attempt](const Result<std::optional<table::Item>> &item) {
        if (!attempt->ended) {
            onRead(attempt, item);
        }
    });
}

void ClaimManager::onRead(const AttemptPtr &attempt, const Result<std::optional<table::Item>> &item)
{
    if (!item) {
        const Duration pause = attempt->backoff;
        attempt->backoff = std::min(LongestBackoff, attempt->backoff * 2);
        follow(attempt, afterFailedRead(viewOf(*attempt, tools_.loop->now())), pause);
        return;
    }
    std::optional<ClaimRow> row;
    if (item.value()) {
        row = rowOf(*item.value());
        attempt->inTheWay = *row;
        attempt->response = row->response;
    }
    attempt->keySeen = row && row->nonce != attempt->claim.nonce;
    follow(attempt, afterRead(row, viewOf(*attempt, tools_.loop->now())), Duration(0));
}

void ClaimManager::ask(const AttemptPtr &attempt)
{
    const ClaimRow &row = attempt->inTheWay;
    const Duration wait = std::clamp(attempt->waitBy - tools_.loop->now(), Duration(0), AskWait);
    const auto onAnswer = [this, attempt](const HolderAnswer &answer) {
        onAsked(attempt, answer);
    };
    if (row.holder == tools_.holder.instance && row.boot == tools_.holder.boot) {
        registry_->ask(row.nonce, wait, onAnswer);
        return;
    }
    const membership::Vm *vm = tools_.members->find(row.holder);
    if (!vm || vm->state == membership::VmState::Gone) {
        tools_.loop->post([onAnswer] { onAnswer({HolderState::NoAnswer, {}}); });
        return;
    }
    tools_.peers->send(
        membership::peerAddress(*vm), AskTopic, askPayload({row.boot, row.nonce, wait}), AskTimeout, [onAnswer](const Result<std::string> &payload) {
            onAnswer(payload ? holderAnswerOf(payload.value()) : HolderAnswer{});
        });
}

void ClaimManager::onAsked(const AttemptPtr &attempt, const HolderAnswer &answer)
{
    const std::string &nonce = attempt->inTheWay.nonce;
    if (answer.state == HolderState::NoAnswer) {
        attempt->silentNonce = nonce;
    }
    if (answer.state == HolderState::NotHeld || answer.state == HolderState::NotRun) {
        attempt->releasedNonce = nonce;
    }
    attempt->response = answer.response;
    follow(attempt, afterAsk(answer.state, viewOf(*attempt, tools_.loop->now())), Duration(0));
}

void ClaimManager::end(const AttemptPtr &attempt, BeginOutcome outcome)
{
    if (attempt->ended) {
        return;
    }
    attempt->ended = true;
    tools_.loop->cancel(attempt->patience);
    // An attempt that does not run takes back what it may have written; it never dispatches from here on.
    if (outcome != BeginOutcome::Run && attempt->mayStand) {
        registry_->settle(attempt->claim, Outcome::NotRun, {});
    } else if (outcome != BeginOutcome::Run) {
        registry_->close(attempt->claim.nonce);
    }
    BeginResult result;
    result.outcome = outcome;
    result.claim = attempt->claim;
    result.response = attempt->response;
    result.keyLookedUp = attempt->keySeen || outcome == BeginOutcome::Run;
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

std::size_t ClaimManager::unsettled() const
{
    return registry_->unsettled();
}

void ClaimManager::answerPeer(const std::string &payload, const peers::Reply &reply)
{
    const auto question = askOf(payload);
    if (!question || question->boot != tools_.holder.boot) {
        reply(failure(ErrorKind::NotFound, "another process made this claim"));
        return;
    }
    registry_->ask(question->nonce, std::min(question->wait, AskWait), [reply](const HolderAnswer &answer) { reply(holderAnswerPayload(answer)); });
}

} // namespace cardamomlift::claims
