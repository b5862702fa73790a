#include "admission/admission.h"

#include "spending/spendingrules.h"

#include <algorithm>

namespace cardamomlift::admission {

namespace {

constexpr Duration OverloadedRetryAfter = std::chrono::seconds(1);
constexpr std::string_view ModelPrefix = "model:";
constexpr std::string_view ServicePrefix = "service:";

spending::Micros costOf(const AdmissionParameters &parameters, const Usage &usage)
{
    const contract::Spending &prices = parameters.contract->contract.spending;
    if (!usage.ran) {
        return 0;
    }
    if (!parameters.isModel) {
        return spending::callCost(prices, 1);
    }
    // A stream that broke early never reported the tokens of its prompt: the upper bound is charged.
    const std::int64_t prompt = usage.promptTokens > 0 ? usage.promptTokens : parameters.maxPromptTokens;
    return spending::tokenCost(prices, prompt + usage.outputTokens);
}

/// Returns the tokens that count against tokensPerMinute.
std::int64_t chargedTokens(const AdmissionParameters &parameters, const Usage &usage)
{
    if (usage.continuesOnPeer) {
        return parameters.estimatedTokens;
    }
    return usage.ran ? usage.promptTokens + usage.outputTokens : 0;
}

spending::Micros maxCost(const AdmissionParameters &parameters)
{
    return costOf(parameters, {parameters.maxPromptTokens, parameters.maxOutputTokens, true});
}

int priorityOf(const AdmissionParameters &parameters)
{
    return static_cast<int>(parameters.serviceClass.priority);
}

bool isDeferrable(const AdmissionParameters &parameters)
{
    return parameters.serviceClass.priority == contract::Priority::Deferrable;
}

Duration waitUpTo(const AdmissionParameters &parameters)
{
    return std::chrono::milliseconds(parameters.serviceClass.waitUpToMs);
}

LatencyTargets latencyTargetsOf(const AdmissionParameters &parameters)
{
    return {std::chrono::milliseconds(parameters.serviceClass.firstTokenMs), std::chrono::milliseconds(parameters.serviceClass.betweenTokensMs)};
}

} // namespace

/// One request, from requestAdmission() to its refusal or release.
struct Admission::Request {
    AdmissionParameters parameters;
    DecisionHandler handler;
    std::uint64_t ticket = 0;
    spending::Reservation reservation;
    WaitEntry entry;
    TimerId timer = 0;
    TimePoint admittedAt;
    TimePoint firstTokenAt;
    bool hadFirstToken = false;
};

std::shared_ptr<Admission> Admission::create(AdmissionTools tools)
{
    std::shared_ptr<Admission> admission(new Admission);
    admission->tools_ = std::move(tools);
    return admission;
}

Admission::Target &Admission::targetOf(const AdmissionParameters &parameters)
{
    const std::string name = std::string(parameters.isModel ? ModelPrefix : ServicePrefix) + parameters.target;
    const auto [target, isNew] = targets_.try_emplace(name);
    if (isNew) {
        target->second.concurrency = initialConcurrencyLimit(tools_.loop->now());
    }
    return target->second;
}

void Admission::requestAdmission(AdmissionParameters parameters, DecisionHandler handler)
{
    auto request = std::make_shared<Request>();
    request->parameters = std::move(parameters);
    request->handler = std::move(handler);
    request->ticket = nextTicket_++;
    undecided_++;
    if (!refuseEarly(request)) {
        acquireLimits(request);
    }
}

// Makes the checks that need no quota of the customer, so that a refused request uses none.
bool Admission::refuseEarly(const RequestPtr &request)
{
    if (open_.size() + undecided_ > tools_.maxOpen) {
        refuse(request, metrics::RefusalReason::Overloaded, OverloadedRetryAfter);
        return true;
    }
    const AdmissionParameters &parameters = request->parameters;
    Target &target = targetOf(parameters);
    const std::size_t ahead = countAhead(target.queue, priorityOf(parameters));
    if (!isDeferrable(parameters)) {
        recordDemand(target.concurrency, ahead, tools_.loop->now());
    }
    if (ahead == 0 && hasCapacity(target.concurrency, isDeferrable(parameters))) {
        return false;
    }
    const Duration expected = expectedWait(target.concurrency, ahead);
    if (waitUpTo(parameters).count() == 0) {
        refuse(request, metrics::RefusalReason::Overloaded, std::max(expected, OverloadedRetryAfter));
        return true;
    }
    if (expected > waitUpTo(parameters)) {
        refuse(request, metrics::RefusalReason::DeadlineImpossible, expected);
        return true;
    }
    return false;
}

void Admission::acquireLimits(const RequestPtr &request)
{
    if (!tools_.limits) {
        reserveSpending(request);
        return;
    }
    const std::weak_ptr<Admission> weak = weak_from_this();
    tools_.limits->acquire(*request->parameters.contract, request->parameters.estimatedTokens, [weak, request](const limits::AcquireResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.acquired) {
            self->refuse(request, result.reason, result.retryAfter);
            return;
        }
        self->reserveSpending(request);
    });
}

void Admission::reserveSpending(const RequestPtr &request)
{
    if (!tools_.spending) {
        admitOrQueue(request);
        return;
    }
    const std::weak_ptr<Admission> weak = weak_from_this();
    const spending::Micros amount = maxCost(request->parameters);
    tools_.spending->reserve(*request->parameters.contract, amount, [weak, request](const spending::ReserveResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (result.outcome == spending::ReserveOutcome::Reserved) {
            request->reservation = result.reservation;
            self->admitOrQueue(request);
            return;
        }
        const bool isBoundReached = result.outcome == spending::ReserveOutcome::BoundReached;
        self->returnReservations(request);
        self->refuse(request, isBoundReached ? metrics::RefusalReason::SpendingBound : metrics::RefusalReason::TableDown, result.retryAfter);
    });
}

void Admission::admitOrQueue(const RequestPtr &request)
{
    Target &target = targetOf(request->parameters);
    const std::size_t ahead = countAhead(target.queue, priorityOf(request->parameters));
    if (ahead == 0 && hasCapacity(target.concurrency, isDeferrable(request->parameters))) {
        admit(request);
        return;
    }
    queueRequest(request);
}

void Admission::queueRequest(const RequestPtr &request)
{
    const AdmissionParameters &parameters = request->parameters;
    const TimePoint deadline = tools_.loop->now() + waitUpTo(parameters);
    const std::int64_t tokens = std::max<std::int64_t>(1, parameters.estimatedTokens);
    request->entry = {request->ticket, parameters.contract->contract.customer, priorityOf(parameters), deadline, tokens};
    waiting_[request->ticket] = request;
    enqueue(targetOf(parameters).queue, request->entry);
    const std::weak_ptr<Admission> weak = weak_from_this();
    request->timer = tools_.loop->after(waitUpTo(parameters), [weak, request] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        Target &target = self->targetOf(request->parameters);
        removeEntry(target.queue, request->entry);
        self->waiting_.erase(request->ticket);
        self->returnReservations(request);
        const Duration expected = expectedWait(target.concurrency, countAhead(target.queue, priorityOf(request->parameters)));
        self->refuse(request, metrics::RefusalReason::DeadlineImpossible, std::max(expected, OverloadedRetryAfter));
    });
}

void Admission::admit(const RequestPtr &request)
{
    ConcurrencyLimit &concurrency = targetOf(request->parameters).concurrency;
    concurrency.inFlight++;
    concurrency.deferrableInFlight += isDeferrable(request->parameters) ? 1 : 0;
    request->admittedAt = tools_.loop->now();
    recordTargets(concurrency, latencyTargetsOf(request->parameters), request->admittedAt);
    open_[request->ticket] = request;
    undecided_--;
    std::exchange(request->handler, nullptr)({true, metrics::RefusalReason::Overloaded, Duration(0), request->ticket});
}

void Admission::admitWaiting(Target &target)
{
    while (target.queue.size > 0) {
        const auto next = dequeue(
            target.queue, [&target](int priority) { return hasCapacity(target.concurrency, priority == static_cast<int>(contract::Priority::Deferrable)); });
        if (!next) {
            return;
        }
        const RequestPtr request = waiting_.at(next->ticket);
        waiting_.erase(next->ticket);
        tools_.loop->cancel(request->timer);
        if (tools_.metrics) {
            tools_.metrics->observe("admission_wait_seconds", tools_.loop->now() - (next->deadline - waitUpTo(request->parameters)));
        }
        admit(request);
    }
}

void Admission::refuse(const RequestPtr &request, metrics::RefusalReason reason, Duration retryAfter)
{
    undecided_--;
    std::exchange(request->handler, nullptr)({false, reason, retryAfter, 0});
}

// For a request that never ran: returns its tokens, its slot and its spending reservation, but not its place in requestsPerSecond.
void Admission::returnReservations(const RequestPtr &request)
{
    if (tools_.limits) {
        tools_.limits->release(request->parameters.contract->contract.customer, request->parameters.estimatedTokens);
    }
    if (tools_.spending) {
        tools_.spending->settle(request->reservation, 0);
    }
}

void Admission::onFirstToken(std::uint64_t ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end() || found->second->hadFirstToken) {
        return;
    }
    Request &request = *found->second;
    request.hadFirstToken = true;
    const TimePoint now = tools_.loop->now();
    request.firstTokenAt = now;
    recordFirstToken(targetOf(request.parameters).concurrency, request.admittedAt, now);
}

void Admission::release(std::uint64_t ticket, const Usage &usage)
{
    const auto found = open_.find(ticket);
    if (found == open_.end()) {
        return;
    }
    const RequestPtr request = found->second;
    const AdmissionParameters &parameters = request->parameters;
    if (!parameters.isModel && usage.ran) {
        onFirstToken(ticket);
    }
    open_.erase(ticket);
    Target &target = targetOf(parameters);
    target.concurrency.inFlight--;
    target.concurrency.deferrableInFlight -= isDeferrable(parameters) ? 1 : 0;
    const TimePoint now = tools_.loop->now();
    recordCompletion(target.concurrency, now - request->admittedAt, now);
    if (request->hadFirstToken && usage.outputTokens > 1) {
        recordTokenInterval(target.concurrency, (now - request->firstTokenAt) / (usage.outputTokens - 1), request->admittedAt, now);
    }
    if (tools_.limits) {
        tools_.limits->release(parameters.contract->contract.customer, parameters.estimatedTokens - chargedTokens(parameters, usage));
    }
    if (tools_.spending) {
        // NOTE The VM that took a request over has no reservation for it, so the whole reservation is spent here.
        tools_.spending->settle(request->reservation, usage.continuesOnPeer ? request->reservation.micros : costOf(parameters, usage));
    }
    admitWaiting(target);
}

std::size_t Admission::openRequests() const
{
    return open_.size();
}

std::size_t Admission::waitingRequests() const
{
    return waiting_.size();
}

} // namespace cardamomlift::admission
