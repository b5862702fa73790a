#include "recovery/internal/recoveringstream.h"

#include "kernel/log.h"
#include "recovery/recoverydecision.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::recovery {

namespace {

using engine::StreamEnd;

constexpr std::int64_t BytesPerToken = 4; ///< A guess, until the engine says its count.
constexpr int IntervalWeight = 5; ///< One in so many: the weight of a new interval.
constexpr int ResumeIntervals = 4; ///< A joined stream gives a token within so many intervals.
constexpr Duration ResumeAnswerWait = std::chrono::milliseconds(300);
constexpr Duration SuccessorWait = std::chrono::seconds(10);

} // namespace

RecoveringStream::RecoveringStream(StreamTools tools, engine::EngineHooks hooks, std::function<void()> forget)
    : tools_(std::move(tools))
    , hooks_(std::move(hooks))
    , forget_(std::move(forget))
    , lastHeard_(tools_.loop->now())
{
}

LegId RecoveringStream::addLeg(const membership::Vm &server, const std::string &requestId, RecoveryMethod method)
{
    const LegId id = nextLeg_++;
    Leg &leg = legs_[id];
    leg.server = server;
    leg.requestId = requestId;
    leg.method = method;
    leg.startedAt = tools_.loop->now();
    return id;
}

void RecoveringStream::start(const membership::Vm &server, const engine::EngineRequest &request)
{
    machine_.position = request.continueTokens.size();
    promptTokens_ = static_cast<std::int64_t>(request.messagesJson.size()) / BytesPerToken + 1;
    maxTokens_ = request.maxTokens;
    const RecoveryMethod method = request.continueTokens.empty() ? RecoveryMethod::Stay : RecoveryMethod::Recompute;
    machine_.current = addLeg(server, request.requestId, method);
    startLeg(machine_.current, request);
}

void RecoveringStream::join(const membership::Vm &server, const std::string &requestId, std::uint64_t position)
{
    machine_.position = position;
    machine_.resumeTried = true;
    machine_.current = addLeg(server, requestId, RecoveryMethod::Stay);
    Leg &leg = legs_[machine_.current];
    leg.hasToken = position > 0;
    leg.call = tools_.direct->resume(server, requestId, position, connectionHooks(machine_.current));
}

void RecoveringStream::startLeg(LegId id, const engine::EngineRequest &request)
{
    Leg &leg = legs_[id];
    leg.startedAt = tools_.loop->now();
    leg.continuedTokens = static_cast<std::int64_t>(request.continueTokens.size());
    if (leg.method == RecoveryMethod::Recompute) {
        leg.prefillGuess = promptTokens_ + leg.continuedTokens;
        tools_.estimates->prefillTokensInFlight += leg.prefillGuess;
    }
    leg.call = tools_.direct->start(leg.server, request, connectionHooks(id));
}

engine::EngineHooks RecoveringStream::connectionHooks(LegId id)
{
    const std::uint64_t connection = nextConnection_++;
    legs_[id].connection = connection;
    engine::EngineHooks hooks;
    // NOTE A connection that was closed or replaced may still report; only the leg's last one is listened to.
    hooks.onToken = [self = shared_from_this(), id, connection](const engine::Token &token) {
        if (self->listening(id, connection)) {
            self->legToken(id, token);
        }
    };
    hooks.onUsage = [self = shared_from_this(), id, connection](std::int64_t promptTokens, std::int64_t cachedTokens) {
        if (self->listening(id, connection)) {
            self->legUsage(id, promptTokens, cachedTokens);
        }
    };
    hooks.onEnd = [self = shared_from_this(), id, connection](const engine::EngineResult &result) {
        if (self->listening(id, connection)) {
            self->legEnd(id, result);
        }
    };
    return hooks;
}

RecoveringStream::Leg *RecoveringStream::listening(LegId id, std::uint64_t connection)
{
    const auto found = legs_.find(id);
    if (machine_.ended || found == legs_.end() || found->second.connection != connection) {
        return nullptr;
    }
    return &found->second;
}

void RecoveringStream::legToken(LegId id, const engine::Token &token)
{
    const StreamStep step = onToken(machine_, id, token.position);
    lastEvent_ = id;
    const auto self = shared_from_this();
    apply(step);
    if (const auto found = legs_.find(id); found != legs_.end() && id == machine_.current) {
        noteToken(found->second);
    }
    if (step.forward) {
        hooks_.onToken(token);
    }
}

void RecoveringStream::noteToken(Leg &leg)
{
    const TimePoint now = tools_.loop->now();
    tools_.silentServers->erase(leg.server.instance);
    if (leg.hasToken && !resuming_) {
        const auto interval = std::chrono::duration_cast<Duration>(now - lastHeard_);
        betweenTokens_ += (interval - betweenTokens_) / (betweenTokens_.count() == 0 ? 1 : IntervalWeight);
    }
    if (!leg.hasToken) {
        tools_.estimates->prefillTokensInFlight -= std::exchange(leg.prefillGuess, 0);
        learnPrefill(*tools_.estimates, leg.uncachedTokens, std::chrono::duration_cast<Duration>(now - leg.startedAt) - betweenTokens_);
        if (leg.method != RecoveryMethod::Stay) {
            tools_.metrics->add(fmt::format("streams_moved_total{{how=\"{}\"}}", recoveryMethodName(leg.method)));
        }
    }
    if (std::exchange(resuming_, false)) {
        tools_.metrics->add(fmt::format("streams_moved_total{{how=\"{}\"}}", recoveryMethodName(RecoveryMethod::Resume)));
    }
    leg.hasToken = true;
    lastHeard_ = now;
}

void RecoveringStream::legUsage(LegId id, std::int64_t promptTokens, std::int64_t cachedTokens)
{
    Leg &leg = legs_[id];
    promptTokens_ = promptTokens;
    leg.uncachedTokens = std::max<std::int64_t>(0, promptTokens + leg.continuedTokens - cachedTokens);
    if (leg.continuedTokens == 0 || std::exchange(leg.hasUsage, true)) {
        return;
    }
    tools_.metrics->add("tokens_recomputed_total", static_cast<std::uint64_t>(leg.uncachedTokens));
    if (leg.method == RecoveryMethod::Recompute) {
        learnCachedShare(*tools_.estimates, promptTokens, cachedTokens);
    }
}

void RecoveringStream::legEnd(LegId id, const engine::EngineResult &result)
{
    Leg &leg = legs_[id];
    leg.result = result;
    // A refused attempt to join it again does not undo that it ran.
    leg.result.wasConnected = result.wasConnected || leg.hasToken;
    leg.hasEnded = true;
    leg.connection = 0;
    lastEvent_ = id;
    failedMoves_ += id == machine_.successor ? 1 : 0;
    const std::string instance = leg.server.instance;
    if (result.end == StreamEnd::Broken && !result.timedOut && hooks_.onBroken) {
        hooks_.onBroken(instance);
    }
    apply(onLegEnd(machine_, id, result.end));
    if (!machine_.ended && id != machine_.current) {
        dropLeg(id, result.end);
    }
    if (result.isLeaving) {
        tools_.members->markLeaving(instance, membership::LeavingSource::Answer);
    }
}

void RecoveringStream::legStalled(LegId id)
{
    Leg &leg = legs_[id];
    tools_.metrics->add("streams_silent_total");
    if (leg.hasToken) {
        tools_.silentServers->emplace(leg.server.instance, tools_.loop->now());
    }
    partLogger("recovery")->info("A stream is silent. server={} attempt={}", leg.server.instance, leg.requestId);
    leg.result.end = StreamEnd::Broken;
    leg.result.wasConnected = true;
    leg.result.timedOut = true;
    leg.result.error = "silent";
    leg.hasEnded = true;
    failedMoves_ += id == machine_.successor ? 1 : 0;
    lastEvent_ = id;
    apply(onStalled(machine_, id));
}

void RecoveringStream::apply(const StreamStep &step)
{
    const auto self = shared_from_this();
    for (const LegId id : step.cancel) {
        if (step.end && id == lastEvent_) {
            // Reported with the end of the stream.
            tools_.direct->cancel(legs_[id].server, legs_[id].requestId, legs_[id].call);
            continue;
        }
        cancelLeg(id);
    }
    if (step.switched) {
        failedMoves_ = 0;
        resuming_ = false;
    }
    if (step.resume) {
        resumeCurrent();
    }
    if (step.prepareMove) {
        prepareMove();
    }
    if (step.end) {
        finish(*step.end);
    }
    if (isExporting_ && machine_.current == NoLeg) {
        // The cache went with its server.
        isExporting_ = false;
        startSuccessor(prepared_, {});
    }
}

void RecoveringStream::cancelLeg(LegId id)
{
    const Leg &leg = legs_[id];
    const StreamEnd end = leg.hasEnded ? leg.result.end : StreamEnd::Cancelled;
    if (leg.call != 0) {
        tools_.direct->cancel(leg.server, leg.requestId, leg.call);
    }
    dropLeg(id, end);
}

void RecoveringStream::dropLeg(LegId id, StreamEnd end)
{
    const auto found = legs_.find(id);
    if (found == legs_.end()) {
        return;
    }
    const std::string instance = found->second.server.instance;
    tools_.estimates->prefillTokensInFlight -= found->second.prefillGuess;
    legs_.erase(found);
    if (hooks_.onLeft) {
        hooks_.onLeft(instance, end);
    }
}

void RecoveringStream::resumeCurrent()
{
    Leg &leg = legs_[machine_.current];
    if (leg.connection != 0) {
        leg.connection = 0;
        tools_.direct->leave(leg.call);
    }
    leg.hasEnded = false;
    resuming_ = true;
    lastHeard_ = tools_.loop->now();
    leg.call = tools_.direct->resume(leg.server, leg.requestId, machine_.position, connectionHooks(machine_.current));
}

std::string RecoveringStream::server() const
{
    const auto found = legs_.find(machine_.current);
    return found == legs_.end() || machine_.ended ? std::string() : found->second.server.instance;
}

void RecoveringStream::checkSilence()
{
    const TimePoint now = tools_.loop->now();
    if (const auto found = legs_.find(machine_.successor); found != legs_.end() && now - found->second.startedAt > SuccessorWait) {
        legStalled(machine_.successor);
    }
    const auto found = legs_.find(machine_.current);
    if (machine_.ended || found == legs_.end()) {
        return;
    }
    if (now - lastHeard_ > silenceLimit(found->second)) {
        legStalled(machine_.current);
    }
}

Duration RecoveringStream::silenceLimit(const Leg &leg) const
{
    if (resuming_) {
        return std::max(ResumeAnswerWait, ResumeIntervals * betweenTokens_);
    }
    // A stream that waits for its first token may wait in a queue, unless others find the server silent too.
    return stallLimit(betweenTokens_, leg.hasToken || tools_.silentServers->contains(leg.server.instance));
}

void RecoveringStream::forgiveSilence()
{
    lastHeard_ = tools_.loop->now();
}

void RecoveringStream::cancel()
{
    lastEvent_ = machine_.current;
    apply(onCancel(machine_));
}

void RecoveringStream::leave()
{
    if (machine_.ended) {
        return;
    }
    machine_.ended = true;
    isExporting_ = false;
    const LegId last = legs_.empty() ? NoLeg : legs_.rbegin()->first;
    for (auto &[id, leg] : legs_) {
        if (leg.call == 0) {
            continue;
        }
        // NOTE The VM that goes on joins the attempt chosen last; an older one would run for nobody.
        if (id == last) {
            tools_.direct->leave(leg.call);
        } else {
            tools_.direct->cancel(leg.server, leg.requestId, leg.call);
        }
    }
    lastEvent_ = machine_.current;
    finish(StreamEnd::Cancelled);
}

void RecoveringStream::finish(StreamEnd end)
{
    isExporting_ = false;
    prepared_ = NoLeg;
    engine::EngineResult result;
    if (const auto found = legs_.find(lastEvent_); found != legs_.end()) {
        result = found->second.result;
        result.server = found->second.server.instance;
        tools_.estimates->prefillTokensInFlight -= found->second.prefillGuess;
        legs_.erase(found);
    }
    result.end = end;
    while (!legs_.empty()) {
        dropLeg(legs_.begin()->first, StreamEnd::Cancelled);
    }
    const auto self = shared_from_this();
    // Never from inside a call of the owner.
    tools_.loop->post([self, result = std::move(result)] {
        self->forget_();
        self->hooks_.onEnd(result);
        self->hooks_ = {};
    });
}

} // namespace cardamomlift::recovery
