#include "streams/streamsession.h"

#include "kernel/log.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::streams {

namespace {

constexpr std::size_t BytesPerToken = 4; ///< Estimate for prompts.
constexpr int StreamNotFoundStatus = 404;

routing::AttemptEnd toAttemptEnd(engine::StreamEnd end)
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

retry::FailureKind failureKindOf(const engine::EngineResult &result)
{
    if (!result.wasConnected) {
        return retry::FailureKind::NotSent;
    }
    if (result.end == engine::StreamEnd::Refused) {
        return retry::FailureKind::Refused;
    }
    return result.timedOut ? retry::FailureKind::TimedOut : retry::FailureKind::ConnectionBroken;
}

} // namespace

std::shared_ptr<StreamSession> StreamSession::create(SessionTools tools, StreamState state)
{
    std::shared_ptr<StreamSession> session(new StreamSession);
    session->tools_ = std::move(tools);
    session->state_ = std::move(state);
    session->record_ = session->newRecord();
    return session;
}

void StreamSession::start()
{
    startNextAttempt();
}

retry::RequestRecord StreamSession::newRecord() const
{
    retry::RequestRecord record;
    record.route.name = state_.model;
    record.route.customer = state_.customer;
    record.route.prefixHash = state_.prefixHash;
    record.route.promptTokens = static_cast<std::int64_t>(state_.messagesJson.size() / BytesPerToken);
    record.route.urgency = static_cast<routing::Urgency>(state_.priority);
    record.fingerprint = suspects::fingerprintOf(state_.customer, state_.model, state_.messagesJson);
    record.position = state_.tokens.size();
    record.accepted = !state_.tokens.empty();
    record.deadline = state_.firstTokenDeadline;
    for (const Attempt &attempt : state_.attempts) {
        if (!attempt.isUnknownToServer) {
            record.tried.push_back(attempt.server);
        }
    }
    return record;
}

std::optional<engine::NextAttempt> StreamSession::nextAttempt()
{
    const auto server = ended_ ? std::nullopt : tools_.planner->planMove(record_);
    if (!server) {
        return std::nullopt;
    }
    server_ = server;
    return engine::NextAttempt{*server, addAttempt(*server)};
}

void StreamSession::applyPlan(const retry::AttemptPlan &plan)
{
    if (plan.kind == retry::PlanKind::GiveUp) {
        fail({plan.reason, plan.message, plan.retryAfter});
        return;
    }
    tools_.loop->after(plan.wait, [self = shared_from_this()] {
        if (self->isDetached_) {
            self->isWaitingForReader_ = true;
        } else if (!self->ended_) {
            self->startNextAttempt();
        }
    });
}

void StreamSession::startNextAttempt()
{
    const retry::AttemptPlan plan = tools_.planner->planAttempt(record_);
    if (plan.kind != retry::PlanKind::Try) {
        applyPlan(plan);
        return;
    }
    server_ = plan.server;
    const engine::EngineRequest request = addAttempt(*server_);
    if (observerPosition_ > state_.tokens.size()) {
        // The caller has received tokens that this VM does not have; they are computed again. The engine client counts
        // the recomputed tokens of the prompt and of the known output.
        tools_.metrics->add("tokens_recomputed_total", observerPosition_ - state_.tokens.size());
    }
    receivedEnd_ = 0;
    isJoining_ = false;
    call_ = tools_.engine->start(*server_, request, makeHooks(++engineStream_));
}

engine::EngineRequest StreamSession::addAttempt(const membership::Vm &server)
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
    if (number > 0 && newAttemptHandler_) {
        newAttemptHandler_();
    }
    return request;
}

void StreamSession::join()
{
    if (state_.finished) {
        end();
        return;
    }
    // The caller may have received a part of the answer already, so the request counts as accepted.
    record_.accepted = true;
    if (state_.attempts.empty()) {
        startNextAttempt();
        return;
    }
    const membership::Vm *server = tools_.members->find(state_.attempts.back().server);
    if (!server || server->state == membership::VmState::Gone) {
        startNextAttempt();
        return;
    }
    server_ = *server;
    isJoining_ = true;
    tools_.planner->adoptAttempt(record_, *server_);
    tools_.metrics->add("streams_joined_total");
    call_ = tools_.engine->resume(*server_, state_.attempts.back().engineRequestId, state_.tokens.size(), makeHooks(++engineStream_));
}

engine::EngineHooks StreamSession::makeHooks(std::size_t engineStream)
{
    engine::EngineHooks hooks;
    hooks.onToken = [self = shared_from_this(), engineStream](const engine::Token &token) {
        self->onToken(engineStream, token);
    };
    hooks.onEnd = [self = shared_from_this(), engineStream](const engine::EngineResult &result) {
        self->onEnd(engineStream, result);
    };
    hooks.nextAttempt = [self = shared_from_this()] {
        return self->nextAttempt();
    };
    hooks.outputTokens = [self = shared_from_this()] {
        return std::span<const std::string>(self->state_.tokens);
    };
    hooks.onAttemptEnded = [self = shared_from_this()](const std::string &instance, engine::StreamEnd end) {
        self->tools_.planner->attemptReplaced(self->record_, instance, toAttemptEnd(end));
    };
    hooks.onConnectionBroken = [self = shared_from_this()](const std::string &instance) {
        self->tools_.planner->connectionBroken(instance);
    };
    return hooks;
}

void StreamSession::onToken(std::size_t engineStream, const engine::Token &token)
{
    // Ignore late tokens of an earlier engine stream.
    if (ended_ || engineStream != engineStream_) {
        return;
    }
    receivedEnd_ = std::max(receivedEnd_, token.position + 1);
    // Drop duplicates and tokens after a gap.
    if (token.position != state_.tokens.size()) {
        return;
    }
    isJoining_ = false;
    state_.tokens.push_back(token.text);
    tools_.planner->progressed(record_, state_.tokens.size());
    const auto observer = observer_;
    if (observer && observerPosition_ == token.position) {
        observerPosition_++;
        observer->onToken(token.position, token.text);
    }
}

void StreamSession::onEnd(std::size_t engineStream, const engine::EngineResult &result)
{
    const bool isCurrent = !ended_ && engineStream == engineStream_;
    const bool isFinal = result.end == engine::StreamEnd::Finished || result.end == engine::StreamEnd::Rejected;
    if (!isCurrent || isFinal) {
        tools_.planner->attemptEnded(record_, result.server, toAttemptEnd(result.end));
    }
    if (!isCurrent) {
        return;
    }
    // NOTE If a token is missing, the answer is incomplete: the rest comes from another attempt.
    if (result.end == engine::StreamEnd::Finished && receivedEnd_ <= state_.tokens.size()) {
        state_.finished = true;
        state_.finishReason = result.finishReason;
        state_.promptTokens = result.promptTokens;
        state_.cachedTokens = result.cachedTokens;
        if (const auto observer = observer_) {
            observer->onFinished();
        }
        end();
        return;
    }
    // NOTE Checks the status and not the end: a client that first tried another recovery method reports a broken stream.
    const bool isUnknownToServer = isJoining_ && result.status == StreamNotFoundStatus;
    if (isUnknownToServer) {
        state_.attempts.back().isUnknownToServer = true;
        std::erase(record_.tried, result.server);
    } else if (result.end == engine::StreamEnd::Rejected) {
        fail({metrics::RefusalReason::BadField, "The engine rejected the request.", Duration(0)});
        return;
    }
    partLogger("streams")->info("Attempt failed. request={} server={} status={} error={}", state_.requestId, result.server, result.status, result.error);
    const retry::FailureKind failure = isUnknownToServer ? retry::FailureKind::Refused : failureKindOf(result);
    const retry::AttemptPlan plan = tools_.planner->attemptFailed(record_, result.server, failure);
    if (isDetached_) {
        isWaitingForReader_ = true;
        return;
    }
    applyPlan(plan);
}

void StreamSession::attach(std::uint64_t position, StreamObserver observer)
{
    const auto replaced = std::exchange(observer_, std::make_shared<StreamObserver>(std::move(observer)));
    if (replaced && replaced->onReplaced) {
        replaced->onReplaced();
    }
    isDetached_ = false;
    observerPosition_ = position;
    const auto reader = observer_;
    while (observer_ == reader && observerPosition_ < state_.tokens.size()) {
        const std::uint64_t next = observerPosition_++;
        reader->onToken(next, state_.tokens[next]);
    }
    if (observer_ != reader) {
        return;
    }
    if (state_.finished) {
        reader->onFinished();
    } else if (failure_) {
        reader->onFailed(*failure_);
    } else if (std::exchange(isWaitingForReader_, false)) {
        startNextAttempt();
    }
}

void StreamSession::detach()
{
    observer_.reset();
    isDetached_ = true;
}

bool StreamSession::isDetached() const
{
    return isDetached_;
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

bool StreamSession::wasHandedOver() const
{
    return wasHandedOver_;
}

void StreamSession::handOver()
{
    const auto reader = std::exchange(observer_, nullptr);
    if (!ended_) {
        tools_.engine->disconnect(call_);
        wasHandedOver_ = true;
        end();
    }
    if (reader && reader->onReplaced) {
        reader->onReplaced();
    }
}

void StreamSession::giveUp(const StreamFailure &failure)
{
    if (ended_) {
        return;
    }
    if (server_) {
        tools_.engine->cancel(*server_, state_.attempts.back().engineRequestId, call_);
    }
    fail(failure);
}

bool StreamSession::hasEnded() const
{
    return ended_;
}

const StreamState &StreamSession::state() const
{
    return state_;
}

void StreamSession::onEnded(std::function<void()> handler)
{
    if (ended_) {
        handler();
        return;
    }
    endedHandler_ = std::move(handler);
}

void StreamSession::onNewAttempt(std::function<void()> handler)
{
    newAttemptHandler_ = std::move(handler);
}

void StreamSession::fail(const StreamFailure &failure)
{
    failure_ = failure;
    if (const auto observer = observer_) {
        observer->onFailed(failure);
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
