#include "limits/limitkeeper.h"

#include "kernel/log.h"
#include "limits/limits.pb.h"
#include "limitshare.h"

#include <algorithm>

namespace cardamomlift::limits {

namespace {

constexpr char GrantTopic[] = "limits.grant";
constexpr Duration TickPeriod = std::chrono::milliseconds(500);
constexpr Duration LongestWait = std::chrono::milliseconds(1500);
constexpr Duration AskAgainAfter = std::chrono::milliseconds(100);
constexpr Duration GrantorChange = std::chrono::seconds(3); ///< A grantor that does not grant is taken for new so long.
constexpr Duration NoGrantorFor = std::chrono::milliseconds(500);
constexpr Duration KeepGrants = std::chrono::seconds(2);
constexpr Duration KeepSlots = std::chrono::seconds(10); ///< While slots are plenty; else they go back at once.
constexpr Duration LongestRefuseFor = std::chrono::milliseconds(400);
constexpr Duration OpenRetryAfter = std::chrono::seconds(1);
constexpr Duration ProbePeriod = std::chrono::seconds(1);
constexpr std::size_t MostWaiting = 1000;

} // namespace

std::shared_ptr<LimitKeeper> LimitKeeper::create(LimitTools tools)
{
    std::shared_ptr<LimitKeeper> keeper(new LimitKeeper);
    keeper->tools_ = std::move(tools);
    keeper->entriesSince_ = keeper->tools_.loop->now();
    const std::weak_ptr<LimitKeeper> weak = keeper;
    keeper->tools_.members->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->onEntriesChanged();
        }
    });
    keeper->tools_.peers->handle(GrantTopic, [weak](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        wire::GrantAsk ask;
        const auto self = weak.lock();
        if (!self || !ask.ParseFromString(payload)) {
            reply(failure(ErrorKind::Invalid, "not a grant ask"));
            return;
        }
        reply(self->grant(from, ask).SerializeAsString());
    });
    keeper->tools_.peers->handle(ProbeTopic, [](const std::string &, const std::string &, const peers::Reply &reply) { reply(std::string()); });
    keeper->tickTimer_ = keeper->tools_.loop->every(TickPeriod, [raw = keeper.get()] { raw->tick(); });
    keeper->onEntriesChanged();
    return keeper;
}

LimitKeeper::~LimitKeeper()
{
    tools_.loop->cancel(tickTimer_);
}

LimitKeeper::SharePtr LimitKeeper::shareFor(const contract::ContractInForce &contract)
{
    SharePtr &share = shares_[contract.contract.customer];
    if (!share) {
        share = std::make_shared<Share>();
        share->customer = contract.contract.customer;
        share->grantedAt = tools_.loop->now();
    }
    share->limits = contract.contract.limits;
    return share;
}

bool LimitKeeper::hasRoom(const Share &share, std::int64_t tokens)
{
    return share.requests >= 1 && share.tokens >= tokens && share.openUsed < share.openHeld;
}

void LimitKeeper::takeHeld(Share &share, std::int64_t tokens)
{
    share.requests--;
    share.tokens -= tokens;
    share.openUsed++;
    share.takenRequests++;
    share.takenTokens += tokens;
}

void LimitKeeper::take(const contract::ContractInForce &contract, std::int64_t tokens, TakeHandler handler)
{
    const SharePtr share = shareFor(contract);
    const TimePoint now = tools_.loop->now();
    if (tokens > share->limits.tokensPerMinute) {
        handler({false, metrics::RefusalReason::TokenLimit, Duration(0)});
        return;
    }
    if (share->waiting.empty() && hasRoom(*share, tokens)) {
        takeHeld(*share, tokens);
        const bool isLow =
            static_cast<double>(share->requests) < share->requestsPerSecond / 4 || static_cast<double>(share->tokens) < share->tokensPerSecond / 4;
        handler({true});
        if (isLow && now >= share->noGrantorUntil) {
            ask(share);
        }
        return;
    }
    if (now < share->noGrantorUntil) {
        handler(fromOwnShare(*share, tokens));
        return;
    }
    const bool sameFate = now < share->refusedUntil && (share->refusedWith.reason != metrics::RefusalReason::TokenLimit || tokens > share->tokens);
    if (sameFate || share->waiting.size() >= MostWaiting) {
        handler(share->refusedWith);
        return;
    }
    share->waiting.push_back({tokens, std::move(handler), now});
    ask(share);
}

void LimitKeeper::release(const std::string &customer, std::int64_t unusedTokens)
{
    const auto found = shares_.find(customer);
    if (found == shares_.end()) {
        return;
    }
    const SharePtr share = found->second;
    share->openUsed--;
    share->tokens += std::max<std::int64_t>(0, unusedTokens);
    if (share->openTight && share->openHeld > share->openUsed) {
        askSoon(share, ReturnSlotAfter);
    }
}

void LimitKeeper::askSoon(const SharePtr &share, Duration delay)
{
    if (share->isAskDue) {
        return;
    }
    share->isAskDue = true;
    const std::weak_ptr<LimitKeeper> weak = weak_from_this();
    tools_.loop->after(delay, [weak, share] {
        share->isAskDue = false;
        if (const auto self = weak.lock()) {
            self->ask(share);
        }
    });
}

// One ask at a time for each customer: it says what is kept, what is given back and what is needed.
void LimitKeeper::ask(const SharePtr &share)
{
    if (share->asking) {
        return;
    }
    const std::string grantor(this->grantor(share->customer));
    if (grantor.empty()) {
        onNoGrantor(share, false);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(share->waiting.size());
    const std::int64_t tokensWanted = share->tokensOfWaiting();
    const std::int64_t requestsAhead = share->requestsAhead();
    const std::int64_t tokensAhead = share->tokensAhead();
    const std::int64_t spareOpen = share->openTight || requestsAhead == 0 ? 0 : std::max<std::int64_t>(1, share->openUsed / 4);
    wire::GrantAsk message;
    message.set_customer(share->customer);
    message.set_sequence(++sequence_);
    message.set_requests_needed(std::max<std::int64_t>(0, waiting - share->requests));
    message.set_requests_ahead(std::max<std::int64_t>(0, requestsAhead - std::max<std::int64_t>(0, share->requests - waiting)));
    message.set_tokens_needed(std::max<std::int64_t>(0, tokensWanted - share->tokens));
    message.set_tokens_ahead(std::max<std::int64_t>(0, tokensAhead - std::max<std::int64_t>(0, share->tokens - tokensWanted)));
    message.set_requests_returned(std::max<std::int64_t>(0, share->requests - waiting - 2 * requestsAhead));
    message.set_tokens_returned(std::max<std::int64_t>(0, share->tokens - tokensWanted - 2 * tokensAhead));
    share->requests -= message.requests_returned();
    share->tokens -= message.tokens_returned();
    share->openHeld = std::max(share->openUsed, std::min(share->openHeld, share->openUsed + waiting + spareOpen));
    message.set_open_held(share->openHeld);
    message.set_open_needed(std::max<std::int64_t>(0, share->openUsed + waiting + spareOpen - share->openHeld));
    for (auto &entry : share->waiting) {
        entry.wasAsked = true;
    }
    share->asking = true;
    sendAsk(share, grantor, message);
}

void LimitKeeper::sendAsk(const SharePtr &share, const std::string &grantor, const wire::GrantAsk &ask)
{
    if (grantor == tools_.members->self()) {
        onReply(share, grant(grantor, ask));
        return;
    }
    const membership::Vm *vm = tools_.members->find(grantor);
    const std::weak_ptr<LimitKeeper> weak = weak_from_this();
    tools_.peers->send(
        membership::peerAddress(*vm), GrantTopic, ask.SerializeAsString(), AskTimeout, [weak, share, grantor](const Result<std::string> &payload) {
            const auto self = weak.lock();
            wire::GrantReply reply;
            if (!self) {
                return;
            }
            if (!payload || !reply.ParseFromString(payload.value())) {
                share->asking = false;
                self->suspect(grantor);
                self->onNoGrantor(share, false);
                return;
            }
            self->onReply(share, reply);
        });
}

void LimitKeeper::onReply(const SharePtr &share, const wire::GrantReply &reply)
{
    share->asking = false;
    if (!reply.granting()) {
        onNoGrantor(share, tools_.loop->now() - share->grantedAt < GrantorChange);
        return;
    }
    share->usesOwnShare = false;
    share->grantedAt = tools_.loop->now();
    share->requests += reply.requests();
    share->tokens += reply.tokens();
    share->openHeld += reply.open();
    share->openTight = reply.open_tight();
    share->requestsWait = Duration(reply.requests_wait_us());
    share->tokensWait = Duration(reply.tokens_wait_us());
    bool broughtAll = true;
    auto waiting = std::exchange(share->waiting, {});
    for (auto &entry : waiting) {
        if (hasRoom(*share, entry.tokens)) {
            takeHeld(*share, entry.tokens);
            entry.handler({true});
            continue;
        }
        if (!entry.wasAsked) {
            share->waiting.push_back(std::move(entry));
            continue;
        }
        share->refusedWith = refusal(*share);
        broughtAll = false;
        entry.handler(share->refusedWith);
    }
    // At its limit a customer's VMs must not all ask for each request that is refused.
    share->refuseFor = broughtAll ? RefuseFor : std::min(share->refuseFor * 2, LongestRefuseFor);
    share->refusedUntil = broughtAll ? TimePoint() : tools_.loop->now() + share->refuseFor;
    if (!share->waiting.empty()) {
        ask(share);
    }
}

TakeResult LimitKeeper::refusal(const Share &share)
{
    if (share.requests < 1) {
        return {false, metrics::RefusalReason::TooManyRequests, share.requestsWait};
    }
    if (share.openUsed >= share.openHeld) {
        return {false, metrics::RefusalReason::TooManyOpen, share.limits.openRequests > 0 ? OpenRetryAfter : Duration(0)};
    }
    return {false, metrics::RefusalReason::TokenLimit, share.tokensWait};
}

// Without a grantor: what the own share allows is let in. With @p mayWait the grantor is only new, and the others wait
// for it; else they are refused.
void LimitKeeper::onNoGrantor(const SharePtr &share, bool mayWait)
{
    const TimePoint now = tools_.loop->now();
    share->noGrantorUntil = mayWait ? now : now + NoGrantorFor;
    auto waiting = std::exchange(share->waiting, {});
    for (auto &entry : waiting) {
        const TakeResult result = fromOwnShare(*share, entry.tokens);
        if (!result.taken && mayWait && now - entry.since < LongestWait) {
            share->waiting.push_back(std::move(entry));
            continue;
        }
        entry.handler(result);
    }
    askSoon(share, mayWait ? AskAgainAfter : NoGrantorFor);
}

TakeResult LimitKeeper::fromOwnShare(Share &share, std::int64_t tokens)
{
    const TimePoint now = tools_.loop->now();
    const BucketRate requests = shareOf(requestRate(share.limits), listedEntries_);
    const BucketRate tokenShare = shareOf(tokenRate(share.limits), listedEntries_);
    if (!share.usesOwnShare) {
        share.usesOwnShare = true;
        share.ownRequests = {requests.perSecond, now};
        share.ownTokens = {tokenShare.perSecond, now};
        partLogger("limits")->warn("The grantor does not grant; own share is used. customer={}", share.customer);
    }
    refill(share.ownRequests, requests, now);
    refill(share.ownTokens, tokenShare, now);
    const std::int64_t openShare = share.limits.openRequests / static_cast<std::int64_t>(listedEntries_);
    const auto needed = static_cast<double>(tokens);
    if (share.ownRequests.level < 1) {
        return {false, metrics::RefusalReason::TooManyRequests, timeUntil(share.ownRequests, requests, 1)};
    }
    if (share.openUsed >= std::max(share.openHeld, openShare)) {
        return {false, metrics::RefusalReason::TooManyOpen, OpenRetryAfter};
    }
    if (share.ownTokens.level < needed) {
        return {false, metrics::RefusalReason::TokenLimit, timeUntil(share.ownTokens, tokenShare, needed)};
    }
    share.ownRequests.level -= 1;
    share.ownTokens.level -= needed;
    share.openUsed++;
    if (tools_.metrics) {
        tools_.metrics->add("limits_own_share_total");
    }
    return {true};
}

void LimitKeeper::tick()
{
    const double seconds = std::chrono::duration<double>(TickPeriod).count();
    const TimePoint now = tools_.loop->now();
    probeSuspects();
    if (!pools_.empty() && now >= nextProbe_) {
        // A grantor is asked only by those that reach it, so it must look for a cut itself.
        nextProbe_ = now + ProbePeriod;
        probeSome(1);
    }
    for (const auto &[customer, share] : shares_) {
        share->requestsPerSecond = (share->requestsPerSecond + static_cast<double>(std::exchange(share->takenRequests, 0)) / seconds) / 2;
        share->tokensPerSecond = (share->tokensPerSecond + static_cast<double>(std::exchange(share->takenTokens, 0)) / seconds) / 2;
        const bool holdsMore = share->requests > 2 * share->requestsAhead() || share->tokens > 2 * share->tokensAhead();
        const bool holdsSlots = share->openHeld > share->openUsed;
        const Duration since = now - share->grantedAt;
        const bool returns = (holdsMore && since >= KeepGrants) || (holdsSlots && since >= KeepSlots);
        if (returns && now >= share->noGrantorUntil) {
            ask(share);
        }
    }
    std::erase_if(shares_, [](const auto &entry) { return entry.second->isEmpty(); });
}

} // namespace cardamomlift::limits
