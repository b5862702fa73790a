#include "streams/streamsession.h"

#include "kernel/log.h"

#include <fmt/format.h>

namespace cardamomlift::streams {

namespace {

constexpr std::size_t MostAttempts = 4;

routing::AttemptEnd attemptEnd(engine::StreamEnd end)
{
    switch (end) {
    case engine::StreamEnd::Finished:
    case engine::StreamEnd::Rejected:
        return routing::AttemptEnd::Answered;
    case engine::StreamEnd::Refused:
        return routing::AttemptEnd::Refused;
    case engine::StreamEnd::Broken:
        return routing::AttemptEnd::Failed;
    case engine::StreamEnd::Cancelled:
        return routing::AttemptEnd::Cancelled;
    }
    return routing::AttemptEnd::Failed;
}

metrics::RetryReason retryReason(const engine::EngineResult &result)
{
    if (!result.wasConnected) {
        return metrics::RetryReason::ConnectFailed;
    }
    return result.end == engine::StreamEnd::Refused ? metrics::RetryReason::ServerRefused : metrics::RetryReason::StreamBroken;
}

} // namespace

std::shared_ptr<StreamSession> StreamSession::create(SessionTools tools, StreamState state)
{
    std::shared_ptr<StreamSession> session(new StreamSession);
    session->tools_ = std::move(tools);
    session->state_ = std::move(state);
    return session;
}

void StreamSession::start()
{
    tryNext();
}

std::optional<membership::Vm> StreamSession::chooseServer() const
{
    routing::RouteQuestion question;
    question.name = state_.model;
    question.customer = state_.customer;
    question.prefixHash = state_.prefixHash;
    for (const Attempt &attempt : state_.attempts) {
        question.exclude.push_back(attempt.server);
    }
    return tools_.router->choose(question);
}

std::optional<engine::NextAttempt> StreamSession::nextAttempt()
{
    const auto server = ended_ ? std::nullopt : chooseServer();
    if (!server) {
        return std::nullopt;
    }
    moves_++;
    server_ = server;
    return engine::NextAttempt{*server, beginAttempt(*server)};
}

void StreamSession::tryNext()
{
    // A move away from a leaving server is no failure.
    if (state_.attempts.size() - moves_ >= MostAttempts) {
        fail({metrics::RefusalReason::RetriesExhausted, "The request failed on several servers."});
        return;
    }
    server_ = chooseServer();
    if (!server_) {
        fail({metrics::RefusalReason::NoBackend, "No server runs this model now."});
        return;
    }
    const engine::EngineRequest request = beginAttempt(*server_);
    call_ = tools_.engine->start(*server_, request, hooksOf(++run_));
}

engine::EngineRequest StreamSession::beginAttempt(const membership::Vm &server)
{
    const std::size_t number = state_.attempts.size();
    state_.attempts.push_back({server.instance, fmt::format("{}-{}", state_.requestId, number)});
    engine::EngineRequest request;
    request.model = state_.model;
    request.messagesJson = state_.messagesJson;
    request.maxTokens = state_.maxTokens;
    request.seed = state_.seed;
    request.priority = state_.priority;
    request.requestId = state_.attempts.back().engineRequestId;
    request.continueTokens = state_.tokens;
    tools_.router->started(server.instance);
    tools_.metrics->add("attempts_total");
    return request;
}

engine::EngineHooks StreamSession::hooksOf(std::size_t run)
{
    engine::EngineHooks hooks;
    hooks.onToken = [self = shared_from_this(), run](const engine::Token &token) {
        self->onToken(run, token);
    };
    hooks.onEnd = [self = shared_from_this(), run](const engine::EngineResult &result) {
        self->onEnd(run, result);
    };
    hooks.onMove = [self = shared_from_this()] {
        return self->nextAttempt();
    };
    hooks.soFar = [self = shared_from_this()] {
        return std::span<const std::string>(self->state_.tokens);
    };
    hooks.onLeft = [self = shared_from_this()](const std::string &instance, engine::StreamEnd end) {
        self->tools_.router->finished(instance, attemptEnd(end));
    };
    return hooks;
}

void StreamSession::onToken(std::size_t run, const engine::Token &token)
{
    // A late byte of an earlier run, or a position that was seen already.
    if (ended_ || run != run_ || token.position != state_.tokens.size()) {
        return;
    }
    state_.tokens.push_back(token.text);
    if (view_ && viewPosition_ == token.position) {
        viewPosition_++;
        view_->onToken(token.position, token.text);
    }
}

void StreamSession::onEnd(std::size_t run, const engine::EngineResult &result)
{
    if (!result.server.empty()) {
        tools_.router->finished(result.server, attemptEnd(result.end));
    }
    if (ended_ || run != run_) {
        return;
    }
    if (result.end == engine::StreamEnd::Finished) {
        state_.finished = true;
        state_.finishReason = result.finishReason;
        state_.promptTokens = result.promptTokens;
        state_.cachedTokens = result.cachedTokens;
        if (view_) {
            view_->onFinished();
        }
        end();
        return;
    }
    if (result.end == engine::StreamEnd::Rejected) {
        fail({metrics::RefusalReason::BadField, "The engine rejected the request.", Duration(0)});
        return;
    }
    partLogger("streams")->info("An attempt failed. request={} server={} status={} error={}", state_.requestId, result.server, result.status, result.error);
    tools_.metrics->retried(retryReason(result));
    tryNext();
}

void StreamSession::attach(std::uint64_t position, StreamView view)
{
    view_ = std::move(view);
    viewPosition_ = position;
    while (view_ && viewPosition_ < state_.tokens.size()) {
        const std::uint64_t next = viewPosition_++;
        view_->onToken(next, state_.tokens[next]);
    }
    if (view_ && state_.finished) {
        view_->onFinished();
    } else if (view_ && failure_) {
        view_->onFailed(*failure_);
    }
}

void StreamSession::detach()
{
    view_.reset();
}

void StreamSession::cancel()
{
    if (ended_) {
        return;
    }
    if (server_) {
        tools_.engine->cancel(*server_, state_.attempts.back().engineRequestId, call_);
    }
    end();
}

const StreamState &StreamSession::state() const
{
    return state_;
}

void StreamSession::onEnded(std::function<void()> handler)
{
    endedHandler_ = std::move(handler);
}

void StreamSession::fail(const StreamFailure &failure)
{
    failure_ = failure;
    if (view_) {
        view_->onFailed(failure);
    }
    end();
}

void StreamSession::end()
{
    if (ended_) {
        return;
    }
    ended_ = true;
    if (endedHandler_) {
        auto handler = std::move(endedHandler_);
        handler();
    }
}

} // namespace cardamomlift::streams
