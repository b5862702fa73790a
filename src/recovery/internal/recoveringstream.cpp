#include "recovery/internal/recoveringstream.h"

#include "kernel/log.h"
#include "recovery/recoverydecision.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::recovery {

namespace {

using engine::StreamEnd;

constexpr std::int64_t BytesPerToken = 4; ///< Estimate, until the engine reports its count.
constexpr int IntervalSmoothing = 5; ///< Weight of a new interval in the average: one in so many.
constexpr int ResumeIntervals = 4; ///< A resumed stream must produce a token within so many intervals.
constexpr Duration MinResumeWait = std::chrono::milliseconds(300);
constexpr Duration SuccessorTimeout = std::chrono::seconds(10);

} // namespace

RecoveringStream::RecoveringStream(StreamTools tools, engine::EngineHooks hooks, std::function<void()> onEnded)
    : tools_(std::move(tools))
    , hooks_(std::move(hooks))
    , onEnded_(std::move(onEnded))
    , lastProgressAt_(tools_.loop->now())
{
}

AttemptId RecoveringStream::addAttempt(const membership::Vm &server, const std::string &requestId, RecoveryMethod method)
{
    const AttemptId id = nextAttempt_++;
    Attempt &attempt = attempts_[id];
    attempt.server = server;
    attempt.requestId = requestId;
    attempt.method = method;
    attempt.startedAt = tools_.loop->now();
    return id;
}

void RecoveringStream::start(const membership::Vm &server, const engine::EngineRequest &request)
{
    machine_.position = request.continueTokens.size();
    promptTokens_ = static_cast<std::int64_t>(request.messagesJson.size()) / BytesPerToken + 1;
    maxTokens_ = request.maxTokens;
    const RecoveryMethod method = request.continueTokens.empty() ? RecoveryMethod::Stay : RecoveryMethod::Recompute;
    machine_.current = addAttempt(server, request.requestId, method);
    startAttempt(machine_.current, request);
}

void RecoveringStream::join(const membership::Vm &server, const std::string &requestId, std::uint64_t position)
{
    machine_.position = position;
    machine_.resumeTried = true;
    machine_.current = addAttempt(server, requestId, RecoveryMethod::Stay);
    Attempt &attempt = attempts_[machine_.current];
    attempt.hasToken = position > 0;
    attempt.call = tools_.direct->resume(server, requestId, position, connectionHooks(machine_.current));
}

void RecoveringStream::startAttempt(AttemptId id, const engine::EngineRequest &request)
{
    Attempt &attempt = attempts_[id];
    attempt.startedAt = tools_.loop->now();
    attempt.continuedTokens = static_cast<std::int64_t>(request.continueTokens.size());
    if (attempt.method == RecoveryMethod::Recompute) {
        attempt.estimatedPrefillTokens = promptTokens_ + attempt.continuedTokens;
        tools_.estimates->prefillTokensInFlight += attempt.estimatedPrefillTokens;
    }
    attempt.call = tools_.direct->start(attempt.server, request, connectionHooks(id));
}

engine::EngineHooks RecoveringStream::connectionHooks(AttemptId id)
{
    const std::uint64_t connection = nextConnection_++;
    attempts_[id].connection = connection;
    engine::EngineHooks hooks;
    // NOTE A connection that was closed or replaced may still report events; only those of the attempt's last one are handled.
    hooks.onToken = [self = shared_from_this(), id, connection](const engine::Token &token) {
        if (self->findActive(id, connection)) {
            self->handleToken(id, token);
        }
    };
    hooks.onUsage = [self = shared_from_this(), id, connection](std::int64_t promptTokens, std::int64_t cachedTokens) {
        if (self->findActive(id, connection)) {
            self->handleUsage(id, promptTokens, cachedTokens);
        }
    };
    hooks.onEnd = [self = shared_from_this(), id, connection](const engine::EngineResult &result) {
        if (self->findActive(id, connection)) {
            self->handleEnd(id, result);
        }
    };
    return hooks;
}

RecoveringStream::Attempt *RecoveringStream::findActive(AttemptId id, std::uint64_t connection)
{
    const auto found = attempts_.find(id);
    if (machine_.ended || found == attempts_.end() || found->second.connection != connection) {
        return nullptr;
    }
    return &found->second;
}

void RecoveringStream::handleToken(AttemptId id, const engine::Token &token)
{
    const StreamActions actions = onToken(machine_, id, token.position);
    eventSource_ = id;
    const auto self = shared_from_this();
    apply(actions);
    if (const auto found = attempts_.find(id); found != attempts_.end() && id == machine_.current) {
        recordToken(found->second);
    }
    if (actions.forward) {
        hooks_.onToken(token);
    }
}

void RecoveringStream::recordToken(Attempt &attempt)
{
    const TimePoint now = tools_.loop->now();
    tools_.stalledServers->erase(attempt.server.instance);
    if (attempt.hasToken && !isResuming_) {
        const auto interval = std::chrono::duration_cast<Duration>(now - lastProgressAt_);
        betweenTokens_ += (interval - betweenTokens_) / (betweenTokens_.count() == 0 ? 1 : IntervalSmoothing);
    }
    if (!attempt.hasToken) {
        tools_.estimates->prefillTokensInFlight -= std::exchange(attempt.estimatedPrefillTokens, 0);
        recordPrefill(*tools_.estimates, attempt.uncachedTokens, std::chrono::duration_cast<Duration>(now - attempt.startedAt) - betweenTokens_);
        if (attempt.method != RecoveryMethod::Stay) {
            tools_.metrics->add(fmt::format("streams_moved_total{{how=\"{}\"}}", recoveryMethodName(attempt.method)));
        }
    }
    if (std::exchange(isResuming_, false)) {
        tools_.metrics->add(fmt::format("streams_moved_total{{how=\"{}\"}}", recoveryMethodName(RecoveryMethod::Resume)));
    }
    attempt.hasToken = true;
    lastProgressAt_ = now;
}

void RecoveringStream::handleUsage(AttemptId id, std::int64_t promptTokens, std::int64_t cachedTokens)
{
    Attempt &attempt = attempts_[id];
    promptTokens_ = promptTokens;
    attempt.uncachedTokens = std::max<std::int64_t>(0, promptTokens + attempt.continuedTokens - cachedTokens);
    if (attempt.continuedTokens == 0 || std::exchange(attempt.hasUsage, true)) {
        return;
    }
    tools_.metrics->add("tokens_recomputed_total", static_cast<std::uint64_t>(attempt.uncachedTokens));
    if (attempt.method == RecoveryMethod::Recompute) {
        recordCachedShare(*tools_.estimates, promptTokens, cachedTokens);
    }
}

void RecoveringStream::handleEnd(AttemptId id, const engine::EngineResult &result)
{
    Attempt &attempt = attempts_[id];
    attempt.result = result;
    // If a resume is refused, the attempt has still run.
    attempt.result.wasConnected = result.wasConnected || attempt.hasToken;
    attempt.hasEnded = true;
    attempt.connection = 0;
    eventSource_ = id;
    failedMoves_ += id == machine_.successor ? 1 : 0;
    const std::string instance = attempt.server.instance;
    if (result.end == StreamEnd::Broken && !result.timedOut && hooks_.onConnectionBroken) {
        hooks_.onConnectionBroken(instance);
    }
    apply(onAttemptEnd(machine_, id, result.end));
    if (!machine_.ended && id != machine_.current) {
        removeAttempt(id, result.end);
    }
}

void RecoveringStream::handleStall(AttemptId id)
{
    Attempt &attempt = attempts_[id];
    tools_.metrics->add("streams_silent_total");
    if (attempt.hasToken) {
        tools_.stalledServers->emplace(attempt.server.instance, tools_.loop->now());
    }
    partLogger("recovery")->info("Stream stalled. server={} attempt={}", attempt.server.instance, attempt.requestId);
    attempt.result.end = StreamEnd::Broken;
    attempt.result.wasConnected = true;
    attempt.result.timedOut = true;
    attempt.result.error = "stalled";
    attempt.hasEnded = true;
    failedMoves_ += id == machine_.successor ? 1 : 0;
    eventSource_ = id;
    apply(onStalled(machine_, id));
}

void RecoveringStream::apply(const StreamActions &actions)
{
    const auto self = shared_from_this();
    for (const AttemptId id : actions.cancel) {
        if (actions.end && id == eventSource_) {
            // Not removed here: finish() reports its result.
            tools_.direct->cancel(attempts_[id].server, attempts_[id].requestId, attempts_[id].call);
            continue;
        }
        cancelAttempt(id);
    }
    if (actions.switched) {
        failedMoves_ = 0;
        isResuming_ = false;
    }
    if (actions.resume) {
        resumeCurrent();
    }
    if (actions.prepareMove) {
        prepareMove();
    }
    if (actions.end) {
        finish(*actions.end);
    }
    if (isExporting_ && machine_.current == NoAttempt) {
        // The current attempt was lost during the export, and its cache with it.
        isExporting_ = false;
        startSuccessor(preparedAttempt_, {});
    }
}

void RecoveringStream::cancelAttempt(AttemptId id)
{
    const Attempt &attempt = attempts_[id];
    const StreamEnd end = attempt.hasEnded ? attempt.result.end : StreamEnd::Cancelled;
    if (attempt.call != 0) {
        tools_.direct->cancel(attempt.server, attempt.requestId, attempt.call);
    }
    removeAttempt(id, end);
}

void RecoveringStream::removeAttempt(AttemptId id, StreamEnd end)
{
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    const std::string instance = found->second.server.instance;
    tools_.estimates->prefillTokensInFlight -= found->second.estimatedPrefillTokens;
    attempts_.erase(found);
    if (hooks_.onAttemptEnded) {
        hooks_.onAttemptEnded(instance, end);
    }
}

void RecoveringStream::resumeCurrent()
{
    Attempt &attempt = attempts_[machine_.current];
    if (attempt.connection != 0) {
        attempt.connection = 0;
        tools_.direct->disconnect(attempt.call);
    }
    attempt.hasEnded = false;
    isResuming_ = true;
    lastProgressAt_ = tools_.loop->now();
    attempt.call = tools_.direct->resume(attempt.server, attempt.requestId, machine_.position, connectionHooks(machine_.current));
}

std::string RecoveringStream::server() const
{
    const auto found = attempts_.find(machine_.current);
    return found == attempts_.end() || machine_.ended ? std::string() : found->second.server.instance;
}

void RecoveringStream::checkStall()
{
    const TimePoint now = tools_.loop->now();
    if (const auto found = attempts_.find(machine_.successor); found != attempts_.end() && now - found->second.startedAt > SuccessorTimeout) {
        handleStall(machine_.successor);
    }
    const auto found = attempts_.find(machine_.current);
    if (machine_.ended || found == attempts_.end()) {
        return;
    }
    if (now - lastProgressAt_ > currentStallLimit(found->second)) {
        handleStall(machine_.current);
    }
}

Duration RecoveringStream::currentStallLimit(const Attempt &attempt) const
{
    if (isResuming_) {
        return std::max(MinResumeWait, ResumeIntervals * betweenTokens_);
    }
    // Before the first token, the request may be queued at the server, unless other streams stalled at the same server.
    return stallLimit(betweenTokens_, attempt.hasToken || tools_.stalledServers->contains(attempt.server.instance));
}

void RecoveringStream::resetStallTimer()
{
    lastProgressAt_ = tools_.loop->now();
}

void RecoveringStream::cancel()
{
    eventSource_ = machine_.current;
    apply(onCancel(machine_));
}

void RecoveringStream::disconnect()
{
    if (machine_.ended) {
        return;
    }
    machine_.ended = true;
    isExporting_ = false;
    const AttemptId last = attempts_.empty() ? NoAttempt : attempts_.rbegin()->first;
    for (auto &[id, attempt] : attempts_) {
        if (attempt.call == 0) {
            continue;
        }
        // NOTE The VM that takes over resumes the attempt chosen last; nobody would read an older one.
        if (id == last) {
            tools_.direct->disconnect(attempt.call);
        } else {
            tools_.direct->cancel(attempt.server, attempt.requestId, attempt.call);
        }
    }
    eventSource_ = machine_.current;
    finish(StreamEnd::Cancelled);
}

void RecoveringStream::finish(StreamEnd end)
{
    isExporting_ = false;
    preparedAttempt_ = NoAttempt;
    engine::EngineResult result;
    if (const auto found = attempts_.find(eventSource_); found != attempts_.end()) {
        result = found->second.result;
        result.server = found->second.server.instance;
        tools_.estimates->prefillTokensInFlight -= found->second.estimatedPrefillTokens;
        attempts_.erase(found);
    }
    result.end = end;
    while (!attempts_.empty()) {
        removeAttempt(attempts_.begin()->first, StreamEnd::Cancelled);
    }
    const auto self = shared_from_this();
    // Posted, so that onEnd is never called inside a call of the owner.
    tools_.loop->post([self, result = std::move(result)] {
        self->onEnded_();
        self->hooks_.onEnd(result);
        self->hooks_ = {};
    });
}

} // namespace cardamomlift::recovery
