#include "gateway/gateway.h"

#include "kernel/log.h"
#include "text/digest.h"

namespace cardamomlift::gateway {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view ServicePrefix = "/services/";
constexpr std::string_view RequestsPrefix = "/v1/requests/";
constexpr Duration RetryAfterShort = std::chrono::seconds(1);

metrics::RefusalReason refusalReasonOf(int status)
{
    switch (status) {
    case 413:
        return metrics::RefusalReason::BodyTooLarge;
    case 431:
        return metrics::RefusalReason::HeaderTooLarge;
    default:
        return metrics::RefusalReason::SlowSender;
    }
}

CallerError notServingError(lifecycle::Phase phase)
{
    if (phase == lifecycle::Phase::Draining) {
        return {metrics::RefusalReason::Draining, "This VM is draining and accepts no new requests.", RetryAfterShort};
    }
    const bool isStarting = phase == lifecycle::Phase::Starting;
    return {
        metrics::RefusalReason::NotReady, isStarting ? "This VM has no configuration yet." : "This VM's configuration may be out of date.", RetryAfterShort};
}

http::Response httpServerErrorResponse(int status)
{
    return errorResponse({refusalReasonOf(status), status == 413 ? "The request body is too large." : "The request could not be read."});
}

} // namespace

Result<std::shared_ptr<Gateway>> Gateway::create(GatewayTools tools, http::ServerOptions options, std::shared_ptr<clientbudget::ClientBudget> budget)
{
    std::shared_ptr<Gateway> gateway(new Gateway);
    gateway->tools_ = tools;
    gateway->chat_ = ChatHandler::create(tools);
    gateway->resume_ = ResumeHandler::create(tools);
    gateway->services_ = ServiceHandler::create(tools);
    gateway->relay_ = PeerRelay::create(tools);
    auto server = http::Server::create(
        *tools.loop,
        std::move(options),
        [raw = gateway.get()](http::Request request, std::shared_ptr<http::Responder> responder) { raw->onRequest(std::move(request), std::move(responder)); },
        std::move(budget));
    if (!server) {
        return server.error();
    }
    gateway->server_ = std::move(server.value());
    gateway->server_->setErrorBody(&httpServerErrorResponse);
    gateway->server_->setRefusalHandler([metrics = tools.metrics](int status) { metrics->refused(refusalReasonOf(status)); });
    return gateway;
}

std::uint16_t Gateway::port() const
{
    return server_->port();
}

void Gateway::stopListening()
{
    server_->stopListening();
}

void Gateway::failOpenRequests()
{
    chat_->failOpenRequests();
}

std::size_t Gateway::openRequests() const
{
    return server_->openRequests() + chat_->openSessions() + services_->openCalls();
}

// A request that another VM has handed over may be served by a third one.
void Gateway::refuse(const std::shared_ptr<http::Responder> &responder, const CallerError &error, bool isRelayed)
{
    tools_.metrics->refused(error.reason);
    partLogger("gateway")->debug("Refused. reason={}", metrics::reasonName(error.reason));
    responder->respond(isRelayed ? PeerRelay::unavailableResponse(error) : errorResponse(error));
}

void Gateway::onRequest(http::Request request, std::shared_ptr<http::Responder> responder)
{
    const lifecycle::Phase phase = tools_.lifecycle->phase();
    if (request.path == "/health") {
        const bool ready = phase == lifecycle::Phase::Ready;
        responder->respond({ready ? 200 : 503, {{"Content-Type", "text/plain"}}, ready ? "ready\n" : "not ready\n"});
        return;
    }
    const bool isRelayed = relay_->takeMark(request);
    if (!tools_.lifecycle->acceptsWork()) {
        refuse(responder, notServingError(phase), isRelayed);
        return;
    }
    if (tools_.memory->isOverLimit()) {
        refuse(responder, {metrics::RefusalReason::Overloaded, "This VM is low on memory.", RetryAfterShort}, isRelayed);
        return;
    }
    if (isRelayed && tools_.reachability->state() == reachability::State::Unreachable) {
        refuse(responder, {metrics::RefusalReason::NoBackend, "This VM reaches no server.", RetryAfterShort}, isRelayed);
        return;
    }
    const std::string_view authorization = http::headerValue(request.headers, "Authorization");
    if (!authorization.starts_with(BearerPrefix)) {
        refuse(responder, {metrics::RefusalReason::MissingCredential, "Send an API key as a bearer token in the Authorization header."});
        return;
    }
    auto contract = tools_.contracts->findByKeyHash(text::sha256Hex(authorization.substr(BearerPrefix.size())));
    if (!contract) {
        refuse(responder, {metrics::RefusalReason::UnknownCredential, "This API key is not known."});
        return;
    }
    if (!isRelayed && relay_->shouldRelay() && relay_->start(request, responder)) {
        return;
    }
    CallerRequest caller{std::move(contract), std::move(request), std::move(responder)};
    if (caller.http.path == "/v1/chat/completions" && caller.http.method == "POST") {
        chat_->handle(std::move(caller));
    } else if (caller.http.path.starts_with(RequestsPrefix)) {
        resume_->handle(caller);
    } else if (caller.http.path.starts_with(ServicePrefix)) {
        services_->handle(std::move(caller));
    } else {
        refuse(caller.responder, {metrics::RefusalReason::UnknownPath, "No such path or method."});
    }
}

} // namespace cardamomlift::gateway
