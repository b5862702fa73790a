#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardinglimits.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// A server is asked about after this multiple of what its route promises: an answer that late has missed its goal anyway.
constexpr int GoalsOfSilence = 2;
constexpr int PausesOfSilence = 2;
/// Shorter silences come with lost packets, which are sent again after 200 ms and more.
constexpr Duration LeastSilence = std::chrono::milliseconds(300);
constexpr Duration MostSilence = std::chrono::milliseconds(2500);
/// A timer that is late by more tells that the process was suspended or starved.
constexpr Duration LateTimer = std::chrono::milliseconds(200);
/// Where the route promises nothing.
constexpr Duration UsualSilence = std::chrono::milliseconds(1500);

} // namespace

Duration ForwardedRequest::silenceLimit() const
{
    const bool waitsForFirst = !attempt_->hasFirstByte;
    const Duration promised = waitsForFirst ? route_->latencyGoal * GoalsOfSilence : route_->eventGapGoal * PausesOfSilence;
    return promised.count() <= 0 ? UsualSilence : std::clamp(promised, LeastSilence, MostSilence);
}

void ForwardedRequest::watchSilence()
{
    tools_.loop->cancel(silenceTimer_);
    const TimePoint now = tools_.loop->now();
    const Duration left = attempt_->lastByteAt + silenceLimit() - now;
    // An answer that is overdue at a server that answers others is looked at again after as long.
    silenceDueAt_ = now + (left > Duration(0) ? left : silenceLimit());
    silenceTimer_ = tools_.loop->after(silenceDueAt_ - now, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onSilenceTime();
        }
    });
}

// Nothing on any channel: a server that answers others is busy with this request, or its answer is lost on the way.
bool ForwardedRequest::isServerSilent() const
{
    const auto heardAt = tools_.pool->heardAt(attempt_->server->server.instance);
    return !heardAt || tools_.loop->now() - *heardAt >= silenceLimit();
}

// A request that may run again goes elsewhere. Any other waits for its answer until its time is over: silence proves
// nothing, and the answer may still come.
void ForwardedRequest::onSilenceTime()
{
    if (!attempt_ || finished_ || move_) {
        return;
    }
    if (tools_.loop->now() - silenceDueAt_ > LateTimer) {
        // NOTE This process stood still: what came meanwhile is still unread.
        attempt_->lastByteAt = tools_.loop->now();
    }
    const bool isDue = tools_.loop->now() - attempt_->lastByteAt >= silenceLimit();
    if (!isDue || !isServerSilent()) {
        watchSilence();
        return;
    }
    tools_.log->write(Event::ServerSilent,
        {{Attribute::Request, request_.id},
            {Attribute::Server, attempt_->server->server.instance},
            {Attribute::WaitMs, millisecondsSince(attempt_->lastByteAt)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.events())},
            {Attribute::Attempt, std::int64_t(sends_)}});
    tools_.metrics->add("server_silences_total");
    noteEnding(outliers::Ending::NoAnswer);
    runs_++;
    const bool goesElsewhere = mayRunAgain() && timeLeft() >= silenceLimit() && takeRepeat();
    if (!goesElsewhere) {
        runs_--;
        return;
    }
    logAttempt("silent");
    tried_.insert(attempt_->server->server.instance);
    endAttempt(false);
    splitter_.dropRest();
    tools_.metrics->retried(metrics::RetryReason::ServerSilent);
    repeat();
}

void ForwardedRequest::noteEnding(outliers::Ending ending)
{
    const bool isFailure = ending == outliers::Ending::NoAnswer;
    if (isFailure && attempt_->failureNoted) {
        return;
    }
    attempt_->failureNoted = attempt_->failureNoted || isFailure;
    tools_.outliers->note(attempt_->server->server.instance, service_, ending);
    // An answer may be a head alone.
    const TimePoint begunAt = attempt_->hasFirstByte ? attempt_->firstByteAt : attempt_->lastByteAt;
    const bool isAnswer = ending == outliers::Ending::Answered;
    noteVersionOutcome(isAnswer ? std::optional(begunAt - attempt_->sentAt) : std::nullopt);
}

void ForwardedRequest::noteVersionOutcome(std::optional<Duration> firstByteAfter)
{
    if (tools_.versions) {
        tools_.versions->noteOutcome(attempt_->server->server, route_->name, firstByteAfter);
    }
}

} // namespace cardamomlift::forwarding
