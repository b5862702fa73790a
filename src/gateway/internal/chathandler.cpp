#include "gateway/chathandler.h"

#include "gateway/chatformat.h"
#include "gateway/chatstream.h"
#include "kernel/log.h"
#include "text/digest.h"

#include <fmt/format.h>

#include <algorithm>

namespace cardamomlift::gateway {

namespace {

admission::Usage usageOf(const streams::StreamSession &session)
{
    const streams::StreamState &state = session.state();
    return {state.promptTokens, static_cast<std::int64_t>(state.tokens.size()), !state.tokens.empty(), session.wasHandedOver()};
}

} // namespace

std::unique_ptr<ChatHandler> ChatHandler::create(GatewayTools tools)
{
    std::unique_ptr<ChatHandler> handler(new ChatHandler);
    handler->tools_ = std::move(tools);
    return handler;
}

std::size_t ChatHandler::openSessions() const
{
    return sessions_.size();
}

void ChatHandler::endRequest(const streams::StreamSession &session, std::uint64_t ticket)
{
    tools_.admission->release(ticket, usageOf(session));
    const streams::StreamState &state = session.state();
    const bool isUrgent = state.priority == static_cast<int>(contract::Priority::Urgent);
    tools_.demand->add(state.model, static_cast<std::int64_t>(state.tokens.size()), isUrgent);
}

void ChatHandler::failOpenRequests()
{
    const auto open = sessions_;
    for (const auto &[requestId, session] : open) {
        session->giveUp({metrics::RefusalReason::Draining, "This VM is draining. Send the request again."});
    }
}

void ChatHandler::refuse(const CallerRequest &caller, const CallerError &error)
{
    gateway::refuse(tools_, caller.responder, error);
}

void ChatHandler::handle(CallerRequest caller)
{
    ChatRequestError error;
    const auto request = readChatRequest(caller.http.body, error);
    if (!request) {
        refuse(caller, {error.isJson ? metrics::RefusalReason::BadField : metrics::RefusalReason::BadJson, error.message});
        return;
    }
    const contract::Contract &contract = caller.contract->contract;
    const contract::ModelGrant *grant = contract::findModel(contract, request->model);
    if (!grant) {
        refuse(caller, {metrics::RefusalReason::UnknownModel, fmt::format("The contract grants no model \"{}\".", request->model)});
        return;
    }
    const contract::ServiceClass *serviceClass = contract::findClass(contract, grant->serviceClass);
    admission::AdmissionParameters parameters;
    parameters.contract = caller.contract;
    parameters.serviceClass = *serviceClass;
    parameters.target = request->model;
    parameters.maxPromptTokens = static_cast<std::int64_t>(request->messagesJson.size());
    parameters.maxOutputTokens = std::min(request->maxTokens.value_or(grant->maxOutputTokens), grant->maxOutputTokens);
    parameters.estimatedTokens = request->estimatedPromptTokens + parameters.maxOutputTokens;
    const TimePoint firstTokenDeadline = tools_.loop->now() + std::chrono::milliseconds(serviceClass->waitUpToMs + serviceClass->firstTokenMs);
    tools_.admission->requestAdmission(parameters,
        [this, caller, request = *request, grant = *grant, serviceClass = *serviceClass, firstTokenDeadline](admission::AdmissionDecision decision) {
            if (!decision.admitted) {
                refuse(caller, {decision.reason, std::string(admission::refusalMessage(decision.reason)), decision.retryAfter});
                return;
            }
            if (caller.responder->isClosed()) {
                tools_.admission->release(decision.ticket, {});
                return;
            }
            start(caller, request, grant, serviceClass, firstTokenDeadline, decision.ticket);
        });
}

void ChatHandler::start(const CallerRequest &caller,
    const ChatRequest &request,
    const contract::ModelGrant &grant,
    const contract::ServiceClass &serviceClass,
    TimePoint firstTokenDeadline,
    std::uint64_t ticket)
{
    streams::StreamState state;
    state.requestId = tools_.streamRegistry->newRequestId();
    state.customer = caller.contract->contract.customer;
    state.serviceClass = serviceClass.name;
    state.model = request.model;
    state.messagesJson = request.messagesJson;
    state.maxTokens = std::min(request.maxTokens.value_or(grant.maxOutputTokens), grant.maxOutputTokens);
    // NOTE Always set a seed: if the request is retried on another server, it must generate the same tokens.
    state.seed = request.seed.value_or(text::stableHash(state.requestId) >> 1);
    state.priority = static_cast<int>(serviceClass.priority);
    state.prefixHash = request.prefixHash;
    state.firstTokenDeadline = firstTokenDeadline;
    if (request.stream) {
        startStreamed(caller, std::move(state), ticket);
    } else {
        startUnstreamed(caller, std::move(state), ticket);
    }
}

void ChatHandler::releaseTicketAtEnd(const std::shared_ptr<streams::StreamSession> &session, std::uint64_t ticket)
{
    // NOTE The session owns this callback, so the callback must not own the session.
    session->onEnded([this, raw = session.get(), ticket] { endRequest(*raw, ticket); });
}

void ChatHandler::startStreamed(const CallerRequest &caller, streams::StreamState state, std::uint64_t ticket)
{
    const auto session = std::make_shared<std::weak_ptr<streams::StreamSession>>();
    // The request is accepted once its state is replicated. Until then nothing is sent, and a disconnect cancels the request.
    const auto onAccepted = [this, responder = caller.responder, session, ticket] {
        const auto open = session->lock();
        if (!open || responder->isClosed()) {
            return;
        }
        tools_.metrics->add("requests_accepted_total");
        streamTo(tools_, open, responder, 0, [admission = tools_.admission, ticket] { admission->onFirstToken(ticket); });
    };
    const auto opened = tools_.streamRegistry->open(std::move(state), onAccepted);
    *session = opened;
    releaseTicketAtEnd(opened, ticket);
    caller.responder->onClosed([session] {
        if (const auto open = session->lock()) {
            open->cancel();
        }
    });
}

void ChatHandler::startUnstreamed(const CallerRequest &caller, streams::StreamState state, std::uint64_t ticket)
{
    const std::string requestId = state.requestId;
    streams::SessionTools sessionTools{tools_.loop, tools_.engine, tools_.planner, tools_.metrics, tools_.members};
    const auto session = streams::StreamSession::create(std::move(sessionTools), std::move(state));
    sessions_[requestId] = session;
    session->onEnded([this, requestId, raw = session.get(), ticket] {
        endRequest(*raw, ticket);
        tools_.loop->post([this, requestId] { sessions_.erase(requestId); });
    });
    caller.responder->onClosed([session] { session->cancel(); });
    session->attach(0, completionObserver(caller, *session, ticket));
    session->start();
}

streams::StreamObserver ChatHandler::completionObserver(const CallerRequest &caller, const streams::StreamSession &session, std::uint64_t ticket)
{
    streams::StreamObserver observer;
    observer.onToken = [this, ticket](std::uint64_t, const std::string &) {
        tools_.admission->onFirstToken(ticket);
    };
    observer.onFinished = [this, &session, responder = caller.responder] {
        http::Response response = completionResponse(session.state());
        addServingHeaders(response.headers, tools_.instance, session.state());
        tools_.metrics->add("requests_accepted_total");
        responder->respond(std::move(response));
    };
    observer.onFailed = [this, caller](const streams::StreamFailure &failure) {
        refuse(caller, toCallerError(failure));
    };
    return observer;
}

} // namespace cardamomlift::gateway
