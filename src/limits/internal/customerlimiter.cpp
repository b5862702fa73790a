#include "limits/customerlimiter.h"

#include "kernel/log.h"
#include "limits/limits.pb.h"
#include "limitshare.h"

#include <algorithm>

namespace cardamomlift::limits {

namespace {

constexpr char GrantTopic[] = "limits.grant";
constexpr Duration TickPeriod = std::chrono::milliseconds(500);
constexpr Duration MaxWait = std::chrono::milliseconds(1500);
constexpr Duration GrantRetryDelay = std::chrono::milliseconds(100);
/// For this time after the last grant, a refusal to grant is taken as a change of the grantor: requests wait for the new one.
constexpr Duration GrantorChangeTimeout = std::chrono::seconds(3);
constexpr Duration OwnSharePeriod = std::chrono::milliseconds(500);
constexpr Duration UnusedGrantRetention = std::chrono::seconds(2);
constexpr Duration UnusedSlotRetention = std::chrono::seconds(10); ///< Unless slots are scarce: then unused ones are returned at once.
constexpr Duration MaxRefusalBackoff = std::chrono::milliseconds(400);
constexpr Duration SlotRetryAfter = std::chrono::seconds(1);
constexpr Duration ProbePeriod = std::chrono::seconds(1);
constexpr std::size_t MaxWaiting = 1000;

} // namespace

std::shared_ptr<CustomerLimiter> CustomerLimiter::create(CustomerLimiterTools tools)
{
    std::shared_ptr<CustomerLimiter> limiter(new CustomerLimiter);
    limiter->tools_ = std::move(tools);
    limiter->entriesChangedAt_ = limiter->tools_.loop->now();
    const std::weak_ptr<CustomerLimiter> weak = limiter;
    limiter->tools_.members->onChange([weak] {
        if (const auto self = weak.lock()) {
            self->onEntriesChanged();
        }
    });
    limiter->tools_.peers->handle(GrantTopic, [weak](const std::string &from, const std::string &payload, const peers::Reply &reply) {
        wire::GrantAsk request;
        const auto self = weak.lock();
        if (!self || !request.ParseFromString(payload)) {
            reply(failure(ErrorKind::Invalid, "malformed GrantAsk message"));
            return;
        }
        reply(self->grant(from, request).SerializeAsString());
    });
    limiter->tools_.peers->handle(ProbeTopic, [](const std::string &, const std::string &, const peers::Reply &reply) { reply(std::string()); });
    limiter->tickTimer_ = limiter->tools_.loop->every(TickPeriod, [raw = limiter.get()] { raw->tick(); });
    limiter->onEntriesChanged();
    return limiter;
}

CustomerLimiter::~CustomerLimiter()
{
    tools_.loop->cancel(tickTimer_);
}

CustomerLimiter::SharePtr CustomerLimiter::shareFor(const contract::ContractInForce &contract)
{
    SharePtr &share = shares_[contract.contract.customer];
    if (!share) {
        share = std::make_shared<Share>();
        share->customer = contract.contract.customer;
        share->lastGrantAt = tools_.loop->now();
    }
    share->limits = contract.contract.limits;
    return share;
}

bool CustomerLimiter::canAcquire(const Share &share, std::int64_t tokens)
{
    return share.requests >= 1 && share.tokens >= tokens && share.slotsUsed < share.slotsHeld;
}

void CustomerLimiter::consumeHeld(Share &share, std::int64_t tokens)
{
    share.requests--;
    share.tokens -= tokens;
    share.slotsUsed++;
    share.acquiredRequests++;
    share.acquiredTokens += tokens;
}

void CustomerLimiter::acquire(const contract::ContractInForce &contract, std::int64_t tokens, AcquireHandler handler)
{
    const SharePtr share = shareFor(contract);
    const TimePoint now = tools_.loop->now();
    if (tokens > share->limits.tokensPerMinute) {
        handler({false, metrics::RefusalReason::TokenLimit, Duration(0)});
        return;
    }
    if (share->waiting.empty() && canAcquire(*share, tokens)) {
        consumeHeld(*share, tokens);
        const bool isLow =
            static_cast<double>(share->requests) < share->requestsPerSecond / 4 || static_cast<double>(share->tokens) < share->tokensPerSecond / 4;
        handler({true});
        if (isLow && now >= share->useOwnShareUntil) {
            requestGrant(share);
        }
        return;
    }
    if (now < share->useOwnShareUntil) {
        handler(acquireFromOwnShare(*share, tokens));
        return;
    }
    const bool isBackingOff = now < share->refusedUntil && (share->lastRefusal.reason != metrics::RefusalReason::TokenLimit || tokens > share->tokens);
    if (isBackingOff || share->waiting.size() >= MaxWaiting) {
        handler(share->lastRefusal);
        return;
    }
    share->waiting.push_back({tokens, std::move(handler), now});
    requestGrant(share);
}

void CustomerLimiter::release(const std::string &customer, std::int64_t unusedTokens)
{
    const auto found = shares_.find(customer);
    if (found == shares_.end()) {
        return;
    }
    const SharePtr share = found->second;
    share->slotsUsed--;
    share->tokens += std::max<std::int64_t>(0, unusedTokens);
    if (share->slotsScarce && share->slotsHeld > share->slotsUsed) {
        scheduleGrantRequest(share, SlotReturnDelay);
    }
}

void CustomerLimiter::scheduleGrantRequest(const SharePtr &share, Duration delay)
{
    if (share->isGrantRequestScheduled) {
        return;
    }
    share->isGrantRequestScheduled = true;
    const std::weak_ptr<CustomerLimiter> weak = weak_from_this();
    tools_.loop->after(delay, [weak, share] {
        share->isGrantRequestScheduled = false;
        if (const auto self = weak.lock()) {
            self->requestGrant(share);
        }
    });
}

// Sends one grant request at a time for each customer. It states what is kept, what is returned and what is needed.
void CustomerLimiter::requestGrant(const SharePtr &share)
{
    if (share->isGrantRequestPending) {
        return;
    }
    const std::string grantor(this->grantor(share->customer));
    if (grantor.empty()) {
        onGrantorUnavailable(share, false);
        return;
    }
    const auto waiting = static_cast<std::int64_t>(share->waiting.size());
    const std::int64_t tokensWanted = share->waitingTokens();
    const std::int64_t requestsToPrefetch = share->requestsToPrefetch();
    const std::int64_t tokensToPrefetch = share->tokensToPrefetch();
    const std::int64_t spareSlots = share->slotsScarce || requestsToPrefetch == 0 ? 0 : std::max<std::int64_t>(1, share->slotsUsed / 4);
    wire::GrantAsk message;
    message.set_customer(share->customer);
    message.set_sequence(++sequence_);
    message.set_requests_needed(std::max<std::int64_t>(0, waiting - share->requests));
    message.set_requests_ahead(std::max<std::int64_t>(0, requestsToPrefetch - std::max<std::int64_t>(0, share->requests - waiting)));
    message.set_tokens_needed(std::max<std::int64_t>(0, tokensWanted - share->tokens));
    message.set_tokens_ahead(std::max<std::int64_t>(0, tokensToPrefetch - std::max<std::int64_t>(0, share->tokens - tokensWanted)));
    message.set_requests_returned(std::max<std::int64_t>(0, share->requests - waiting - 2 * requestsToPrefetch));
    message.set_tokens_returned(std::max<std::int64_t>(0, share->tokens - tokensWanted - 2 * tokensToPrefetch));
    share->requests -= message.requests_returned();
    share->tokens -= message.tokens_returned();
    share->slotsHeld = std::max(share->slotsUsed, std::min(share->slotsHeld, share->slotsUsed + waiting + spareSlots));
    message.set_open_held(share->slotsHeld);
    message.set_open_needed(std::max<std::int64_t>(0, share->slotsUsed + waiting + spareSlots - share->slotsHeld));
    for (auto &entry : share->waiting) {
        entry.isCovered = true;
    }
    share->isGrantRequestPending = true;
    sendGrantRequest(share, grantor, message);
}

void CustomerLimiter::sendGrantRequest(const SharePtr &share, const std::string &grantor, const wire::GrantAsk &request)
{
    if (grantor == tools_.members->self()) {
        onGrantReply(share, grant(grantor, request));
        return;
    }
    const membership::Vm *vm = tools_.members->find(grantor);
    const std::weak_ptr<CustomerLimiter> weak = weak_from_this();
    tools_.peers->send(
        membership::peerAddress(*vm), GrantTopic, request.SerializeAsString(), CallTimeout, [weak, share, grantor](const Result<std::string> &payload) {
            const auto self = weak.lock();
            wire::GrantReply reply;
            if (!self) {
                return;
            }
            if (!payload || !reply.ParseFromString(payload.value())) {
                share->isGrantRequestPending = false;
                self->markUnreachable(grantor);
                self->onGrantorUnavailable(share, false);
                return;
            }
            self->onGrantReply(share, reply);
        });
}

void CustomerLimiter::onGrantReply(const SharePtr &share, const wire::GrantReply &reply)
{
    share->isGrantRequestPending = false;
    if (!reply.granting()) {
        onGrantorUnavailable(share, tools_.loop->now() - share->lastGrantAt < GrantorChangeTimeout);
        return;
    }
    share->usesOwnShare = false;
    share->lastGrantAt = tools_.loop->now();
    share->requests += reply.requests();
    share->tokens += reply.tokens();
    share->slotsHeld += reply.open();
    share->slotsScarce = reply.open_tight();
    share->requestsWait = Duration(reply.requests_wait_us());
    share->tokensWait = Duration(reply.tokens_wait_us());
    bool allGranted = true;
    auto waiting = std::exchange(share->waiting, {});
    for (auto &entry : waiting) {
        if (canAcquire(*share, entry.tokens)) {
            consumeHeld(*share, entry.tokens);
            entry.handler({true});
            continue;
        }
        if (!entry.isCovered) {
            share->waiting.push_back(std::move(entry));
            continue;
        }
        share->lastRefusal = refusal(*share);
        allGranted = false;
        entry.handler(share->lastRefusal);
    }
    // While a customer is at its limit, the VMs back off instead of sending a grant request for each refused request.
    share->refusalBackoff = allGranted ? InitialRefusalBackoff : std::min(share->refusalBackoff * 2, MaxRefusalBackoff);
    share->refusedUntil = allGranted ? TimePoint() : tools_.loop->now() + share->refusalBackoff;
    if (!share->waiting.empty()) {
        requestGrant(share);
    }
}

AcquireResult CustomerLimiter::refusal(const Share &share)
{
    if (share.requests < 1) {
        return {false, metrics::RefusalReason::TooManyRequests, share.requestsWait};
    }
    if (share.slotsUsed >= share.slotsHeld) {
        return {false, metrics::RefusalReason::TooManyOpen, share.limits.openRequests > 0 ? SlotRetryAfter : Duration(0)};
    }
    return {false, metrics::RefusalReason::TokenLimit, share.tokensWait};
}

// Without a grantor, admits the waiting requests that fit into this VM's own share. The others are refused, or with
// @p keepWaiting, if the grantor has probably just changed, wait for its first grant.
void CustomerLimiter::onGrantorUnavailable(const SharePtr &share, bool keepWaiting)
{
    const TimePoint now = tools_.loop->now();
    share->useOwnShareUntil = keepWaiting ? now : now + OwnSharePeriod;
    auto waiting = std::exchange(share->waiting, {});
    for (auto &entry : waiting) {
        const AcquireResult result = acquireFromOwnShare(*share, entry.tokens);
        if (!result.acquired && keepWaiting && now - entry.queuedAt < MaxWait) {
            share->waiting.push_back(std::move(entry));
            continue;
        }
        entry.handler(result);
    }
    scheduleGrantRequest(share, keepWaiting ? GrantRetryDelay : OwnSharePeriod);
}

AcquireResult CustomerLimiter::acquireFromOwnShare(Share &share, std::int64_t tokens)
{
    const TimePoint now = tools_.loop->now();
    const BucketRate requests = evenShare(requestRate(share.limits), listedEntryCount_);
    const BucketRate tokenShare = evenShare(tokenRate(share.limits), listedEntryCount_);
    if (!share.usesOwnShare) {
        share.usesOwnShare = true;
        share.ownRequestBucket = {requests.perSecond, now};
        share.ownTokenBucket = {tokenShare.perSecond, now};
        partLogger("limits")->warn("The grantor does not grant quota; this VM uses its own share of the limits. customer={}", share.customer);
    }
    refill(share.ownRequestBucket, requests, now);
    refill(share.ownTokenBucket, tokenShare, now);
    const std::int64_t slotShare = share.limits.openRequests / static_cast<std::int64_t>(listedEntryCount_);
    const auto needed = static_cast<double>(tokens);
    if (share.ownRequestBucket.level < 1) {
        return {false, metrics::RefusalReason::TooManyRequests, timeUntil(share.ownRequestBucket, requests, 1)};
    }
    if (share.slotsUsed >= std::max(share.slotsHeld, slotShare)) {
        return {false, metrics::RefusalReason::TooManyOpen, SlotRetryAfter};
    }
    if (share.ownTokenBucket.level < needed) {
        return {false, metrics::RefusalReason::TokenLimit, timeUntil(share.ownTokenBucket, tokenShare, needed)};
    }
    share.ownRequestBucket.level -= 1;
    share.ownTokenBucket.level -= needed;
    share.slotsUsed++;
    if (tools_.metrics) {
        tools_.metrics->add("limits_own_share_total");
    }
    return {true};
}

void CustomerLimiter::tick()
{
    const double seconds = std::chrono::duration<double>(TickPeriod).count();
    const TimePoint now = tools_.loop->now();
    probeUnreachable();
    if (!pools_.empty() && now >= nextProbeAt_) {
        // A grantor receives requests only from VMs that can reach it, so it must probe others to detect a partition.
        nextProbeAt_ = now + ProbePeriod;
        probeRandom(1);
    }
    for (const auto &[customer, share] : shares_) {
        share->requestsPerSecond = (share->requestsPerSecond + static_cast<double>(std::exchange(share->acquiredRequests, 0)) / seconds) / 2;
        share->tokensPerSecond = (share->tokensPerSecond + static_cast<double>(std::exchange(share->acquiredTokens, 0)) / seconds) / 2;
        const bool holdsExcess = share->requests > 2 * share->requestsToPrefetch() || share->tokens > 2 * share->tokensToPrefetch();
        const bool holdsSlots = share->slotsHeld > share->slotsUsed;
        const Duration sinceGrant = now - share->lastGrantAt;
        const bool returnsUnused = (holdsExcess && sinceGrant >= UnusedGrantRetention) || (holdsSlots && sinceGrant >= UnusedSlotRetention);
        if (returnsUnused && now >= share->useOwnShareUntil) {
            requestGrant(share);
        }
    }
    std::erase_if(shares_, [](const auto &entry) { return entry.second->isEmpty(); });
}

} // namespace cardamomlift::limits
