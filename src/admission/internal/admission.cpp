#include "admission/admission.h"

#include "spending/spendingrules.h"

#include <algorithm>

namespace cardamomlift::admission {

namespace {

constexpr Duration OverloadedRetryAfter = std::chrono::seconds(1);
constexpr std::string_view ModelPrefix = "model:";
constexpr std::string_view ServicePrefix = "service:";

spending::Micros costOf(const AdmissionQuestion &question, const Usage &usage)
{
    const contract::Spending &prices = question.contract->contract.spending;
    if (!usage.ran) {
        return 0;
    }
    if (!question.isModel) {
        return spending::callCost(prices, 1);
    }
    // A stream that was cut off early never told its prompt's tokens: then the most they can be.
    const std::int64_t prompt = usage.promptTokens > 0 ? usage.promptTokens : question.mostPromptTokens;
    return spending::tokenCost(prices, prompt + usage.outputTokens);
}

/// Of tokensPerMinute.
std::int64_t usedTokens(const AdmissionQuestion &question, const Usage &usage)
{
    if (usage.goesOnElsewhere) {
        return question.estimatedTokens;
    }
    return usage.ran ? usage.promptTokens + usage.outputTokens : 0;
}

spending::Micros worstCost(const AdmissionQuestion &question)
{
    return costOf(question, {question.mostPromptTokens, question.mostOutputTokens, true});
}

bool isDeferrable(const AdmissionQuestion &question)
{
    return question.serviceClass.priority == contract::Priority::Deferrable;
}

Duration waitUpTo(const AdmissionQuestion &question)
{
    return std::chrono::milliseconds(question.serviceClass.waitUpToMs);
}

LatencyTargets targetsOf(const AdmissionQuestion &question)
{
    return {std::chrono::milliseconds(question.serviceClass.firstTokenMs), std::chrono::milliseconds(question.serviceClass.betweenTokensMs)};
}

} // namespace

/// One request, from ask() to its refusal or release.
struct Admission::Request {
    AdmissionQuestion question;
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

Admission::Target &Admission::targetOf(const AdmissionQuestion &question)
{
    const std::string name = std::string(question.isModel ? ModelPrefix : ServicePrefix) + question.target;
    const auto [target, isNew] = targets_.try_emplace(name);
    if (isNew) {
        target->second.room = startRoom(tools_.loop->now());
    }
    return target->second;
}

void Admission::ask(AdmissionQuestion question, DecisionHandler handler)
{
    auto request = std::make_shared<Request>();
    request->question = std::move(question);
    request->handler = std::move(handler);
    request->ticket = nextTicket_++;
    asked_++;
    if (!refuseAtOnce(request)) {
        takeLimits(request);
    }
}

// What can be told before anything of the customer's limits is used.
bool Admission::refuseAtOnce(const RequestPtr &request)
{
    if (open_.size() + asked_ > tools_.maxOpen) {
        refuse(request, metrics::RefusalReason::Overloaded, OverloadedRetryAfter);
        return true;
    }
    const AdmissionQuestion &question = request->question;
    Target &target = targetOf(question);
    const std::size_t ahead = countAhead(target.queue, question.serviceClass.priority);
    if (!isDeferrable(question)) {
        noteDemand(target.room, ahead, tools_.loop->now());
    }
    if (ahead == 0 && hasRoom(target.room, isDeferrable(question))) {
        return false;
    }
    const Duration expected = expectedWait(target.room, ahead);
    if (waitUpTo(question).count() == 0) {
        refuse(request, metrics::RefusalReason::Overloaded, std::max(expected, OverloadedRetryAfter));
        return true;
    }
    if (expected > waitUpTo(question)) {
        refuse(request, metrics::RefusalReason::DeadlineImpossible, expected);
        return true;
    }
    return false;
}

void Admission::takeLimits(const RequestPtr &request)
{
    if (!tools_.limits) {
        reserveSpending(request);
        return;
    }
    const std::weak_ptr<Admission> weak = weak_from_this();
    tools_.limits->take(*request->question.contract, request->question.estimatedTokens, [weak, request](const limits::TakeResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (!result.taken) {
            self->refuse(request, result.reason, result.retryAfter);
            return;
        }
        self->reserveSpending(request);
    });
}

void Admission::reserveSpending(const RequestPtr &request)
{
    if (!tools_.spending) {
        enterRoom(request);
        return;
    }
    const std::weak_ptr<Admission> weak = weak_from_this();
    const spending::Micros worst = worstCost(request->question);
    tools_.spending->reserve(*request->question.contract, worst, [weak, request](const spending::ReserveResult &result) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        if (result.outcome == spending::ReserveOutcome::Reserved) {
            request->reservation = result.reservation;
            self->enterRoom(request);
            return;
        }
        const bool isBound = result.outcome == spending::ReserveOutcome::BoundReached;
        self->giveBack(request);
        self->refuse(request, isBound ? metrics::RefusalReason::SpendingBound : metrics::RefusalReason::TableDown, result.retryAfter);
    });
}

void Admission::enterRoom(const RequestPtr &request)
{
    Target &target = targetOf(request->question);
    const std::size_t ahead = countAhead(target.queue, request->question.serviceClass.priority);
    if (ahead == 0 && hasRoom(target.room, isDeferrable(request->question))) {
        admit(request);
        return;
    }
    waitForRoom(request);
}

void Admission::waitForRoom(const RequestPtr &request)
{
    const AdmissionQuestion &question = request->question;
    const TimePoint deadline = tools_.loop->now() + waitUpTo(question);
    const std::int64_t cost = std::max<std::int64_t>(1, question.estimatedTokens);
    request->entry = {request->ticket, question.contract->contract.customer, question.serviceClass.priority, deadline, cost};
    waiting_[request->ticket] = request;
    enqueue(targetOf(question).queue, request->entry);
    const std::weak_ptr<Admission> weak = weak_from_this();
    request->timer = tools_.loop->after(waitUpTo(question), [weak, request] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        Target &target = self->targetOf(request->question);
        removeEntry(target.queue, request->entry);
        self->waiting_.erase(request->ticket);
        self->giveBack(request);
        const Duration expected = expectedWait(target.room, countAhead(target.queue, request->question.serviceClass.priority));
        self->refuse(request, metrics::RefusalReason::DeadlineImpossible, std::max(expected, OverloadedRetryAfter));
    });
}

void Admission::admit(const RequestPtr &request)
{
    Room &room = targetOf(request->question).room;
    room.inFlight++;
    room.deferrableInFlight += isDeferrable(request->question) ? 1 : 0;
    request->admittedAt = tools_.loop->now();
    noteTargets(room, targetsOf(request->question), request->admittedAt);
    open_[request->ticket] = request;
    asked_--;
    std::exchange(request->handler, nullptr)({true, metrics::RefusalReason::Overloaded, Duration(0), request->ticket});
}

void Admission::serve(Target &target)
{
    while (target.queue.size > 0) {
        const bool urgent = hasRoom(target.room, false);
        const auto next = takeNext(target.queue, {urgent, urgent, hasRoom(target.room, true)});
        if (!next) {
            return;
        }
        const RequestPtr request = waiting_.at(next->ticket);
        waiting_.erase(next->ticket);
        tools_.loop->cancel(request->timer);
        if (tools_.metrics) {
            tools_.metrics->observe("admission_wait_seconds", tools_.loop->now() - (next->deadline - waitUpTo(request->question)));
        }
        admit(request);
    }
}

void Admission::refuse(const RequestPtr &request, metrics::RefusalReason reason, Duration retryAfter)
{
    asked_--;
    std::exchange(request->handler, nullptr)({false, reason, retryAfter, 0});
}

// The request never ran: nothing of limits and spending is used but its place in the rate.
void Admission::giveBack(const RequestPtr &request)
{
    if (tools_.limits) {
        tools_.limits->release(request->question.contract->contract.customer, request->question.estimatedTokens);
    }
    if (tools_.spending) {
        tools_.spending->settle(request->reservation, 0);
    }
}

void Admission::firstToken(std::uint64_t ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end() || found->second->hadFirstToken) {
        return;
    }
    Request &request = *found->second;
    request.hadFirstToken = true;
    const TimePoint now = tools_.loop->now();
    request.firstTokenAt = now;
    noteFirstToken(targetOf(request.question).room, request.admittedAt, now);
}

void Admission::release(std::uint64_t ticket, const Usage &usage)
{
    const auto found = open_.find(ticket);
    if (found == open_.end()) {
        return;
    }
    const RequestPtr request = found->second;
    const AdmissionQuestion &question = request->question;
    if (!question.isModel && usage.ran) {
        firstToken(ticket);
    }
    open_.erase(ticket);
    Target &target = targetOf(question);
    target.room.inFlight--;
    target.room.deferrableInFlight -= isDeferrable(question) ? 1 : 0;
    const TimePoint now = tools_.loop->now();
    noteEnd(target.room, now - request->admittedAt, now);
    if (request->hadFirstToken && usage.outputTokens > 1) {
        notePace(target.room, (now - request->firstTokenAt) / (usage.outputTokens - 1), request->admittedAt, now);
    }
    if (tools_.limits) {
        tools_.limits->release(question.contract->contract.customer, question.estimatedTokens - usedTokens(question, usage));
    }
    if (tools_.spending) {
        // NOTE The VM that goes on with a request has no reservation: what it may still use is spent here.
        tools_.spending->settle(request->reservation, usage.goesOnElsewhere ? request->reservation.micros : costOf(question, usage));
    }
    serve(target);
}

std::size_t Admission::open() const
{
    return open_.size();
}

std::size_t Admission::waiting() const
{
    return waiting_.size();
}

} // namespace cardamomlift::admission
