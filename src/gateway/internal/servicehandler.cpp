#include "gateway/servicehandler.h"

#include "http/json.h"
#include "kernel/log.h"
#include "text/digest.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::gateway {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
constexpr char IdempotencyHeader[] = "Idempotency-Key";
constexpr char NotRunHeader[] = "X-Not-Run";
// The outcome of a refusal is that of this request only. This header says that the idempotency key was not looked up, so an
// earlier request with the same key may have run.
constexpr char KeyOutcomeHeader[] = "Cardamomlift-Key-Outcome";
constexpr char KeyNotLookedUp[] = "not-looked-up";
constexpr std::size_t MaxKeyLength = 255;
constexpr Duration RetryAfterShort = std::chrono::seconds(1);
constexpr Duration RetryAfterLong = std::chrono::seconds(5);
constexpr Duration MinTimeout = std::chrono::milliseconds(1); ///< libcurl treats a timeout of 0 as no timeout.
constexpr Duration MinClaimWait = std::chrono::milliseconds(250);

bool isValidKey(std::string_view key)
{
    const auto isPrintable = [](char c) {
        return c > ' ' && c <= '~';
    };
    return !key.empty() && key.size() <= MaxKeyLength && std::all_of(key.begin(), key.end(), isPrintable);
}

std::string formatTimestamp(std::int64_t seconds)
{
    return fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(static_cast<std::time_t>(seconds)));
}

bool isMarkedNotRun(const http::ClientResult &result)
{
    return result.transport == http::Transport::Completed && http::headerValue(result.headers, NotRunHeader) == "true";
}

retry::FailureKind failureKindOf(const http::ClientResult &result, bool refused)
{
    if (refused) {
        return retry::FailureKind::Refused;
    }
    // The only proof that the server did not run the call is that no byte was sent on the connection.
    if (result.transport == http::Transport::NotSent) {
        return retry::FailureKind::NotSent;
    }
    return result.timedOut ? retry::FailureKind::TimedOut : retry::FailureKind::ConnectionBroken;
}

} // namespace

/// One call to a service.
struct ServiceHandler::Call {
    CallerRequest caller;
    std::string service;
    std::string path;
    contract::ServiceGrant grant;
    contract::ServiceClass serviceClass;
    std::uint64_t ticket = 0;
    claims::Claim claim;
    retry::RequestRecord record;
    TimePoint deadline;
    bool keyLookedUp = false;
    bool ended = false;
};

std::unique_ptr<ServiceHandler> ServiceHandler::create(GatewayTools tools)
{
    std::unique_ptr<ServiceHandler> handler(new ServiceHandler);
    handler->tools_ = std::move(tools);
    return handler;
}

std::size_t ServiceHandler::openCalls() const
{
    return openCalls_;
}

void ServiceHandler::refuse(const std::shared_ptr<Call> &call, CallerError error)
{
    tools_.metrics->refused(error.reason);
    http::Response response = errorResponse(error);
    if (!call->grant.idempotent && !call->keyLookedUp) {
        response.headers[KeyOutcomeHeader] = KeyNotLookedUp;
    }
    call->caller.responder->respond(std::move(response));
    end(call, false);
}

void ServiceHandler::end(const std::shared_ptr<Call> &call, bool ran)
{
    if (call->ended) {
        return;
    }
    call->ended = true;
    openCalls_--;
    if (call->ticket != 0) {
        tools_.admission->release(call->ticket, {0, 0, ran});
    }
}

void ServiceHandler::handle(CallerRequest caller)
{
    auto call = std::make_shared<Call>();
    openCalls_++;
    call->caller = std::move(caller);
    const std::string &full = call->caller.http.path;
    const auto slash = full.find('/', ServicePrefix.size());
    call->service = full.substr(ServicePrefix.size(), slash - ServicePrefix.size());
    call->path = slash == std::string::npos ? "/" : full.substr(slash);
    const contract::Contract &contract = call->caller.contract->contract;
    const contract::ServiceGrant *grant = contract::findService(contract, call->service, call->path);
    if (!grant) {
        refuse(call, {metrics::RefusalReason::UnknownService, fmt::format("The contract grants no service \"{}\" at \"{}\".", call->service, call->path)});
        return;
    }
    call->grant = *grant;
    call->serviceClass = *contract::findClass(contract, grant->serviceClass);
    const std::string_view key = http::headerValue(call->caller.http.headers, IdempotencyHeader);
    call->deadline = tools_.loop->now() + std::chrono::milliseconds(grant->timeoutMs);
    if (!grant->idempotent && !isValidKey(key)) {
        refuse(call,
            {metrics::RefusalReason::MissingIdempotencyKey,
                "This service is not idempotent: send an Idempotency-Key of 1 to 255 printable ASCII characters without spaces."});
        return;
    }
    retry::RequestRecord &record = call->record;
    record.route.role = membership::VmRole::Service;
    record.route.name = call->service;
    record.route.customer = contract.customer;
    record.route.urgency = static_cast<routing::Urgency>(call->serviceClass.priority);
    record.idempotent = grant->idempotent;
    record.deadline = call->deadline;
    record.fingerprint = suspects::fingerprintOf(contract.customer, call->service, full + call->caller.http.body);
    admission::AdmissionParameters parameters;
    parameters.contract = call->caller.contract;
    parameters.serviceClass = call->serviceClass;
    parameters.target = call->service;
    parameters.isModel = false;
    tools_.admission->requestAdmission(parameters, [this, call](admission::AdmissionDecision decision) {
        if (!decision.admitted) {
            refuse(call, {decision.reason, std::string(admission::refusalMessage(decision.reason)), decision.retryAfter});
            return;
        }
        call->ticket = decision.ticket;
        if (call->caller.responder->isClosed()) {
            end(call, false);
            return;
        }
        begin(call);
    });
}

void ServiceHandler::begin(const std::shared_ptr<Call> &call)
{
    if (call->grant.idempotent) {
        dispatch(call);
        return;
    }
    const http::Request &request = call->caller.http;
    claims::ClaimRequest claim;
    claim.customer = call->caller.contract->contract.customer;
    claim.key = std::string(http::headerValue(request.headers, IdempotencyHeader));
    claim.bodyHash = text::sha256Hex(request.method + " " + request.path + "\n" + request.body);
    claim.claimTimeout = std::max(MinClaimWait, Duration(std::chrono::milliseconds(call->serviceClass.waitUpToMs)));
    claim.answerTimeout = std::max(Duration(0), call->deadline - tools_.loop->now());
    tools_.claims->begin(std::move(claim), [this, call](claims::BeginResult result) { onClaim(call, result); });
}

void ServiceHandler::onClaim(const std::shared_ptr<Call> &call, const claims::BeginResult &result)
{
    call->claim = result.claim;
    call->keyLookedUp = result.keyLookedUp;
    switch (result.outcome) {
    case claims::BeginOutcome::Run:
        dispatch(call);
        return;
    case claims::BeginOutcome::Replay:
        replay(call, result.response);
        return;
    case claims::BeginOutcome::StillRunning:
        refuse(call, {metrics::RefusalReason::StillRunning, "A call with this idempotency key is still running.", RetryAfterShort, ErrorOutcome::Unknown});
        return;
    case claims::BeginOutcome::OutcomeUnknown:
        refuse(call, {metrics::RefusalReason::OutcomeUnknown, "A call with this idempotency key may have run.", RetryAfterLong, ErrorOutcome::Unknown});
        return;
    case claims::BeginOutcome::KeyReused:
        refuse(call, {metrics::RefusalReason::IdempotencyKeyReused, "This idempotency key was already used with a different request."});
        return;
    case claims::BeginOutcome::NotRun:
        refuse(call, {metrics::RefusalReason::TableDown, "The idempotency key could not be recorded, so the call was not run.", RetryAfterShort});
        return;
    }
}

void ServiceHandler::replay(const std::shared_ptr<Call> &call, const claims::StoredResponse &stored)
{
    http::Response response{stored.status, {{"Content-Type", stored.contentType}}, stored.body};
    if (!stored.hasBody) {
        Json::Value body;
        body["answered"] = true;
        body["status"] = stored.status;
        body["message"] = "The call with this idempotency key was run and answered. The response was too large to be stored.";
        response = http::jsonResponse(stored.status, body);
        response.headers["Idempotent-Body-Kept"] = "false";
    }
    response.headers["Idempotent-Replayed"] = "true";
    response.headers["X-Served-By"] = tools_.instance;
    tools_.metrics->add("replayed_total");
    call->caller.responder->respond(std::move(response));
    end(call, false);
}

void ServiceHandler::refuseNotRun(const std::shared_ptr<Call> &call, const CallerError &error)
{
    if (!call->grant.idempotent) {
        tools_.claims->finish(call->claim, claims::Outcome::NotRun, {});
    }
    refuse(call, error);
}

void ServiceHandler::dispatch(const std::shared_ptr<Call> &call)
{
    const bool isInTime = tools_.loop->now() < call->deadline && (call->grant.idempotent || tools_.claims->mayDispatch(call->claim));
    if (!isInTime) {
        fail(call, {metrics::RefusalReason::DeadlineImpossible, "The call could not be sent before its deadline.", RetryAfterShort});
        return;
    }
    const retry::AttemptPlan plan = tools_.planner->planAttempt(call->record);
    if (plan.kind != retry::PlanKind::Try) {
        followPlan(call, plan);
        return;
    }
    const auto &server = plan.server;
    http::ClientRequest request;
    request.method = call->caller.http.method;
    request.url = fmt::format("http://{}:{}{}", server->address, server->port, call->path);
    request.body = call->caller.http.body;
    request.timeout = std::max(MinTimeout, call->deadline - tools_.loop->now());
    request.freshConnection = !call->grant.idempotent;
    request.mayResend = call->grant.idempotent;
    request.headers["X-Instance"] = server->instance;
    for (const char *name : {"Content-Type", IdempotencyHeader}) {
        const std::string_view value = http::headerValue(call->caller.http.headers, name);
        if (!value.empty()) {
            request.headers[name] = std::string(value);
        }
    }
    http::ClientHooks hooks;
    if (!call->grant.idempotent) {
        hooks.mayStillSend = [this, call] {
            return tools_.claims->mayDispatch(call->claim);
        };
    }
    hooks.onHeaders = [this, instance = server->instance](int status, const http::Headers &headers) {
        tools_.announcements->note(instance, status, headers);
    };
    hooks.onDone = [this, call, server = *server](http::ClientResult result) {
        onResponse(call, server, std::move(result));
    };
    tools_.client->start(std::move(request), std::move(hooks));
}

void ServiceHandler::onResponse(const std::shared_ptr<Call> &call, const membership::Vm &server, http::ClientResult result)
{
    const bool refused = isMarkedNotRun(result);
    if (result.transport == http::Transport::Completed && !refused) {
        tools_.planner->attemptEnded(call->record, server.instance, routing::AttemptEnd::Answered);
        respond(call, result, server.instance);
        return;
    }
    if (result.heldBack) {
        tools_.planner->attemptEnded(call->record, server.instance, routing::AttemptEnd::Cancelled);
        fail(call, {metrics::RefusalReason::DeadlineImpossible, "The call could not be sent before its deadline.", RetryAfterShort});
        return;
    }
    const retry::FailureKind failure = failureKindOf(result, refused);
    if (retry::mayHaveRun(failure)) {
        partLogger("gateway")->warn("A service call failed and may have run. server={} error={}", server.instance, result.error);
    }
    followPlan(call, tools_.planner->attemptFailed(call->record, server.instance, failure));
}

void ServiceHandler::followPlan(const std::shared_ptr<Call> &call, const retry::AttemptPlan &plan)
{
    if (plan.kind == retry::PlanKind::Wait) {
        tools_.loop->after(plan.wait, [this, call] { dispatch(call); });
        return;
    }
    fail(call, {plan.reason, plan.message, plan.retryAfter});
}

void ServiceHandler::fail(const std::shared_ptr<Call> &call, CallerError error)
{
    if (!call->record.mayHaveRun) {
        refuseNotRun(call, error);
        return;
    }
    if (!call->grant.idempotent) {
        tools_.claims->finish(call->claim, claims::Outcome::Unknown, {});
    }
    error.outcome = ErrorOutcome::Unknown;
    refuse(call, error);
}

void ServiceHandler::respond(const std::shared_ptr<Call> &call, const http::ClientResult &result, const std::string &server)
{
    http::Response response{result.status, {}, result.body};
    const std::string contentType(http::headerValue(result.headers, "Content-Type"));
    response.headers["Content-Type"] = contentType;
    response.headers["X-Served-By"] = tools_.instance;
    response.headers["X-Backend"] = server;
    if (!call->grant.idempotent) {
        // NOTE The response goes to the caller before the table has it: a caller with a response need not retry. Retries that
        // reach this VM get the same response.
        tools_.claims->finish(call->claim, claims::Outcome::Answered, {result.status, contentType, result.body});
        response.headers["Idempotency-Expires"] = formatTimestamp(call->claim.expiresAt);
    }
    tools_.metrics->add("requests_accepted_total");
    call->caller.responder->respond(std::move(response));
    end(call, true);
}

} // namespace cardamomlift::gateway
