#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// The last of the priorities that engines know.
constexpr int LowestServerPriority = 9;

} // namespace

int ForwardedRequest::priority() const
{
    return customer_ && customer_->priority ? *customer_->priority : route_->priority;
}

// A plain service has no order of its own, and one whose requests are all alike needs none.
std::optional<int> ForwardedRequest::serverPriority() const
{
    const manifest::Service *service = manifest_->service(service_);
    if (!service || !service->engine || !manifest_->hasPriorities(service_)) {
        return std::nullopt;
    }
    return std::clamp(priority(), 0, LowestServerPriority);
}

AdmissionQuestion ForwardedRequest::admissionQuestion() const
{
    AdmissionQuestion question;
    question.service = service_;
    question.priority = priority();
    question.customer = customer_ ? presence::nameHash(customer_->name) : 0;
    question.promptTokens = request_.promptTokens;
    question.outputTokens = request_.outputTokens;
    question.latencyGoal = route_->latencyGoal;
    question.arrivedAt = exchange_->startedAt();
    question.deadline = deadline_;
    question.salt = salt();
    return question;
}

// A request that another VM has handed over was admitted there.
bool ForwardedRequest::mayUseServers()
{
    if (!tools_.admission || source_ == RequestSource::Peer || admission_ == AdmissionState::Admitted) {
        return true;
    }
    if (admission_ == AdmissionState::Waiting) {
        return false;
    }
    admission_ = AdmissionState::Asking;
    admissionTicket_ = tools_.admission->ask(admissionQuestion(), [weak = weak_from_this()](const AdmissionVerdict &verdict) {
        const auto self = weak.lock();
        if (self && !self->finished_) {
            self->onAdmission(verdict);
        }
    });
    if (admission_ == AdmissionState::Asking) {
        admission_ = AdmissionState::Waiting;
    }
    return admission_ == AdmissionState::Admitted;
}

void ForwardedRequest::onAdmission(const AdmissionVerdict &verdict)
{
    const bool hasWaited = admission_ == AdmissionState::Waiting;
    if (!verdict.isAdmitted) {
        admission_ = AdmissionState::Refused;
        logAdmission(verdict);
        refuse(StatusUnavailable, FailureReason::NoRoom, verdict.retryAfter);
        return;
    }
    admission_ = AdmissionState::Admitted;
    if (hasWaited) {
        logAdmission(verdict);
        dispatch();
    }
}

void ForwardedRequest::releaseAdmission()
{
    if (tools_.admission && admissionTicket_ != 0) {
        tools_.admission->release(std::exchange(admissionTicket_, 0));
    }
}

Duration ForwardedRequest::serversFullRetryAfter() const
{
    return tools_.admission ? tools_.admission->retryAfter(service_, priority()) : ServersFullRetryAfter;
}

void ForwardedRequest::logAdmission(const AdmissionVerdict &verdict) const
{
    tools_.log->write(Event::RequestAdmission,
        {{Attribute::Request, request_.id},
            {Attribute::Service, service_},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Priority, std::int64_t(priority())},
            {Attribute::Outcome, verdict.isAdmitted ? "admitted" : "refused"},
            {Attribute::SharePercent, static_cast<std::int64_t>(verdict.admittedShare * 100)},
            {Attribute::Open, verdict.open},
            {Attribute::Slots, verdict.slots},
            {Attribute::DemandPerSecond, verdict.demandPerSecond},
            {Attribute::ServedPerSecond, verdict.servedPerSecond},
            {Attribute::AgeMs, toMilliseconds(verdict.age)},
            {Attribute::WaitMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::LeftMs, toMilliseconds(timeLeft())},
            {Attribute::RetryAfterMs, toMilliseconds(verdict.retryAfter)}});
}

} // namespace cardamomlift::forwarding
