#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// Multiples of the route's latency goal (before the first byte) and pause goal (after it) after which an attempt counts as
/// silent: an answer that late has missed its goal anyway.
constexpr int LatencyGoalFactor = 2;
constexpr int EventGapGoalFactor = 2;
/// Shorter silences may be due to lost packets, which are retransmitted after 200 ms or more.
constexpr Duration MinSilence = std::chrono::milliseconds(300);
constexpr Duration MaxSilence = std::chrono::milliseconds(2500);
/// A timer that fires later than this shows that the process was suspended or starved of CPU time.
constexpr Duration SuspensionThreshold = std::chrono::milliseconds(200);
/// For routes that declare no goal.
constexpr Duration DefaultSilence = std::chrono::milliseconds(1500);

} // namespace

Duration ForwardedRequest::silenceLimit(bool waitsForFirstByte) const
{
    const Duration limit = waitsForFirstByte ? route_->latencyGoal * LatencyGoalFactor : route_->eventGapGoal * EventGapGoalFactor;
    return limit.count() <= 0 ? DefaultSilence : std::clamp(limit, MinSilence, MaxSilence);
}

void ForwardedRequest::watchSilence()
{
    tools_.loop->cancel(silenceTimer_);
    const TimePoint now = tools_.loop->now();
    const Duration limit = silenceLimit(!attempt_->hasFirstByte);
    const Duration left = attempt_->lastByteAt + limit - now;
    // If the limit has passed already, but the server is sending other answers, check again after another full limit.
    silenceDueAt_ = now + (left > Duration(0) ? left : limit);
    silenceTimer_ = tools_.loop->after(silenceDueAt_ - now, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onSilenceTimeout();
        }
    });
}

// True if nothing was received from the server on any channel. A server that sends other answers is not silent: it is still
// busy with this request, or the answer to it was lost on the way.
bool ForwardedRequest::isServerSilent() const
{
    const auto lastActivityAt = tools_.pool->lastActivityAt(attempt_->server->server.instance);
    return !lastActivityAt || tools_.loop->now() - *lastActivityAt >= silenceLimit(!attempt_->hasFirstByte);
}

// A request that may run again is retried at another server. Any other keeps waiting until its deadline: silence does not
// prove a failure, and the answer may still come.
void ForwardedRequest::onSilenceTimeout()
{
    if (!attempt_ || finished_ || move_) {
        return;
    }
    if (tools_.loop->now() - silenceDueAt_ > SuspensionThreshold) {
        // NOTE This process was suspended: bytes that arrived meanwhile have not been read yet.
        attempt_->lastByteAt = tools_.loop->now();
    }
    const bool isDue = tools_.loop->now() - attempt_->lastByteAt >= silenceLimit(!attempt_->hasFirstByte);
    const bool sendsNoEvents = attempt_->bytesSinceEvent > MaxBytesBetweenEvents;
    if (!isDue || !(isServerSilent() || sendsNoEvents)) {
        watchSilence();
        return;
    }
    tools_.log->write(Event::ServerSilent,
        {{Attribute::Request, request_.id},
            {Attribute::Server, attempt_->server->server.instance},
            {Attribute::WaitMs, millisecondsSince(attempt_->lastByteAt)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())},
            {Attribute::Attempt, std::int64_t(sends_)}});
    tools_.metrics->add("server_silences_total");
    tools_.reachability->noteSilent();
    noteOutcome(outliers::Ending::NoAnswer);
    noteRunGivenUp();
    runs_++;
    const bool shouldRetry = mayRunAgain() && timeLeft() >= silenceLimit(!attempt_->hasFirstByte) && takeRetry();
    if (!shouldRetry) {
        runs_--;
        return;
    }
    logAttempt("silent");
    tried_.insert(attempt_->server->server.instance);
    endAttempt(false);
    splitter_.dropIncompleteEvent();
    tools_.metrics->retried(metrics::RetryReason::ServerSilent);
    retry();
}

void ForwardedRequest::noteOutcome(outliers::Ending ending)
{
    const bool isFailure = ending == outliers::Ending::NoAnswer;
    if (isFailure && attempt_->failureNoted) {
        return;
    }
    attempt_->failureNoted = attempt_->failureNoted || isFailure;
    if (isFailure && tools_.reachability->wasCutOffSince(attempt_->sentAt)) {
        return;
    }
    tools_.outliers->note(attempt_->server->server.instance, service_, ending);
    // An answer may have no body; then its head counts as the first byte.
    const TimePoint startedAt = attempt_->hasFirstByte ? attempt_->firstByteAt : attempt_->lastByteAt;
    const bool isAnswer = ending == outliers::Ending::Answered;
    noteVersionOutcome(isAnswer ? std::optional(startedAt - attempt_->sentAt) : std::nullopt);
}

void ForwardedRequest::noteVersionOutcome(std::optional<Duration> timeToFirstByte)
{
    if (tools_.versions) {
        tools_.versions->noteOutcome(attempt_->server->server, route_->name, timeToFirstByte);
    }
}

} // namespace cardamomlift::forwarding
