#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"
#include "forwarding/internal/promptparts.h"
#include "relay/relayformat.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr double Percent = 100;

std::string_view kindName(manifest::RouteKind kind)
{
    switch (kind) {
    case manifest::RouteKind::Idempotent:
        return "idempotent";
    case manifest::RouteKind::NonIdempotent:
        return "non_idempotent";
    case manifest::RouteKind::Stream:
        return "stream";
    }
    return "unknown";
}

/// Whether the reason lies in this VM alone, so that the VM that has handed the request over may ask another one.
bool mayBeServedElsewhere(FailureReason reason)
{
    switch (reason) {
    case FailureReason::NoManifest:
    case FailureReason::StaleKeys:
    case FailureReason::NoServer:
    case FailureReason::Draining:
    case FailureReason::CutOff:
    case FailureReason::ManifestBehind:
    case FailureReason::ServersLimited:
        return true;
    default:
        return false;
    }
}

} // namespace

void ForwardedRequest::onDeadline()
{
    if (finished_) {
        return;
    }
    if (attempt_) {
        const bool connected = attempt_->channel->isConnected();
        runs_ += connected ? 1 : 0;
        if (connected && !attempt_->hasFirstByte && !attempt_->failureNoted) {
            noteVersionOutcome(std::nullopt);
        }
        logAttempt("deadline");
        noteRunGivenUp();
        endAttempt(false);
    }
    if (relay_) {
        runs_ += relay_->channel->isConnected() ? 1 : 0;
        logRelay("deadline");
        endRelay(false);
    }
    if (runs_ > 0) {
        fail(StatusGatewayTimeout, FailureReason::OutOfTime);
        return;
    }
    refuse(StatusUnavailable, FailureReason::OutOfTime, ServersFullRetryAfter);
}

void ForwardedRequest::onCallerGone()
{
    if (finished_) {
        return;
    }
    const std::string server = attempt_ ? attempt_->server->server.instance : std::string();
    noteRunGivenUp();
    endAttempt(false);
    endRelay(false);
    tools_.metrics->add("requests_gone_total");
    tools_.log->write(Event::RequestGone,
        {{Attribute::Request, request_.id},
            {Attribute::Server, server},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::Attempt, std::int64_t(sends_)}});
    finish();
}

void ForwardedRequest::refuse(int status, FailureReason reason, Duration retryAfter)
{
    if (allowanceTaken_) {
        tools_.allowances->refund(*customer_, cost());
    }
    http1::ResponseHead head;
    head.status = status;
    if (retryAfter.count() > 0) {
        head.fields.add("Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()));
    }
    // What a server has refused would reach the next one as a repeat.
    if (source_ == RequestSource::Peer && mayBeServedElsewhere(reason) && !wasRefusedByServer_) {
        relay::markUnavailable(head);
    }
    const auto age = tools_.manifests->age(tools_.loop->now());
    const std::string part = suspectedPart_ ? formatParts(std::span(&*suspectedPart_, 1)) : std::string();
    tools_.metrics->add(fmt::format("forwarding_refusals_total{{reason=\"{}\"}}", reasonName(reason)));
    tools_.log->write(Event::RequestRefused,
        {{Attribute::Request, request_.id},
            {Attribute::Reason, reasonName(reason)},
            {Attribute::Status, std::int64_t(status)},
            {Attribute::Route, route_ ? std::string_view(route_->name) : std::string_view()},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Version, static_cast<std::int64_t>(manifest_ ? manifest_->manifest().version : 0)},
            {Attribute::AgeMs, age ? toMilliseconds(*age) : std::int64_t(-1)},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::Parts, part},
            {Attribute::RetryAfterMs, toMilliseconds(retryAfter)}});
    exchange_->answer(std::move(head), {});
    finish();
}

void ForwardedRequest::fail(int status, FailureReason reason)
{
    tools_.metrics->add(fmt::format("forwarding_failures_total{{reason=\"{}\"}}", reasonName(reason)));
    tools_.log->write(Event::RequestFailed,
        {{Attribute::Request, request_.id},
            {Attribute::Reason, reasonName(reason)},
            {Attribute::Status, std::int64_t(hasStreamStarted() ? 0 : status)},
            {Attribute::Route, route_->name},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())}});
    endAttempt(false);
    endRelay(false);
    if (hasStreamStarted()) {
        exchange_->abort();
        finish();
        return;
    }
    http1::ResponseHead head;
    head.status = status;
    exchange_->answer(std::move(head), {});
    finish();
}

void ForwardedRequest::finish()
{
    if (finished_) {
        return;
    }
    finished_ = true;
    if (demandNoted_) {
        tools_.demand->noteEnded(service_);
    }
    tools_.loop->cancel(deadlineTimer_);
    tools_.loop->cancel(connectTimer_);
    tools_.loop->cancel(silenceTimer_);
    tools_.loop->cancel(dispatchTimer_);
    tools_.loop->cancel(moveTimer_);
    tools_.loop->cancel(relayTimer_);
    abandonMove();
    releaseAdmission();
    forwarder_.forget(this);
}

void ForwardedRequest::observeStep(std::string_view step) const
{
    const std::string labels = fmt::format("kind=\"{}\",step=\"{}\"", kindName(route_->kind), step);
    tools_.metrics->observe("request_seconds", tools_.loop->now() - exchange_->startedAt(), labels);
}

void ForwardedRequest::logAttempt(std::string_view outcome)
{
    const auto &server = attempt_->server->server;
    const auto &load = tools_.pool->load(server.instance);
    const bool isAnswered = outcome == "answered";
    if (isAnswered) {
        observeStep("whole");
    }
    const std::string identity = isAnswered ? std::string() : fmt::format("{:016x}", fingerprint());
    const std::string parts = isAnswered ? std::string() : formatParts(sharedParts_);
    tools_.log->write(isAnswered ? Event::RequestAnswered : Event::AttemptFailed,
        {{Attribute::Request, request_.id},
            {Attribute::Route, route_->name},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Server, server.instance},
            {Attribute::Zone, server.zone},
            {Attribute::Outcome, outcome},
            {Attribute::Status, std::int64_t(attempt_->head.status)},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::Version, static_cast<std::int64_t>(manifest_->manifest().version)},
            {Attribute::Open, std::int64_t(load.localOpenRequests)},
            {Attribute::Tokens, request_.promptTokens},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())},
            {Attribute::Framing, attempt_->hasHead ? http1::framingName(http1::framingOf(attempt_->head)) : std::string_view()},
            {Attribute::Unfinished, static_cast<std::int64_t>(splitter_.incompleteEvent().size())},
            {Attribute::FirstEventMs, headSent_ ? toMilliseconds(firstEventAt_ - exchange_->startedAt()) : std::int64_t(-1)},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::LeftMs, toMilliseconds(timeLeft())},
            {Attribute::Fingerprint, identity},
            {Attribute::Parts, parts},
            {Attribute::RetriesLeft, static_cast<std::int64_t>(forwarder_.budget(service_).credit())}});
}

void ForwardedRequest::logDispatch(const Choice &choice) const
{
    const directory::BackendServer &server = choice.server->server;
    const auto &load = tools_.pool->load(server.instance);
    const auto age = tools_.manifests->age(tools_.loop->now());
    const auto listAge = tools_.directory->listAge(tools_.loop->now());
    const auto perSecond = tools_.limits ? tools_.limits->requestsPerSecond(server.instance) : std::nullopt;
    const std::string limit = perSecond ? fmt::format("{}", *perSecond) : std::string();
    tools_.log->write(Event::RequestDispatched,
        {{Attribute::Request, request_.id},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Tokens, cost()},
            {Attribute::Server, server.instance},
            {Attribute::Zone, server.zone},
            {Attribute::Software, server.version},
            {Attribute::Resumes, request_.resumedRequest},
            {Attribute::Outcome, choice.pick == VersionPick::OnTrial ? "on_trial" : "usual"},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::Candidates, static_cast<std::int64_t>(choice.candidates)},
            {Attribute::Outliers, static_cast<std::int64_t>(choice.outliers)},
            {Attribute::BackingOff, static_cast<std::int64_t>(choice.backingOff)},
            {Attribute::Deferred, static_cast<std::int64_t>(choice.deferred)},
            {Attribute::Limit, limit},
            {Attribute::Limited, static_cast<std::int64_t>(choice.limited)},
            {Attribute::Open, std::int64_t(load.localOpenRequests)},
            {Attribute::Reported, std::int64_t(load.reportedAt ? load.reportedRequests : -1)},
            {Attribute::WaitingTokens, load.localWaitingTokens},
            {Attribute::Cached, choice.cachedTokens},
            {Attribute::ToRead, choice.prefillTokens},
            {Attribute::Source, choice.kvFetchFrom},
            {Attribute::ReportAgeMs, load.reportedAt ? millisecondsSince(*load.reportedAt) : std::int64_t(-1)},
            {Attribute::Version, static_cast<std::int64_t>(manifest_->manifest().version)},
            {Attribute::AgeMs, age ? toMilliseconds(*age) : std::int64_t(-1)},
            {Attribute::Era, static_cast<std::int64_t>(tools_.directory->listVersion().era)},
            {Attribute::ListVersion, static_cast<std::int64_t>(tools_.directory->listVersion().number)},
            {Attribute::ListAgeMs, listAge ? toMilliseconds(*listAge) : std::int64_t(-1)},
            {Attribute::PacePercent, std::int64_t(std::lround(choice.pace * Percent))},
            {Attribute::LeftMs, toMilliseconds(timeLeft())}});
}

void ForwardedRequest::logAllowance(const AllowanceDecision &decision) const
{
    tools_.log->write(Event::AllowanceUsedUp,
        {{Attribute::Request, request_.id},
            {Attribute::Customer, customer_->name},
            {Attribute::Tokens, decision.requested},
            {Attribute::Left, decision.remaining},
            {Attribute::LimitPerSecond, decision.limitPerSecond},
            {Attribute::HerePerSecond, decision.localDemandPerSecond},
            {Attribute::ElsewherePerSecond, decision.remoteDemandPerSecond}});
}

} // namespace cardamomlift::forwarding
