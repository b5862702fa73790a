#include "gateway/servicehandler.h"

#include "kernel/log.h"
#include "text/digest.h"

#include <fmt/format.h>

namespace cardamomlift::gateway {

namespace {

constexpr std::string_view ServicePrefix = "/services/";
constexpr char IdempotencyHeader[] = "Idempotency-Key";
constexpr std::size_t LongestKey = 255;
constexpr std::size_t MostAttempts = 3;
constexpr Duration ComeBackSoon = std::chrono::seconds(1);

} // namespace

/// One call of a plain service.
struct ServiceHandler::Call {
    CallerRequest caller;
    std::string service;
    std::string path;
    contract::ServiceGrant grant;
    contract::ServiceClass serviceClass;
    std::uint64_t ticket = 0;
    claims::Claim claim;
    std::vector<std::string> tried;
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
    return open_;
}

void ServiceHandler::refuse(const std::shared_ptr<Call> &call, CallerError error)
{
    tools_.metrics->refused(error.reason);
    call->caller.responder->respond(errorResponse(error));
    end(call, false);
}

void ServiceHandler::end(const std::shared_ptr<Call> &call, bool ran)
{
    if (call->ended) {
        return;
    }
    call->ended = true;
    open_--;
    if (call->ticket != 0) {
        tools_.admission->release(call->ticket, {0, 0, ran});
    }
}

void ServiceHandler::handle(CallerRequest caller)
{
    auto call = std::make_shared<Call>();
    open_++;
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
    if (!grant->idempotent && (key.empty() || key.size() > LongestKey)) {
        refuse(call, {metrics::RefusalReason::MissingIdempotencyKey, "This call may not be repeated: send an Idempotency-Key of at most 255 characters."});
        return;
    }
    admission::AdmissionQuestion question;
    question.contract = call->caller.contract;
    question.serviceClass = call->serviceClass;
    question.target = call->service;
    question.isModel = false;
    tools_.admission->ask(question, [this, call](admission::AdmissionDecision decision) {
        if (!decision.admitted) {
            refuse(call, {decision.reason, "The call was not let in.", decision.retryAfter});
            return;
        }
        call->ticket = decision.ticket;
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
    tools_.claims->begin(std::move(claim), [this, call](claims::BeginResult result) { onClaim(call, result); });
}

void ServiceHandler::onClaim(const std::shared_ptr<Call> &call, const claims::BeginResult &result)
{
    call->claim = result.claim;
    switch (result.outcome) {
    case claims::BeginOutcome::Run:
        dispatch(call);
        return;
    case claims::BeginOutcome::Replay: {
        http::Response response{result.answer.status, {{"Content-Type", result.answer.contentType}}, result.answer.body};
        response.headers["Idempotent-Replayed"] = "true";
        response.headers["X-Served-By"] = tools_.instance;
        call->caller.responder->respond(std::move(response));
        end(call, false);
        return;
    }
    case claims::BeginOutcome::StillRunning:
        refuse(call, {metrics::RefusalReason::StillRunning, "A call with this key is running.", ComeBackSoon, ErrorOutcome::Unknown});
        return;
    case claims::BeginOutcome::OutcomeUnknown:
        refuse(call, {metrics::RefusalReason::OutcomeUnknown, "A call with this key may have run.", Duration(0), ErrorOutcome::Unknown});
        return;
    case claims::BeginOutcome::KeyReused:
        refuse(call, {metrics::RefusalReason::IdempotencyKeyReused, "This key was used with another request."});
        return;
    case claims::BeginOutcome::NotRun:
        refuse(call, {metrics::RefusalReason::TableDown, "The call can't be claimed now; it was not run.", ComeBackSoon});
        return;
    }
}

void ServiceHandler::dispatch(const std::shared_ptr<Call> &call)
{
    routing::RouteQuestion question;
    question.role = membership::VmRole::Service;
    question.name = call->service;
    question.customer = call->caller.contract->contract.customer;
    question.exclude = call->tried;
    const auto server = call->tried.size() < MostAttempts ? tools_.router->choose(question) : std::nullopt;
    if (!server) {
        const CallerError error{metrics::RefusalReason::NoBackend, "No server runs this service now.", ComeBackSoon};
        if (call->grant.idempotent) {
            refuse(call, error);
            return;
        }
        tools_.claims->finish(call->claim, claims::Outcome::NotRun, {}, [this, call, error] { refuse(call, error); });
        return;
    }
    call->tried.push_back(server->instance);
    http::ClientRequest request;
    request.method = call->caller.http.method;
    request.url = fmt::format("http://{}:{}{}", server->address, server->port, call->path);
    request.body = call->caller.http.body;
    request.timeout = std::chrono::milliseconds(call->grant.timeoutMs);
    request.freshConnection = !call->grant.idempotent;
    request.headers["X-Instance"] = server->instance;
    for (const char *name : {"Content-Type", IdempotencyHeader}) {
        const std::string_view value = http::headerValue(call->caller.http.headers, name);
        if (!value.empty()) {
            request.headers[name] = std::string(value);
        }
    }
    tools_.router->started(server->instance);
    tools_.metrics->add("attempts_total");
    http::ClientHooks hooks;
    hooks.onDone = [this, call, server = *server](http::ClientResult result) {
        onAnswer(call, server, std::move(result));
    };
    tools_.client->start(std::move(request), std::move(hooks));
}

void ServiceHandler::onAnswer(const std::shared_ptr<Call> &call, const membership::Vm &server, http::ClientResult result)
{
    const bool answered = result.transport == http::Transport::Completed;
    tools_.router->finished(server.instance, answered ? routing::AttemptEnd::Answered : routing::AttemptEnd::Failed);
    if (answered) {
        answer(call, result, server.instance);
        return;
    }
    // Only a connection that never carried a byte proves that the server did not run the call.
    const bool mayRepeat = call->grant.idempotent || result.transport == http::Transport::NotSent;
    if (mayRepeat) {
        const bool connected = result.transport != http::Transport::NotSent;
        tools_.metrics->retried(connected ? metrics::RetryReason::ServerFailed : metrics::RetryReason::ConnectFailed);
        dispatch(call);
        return;
    }
    partLogger("gateway")->warn("A call may have run. server={} error={}", server.instance, result.error);
    tools_.claims->finish(call->claim, claims::Outcome::Unknown, {}, [this, call] {
        refuse(call, {metrics::RefusalReason::OutcomeUnknown, "The service did not answer; the call may have run.", Duration(0), ErrorOutcome::Unknown});
    });
}

void ServiceHandler::answer(const std::shared_ptr<Call> &call, const http::ClientResult &result, const std::string &server)
{
    http::Response response{result.status, {}, result.body};
    const std::string contentType(http::headerValue(result.headers, "Content-Type"));
    response.headers["Content-Type"] = contentType;
    response.headers["X-Served-By"] = tools_.instance;
    response.headers["X-Backend"] = server;
    const auto send = [this, call, response] {
        tools_.metrics->add("requests_accepted_total");
        call->caller.responder->respond(response);
        end(call, true);
    };
    if (call->grant.idempotent) {
        send();
        return;
    }
    tools_.claims->finish(call->claim, claims::Outcome::Answered, {result.status, contentType, result.body}, send);
}

} // namespace cardamomlift::gateway
