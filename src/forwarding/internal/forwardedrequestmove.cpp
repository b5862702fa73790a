#include "balancing/choose.h"
#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// A run is moved this long before its server stops: not earlier, as most streams end by themselves within the notice, and
/// not later, as a copy of usual size takes some tens of milliseconds and waits for other copies on the same link.
constexpr Duration MoveLead = std::chrono::milliseconds(700);
/// The source must answer within this time, so that the target resumes the stream before the caller takes the pause for
/// the end of the stream.
constexpr Duration MoveTimeout = std::chrono::milliseconds(1500);
constexpr http1::ReadLimits MoveAnswerLimits{16384, 1u << 16};

std::string_view moveOutcomeName(KvMoveOutcome outcome)
{
    switch (outcome) {
    case KvMoveOutcome::Copied:
        return "copied";
    case KvMoveOutcome::Stopped:
        return "stopped";
    case KvMoveOutcome::NotStopped:
        return "not_stopped";
    case KvMoveOutcome::Unknown:
        break;
    }
    return "unknown";
}

} // namespace

void ForwardedRequest::onServerReclaim(const std::string &instance, TimePoint endsAt)
{
    if (!mayMove(instance)) {
        return;
    }
    tools_.loop->cancel(moveTimer_);
    const Duration wait = std::max(Duration(0), endsAt - MoveLead - tools_.loop->now());
    moveTimer_ = tools_.loop->after(wait, [weak = weak_from_this(), instance] {
        const auto self = weak.lock();
        if (self && self->mayMove(instance)) {
            self->startMove();
        }
    });
}

// Resumable streams are not moved: another server can resume them without a copy. A stream that may run only once can't be
// continued in any other way.
bool ForwardedRequest::mayMove(const std::string &instance) const
{
    if (finished_ || move_ || !attempt_ || !route_ || !isStream() || route_->isResumable || attempt_->server->server.instance != instance) {
        return false;
    }
    return canMoveKv();
}

bool ForwardedRequest::canMoveKv() const
{
    const manifest::Service *service = manifest_->service(service_);
    return service && service->engine && service->engine->canMigrateKv;
}

void ForwardedRequest::startMove()
{
    const directory::BackendServer &source = attempt_->server->server;
    tried_.insert(source.instance);
    // What the run keeps in memory fits its own software only, also before the first event.
    origin_ = origins::softwareId(source.service, source.version);
    const auto to = chooseServer().server;
    if (!to || !takeRetry()) {
        return;
    }
    move_ = Move();
    move_->from = attempt_->server;
    move_->to = to;
    callMove();
}

void ForwardedRequest::callMove()
{
    const directory::ServerPtr to = move_->to;
    if (move_->stopsRun) {
        countSend(to->server.instance);
    }
    if (!move_->client) {
        move_->client = http1::HttpClient::create(*tools_.loop, move_->from->server.endpoint, {}, MoveAnswerLimits);
    }
    std::string body;
    http1::RequestHead head = tools_.wire.writeKvMove({request_.id, to->server.endpoint, move_->stopsRun}, body);
    tools_.log->write(Event::StreamMoved,
        {{Attribute::Request, request_.id},
            {Attribute::Server, move_->from->server.instance},
            {Attribute::Holder, to->server.instance},
            {Attribute::Reason, move_->isOfLateRun ? "behind" : "leaving"},
            {Attribute::Outcome, move_->stopsRun ? "stops" : "goes_on"},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())}});
    move_->client->call(std::move(head), std::move(body), MoveTimeout, [weak = weak_from_this()](const http1::CallResult &result) {
        const auto self = weak.lock();
        if (self && !self->finished_ && self->move_) {
            self->move_->isAnswered = result.isAnswered;
            if (result.isAnswered) {
                self->noteAnnouncements(self->move_->from->server.instance, self->tools_.wire.readAnswer(result.response.head));
            }
            self->onMoved(result.isAnswered ? self->tools_.wire.readKvMove(result.response) : KvMoveAnswer());
        }
    });
}

void ForwardedRequest::onMoved(const KvMoveAnswer &answer)
{
    logMove(answer.outcome);
    if (move_->isOfLateRun) {
        onLateRunMoved(answer);
        return;
    }
    const bool isCopied = answer.outcome == KvMoveOutcome::Copied;
    tools_.metrics->add(isCopied ? "streams_moved_total" : "stream_moves_failed_total");
    if (answer.outcome == KvMoveOutcome::NotStopped && attempt_) {
        // The run continues at the source until that one stops.
        move_.reset();
        return;
    }
    move_->hasMoveAnswer = true;
    if (isCopied) {
        move_->kvSource = kvSourceOf(answer);
    }
    continueAtTarget();
}

std::string ForwardedRequest::kvSourceOf(const KvMoveAnswer &answer) const
{
    return http1::formatEndpoint(move_->from->server.endpoint) + "/" + answer.handle;
}

void ForwardedRequest::logMove(KvMoveOutcome outcome) const
{
    tools_.log->write(Event::StreamMoveAnswered,
        {{Attribute::Request, request_.id},
            {Attribute::Server, move_->from->server.instance},
            {Attribute::Outcome, moveOutcomeName(outcome)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())}});
}

void ForwardedRequest::abandonMove()
{
    late_.ticket.reset();
    if (move_ && !move_->handle.empty()) {
        const auto client = move_->client;
        client->call(tools_.wire.writeKvRelease(move_->handle), {}, MoveTimeout, [client](const http1::CallResult &) {});
    }
    move_.reset();
}

// A notice that comes during a move does not start another one.
void ForwardedRequest::leaveIfReclaimed()
{
    const auto known = attempt_ ? tools_.directory->find(attempt_->server->server.instance) : nullptr;
    if (known && known->isLeaving && known->server.isReclaimable && mayMove(known->server.instance)) {
        startMove();
    }
}

// A late run has been copied twice: while it went on, and what was new when it had stopped. If the source has failed in between, or the second
// answer is lost, the first copy serves. If there is none at the target after all, the source goes on.
void ForwardedRequest::onLateRunMoved(const KvMoveAnswer &answer)
{
    const bool isCopied = answer.outcome == KvMoveOutcome::Copied;
    if (!move_->stopsRun) {
        if (!isCopied || !attempt_) {
            tools_.metrics->add("stream_moves_failed_total");
            abandonMove();
            leaveIfReclaimed();
            return;
        }
        move_->handle = answer.handle;
        move_->kvSource = kvSourceOf(answer);
        move_->stopsRun = true;
        callMove();
        return;
    }
    tools_.metrics->add(isCopied ? "streams_moved_total" : "stream_moves_failed_total");
    if (answer.outcome == KvMoveOutcome::NotStopped && attempt_) {
        abandonMove();
        leaveIfReclaimed();
        return;
    }
    move_->hasMoveAnswer = true;
    if (isCopied || answer.outcome == KvMoveOutcome::Stopped) {
        move_->kvSource = kvSourceOf(answer);
        move_->to = isCopied ? move_->to : move_->from;
    } else if (move_->isAnswered || !move_->isFramed) {
        move_->kvSource.clear();
    }
    continueAtTarget();
}

// Two conditions must hold: the source has stopped, so that all its events have been forwarded, and it has answered the
// move, so that the location of the KV cache is known.
void ForwardedRequest::continueAtTarget()
{
    if (!move_->hasMoveAnswer || !move_->hasSourceStopped) {
        return;
    }
    const Move move = std::move(*move_);
    move_.reset();
    if (move.kvSource.empty() || !splitter_.canResume()) {
        runs_++;
        fail(StatusBadGateway, hasStreamStarted() ? FailureReason::StreamBroken : FailureReason::OutcomeUnknown);
        return;
    }
    const bool goesBack = move.to == move.from;
    if (goesBack && !takeRetry()) {
        fail(StatusBadGateway, FailureReason::RetryBudget);
        return;
    }
    // Only the target has the copy, and the source of a late run.
    if (!tools_.backoffs->takeException(move.to->server.instance)) {
        fail(StatusBadGateway, hasStreamStarted() ? FailureReason::StreamBroken : FailureReason::OutcomeUnknown);
        return;
    }
    kvSource_ = move.kvSource;
    if (move.isOfLateRun && !goesBack) {
        late_.returnTo = move.from;
    }
    tools_.metrics->retried(move.isOfLateRun ? metrics::RetryReason::ServerSlow : metrics::RetryReason::ServerLeaving);
    Choice choice;
    choice.server = move.to;
    choice.candidates = 1;
    send(choice);
}

} // namespace cardamomlift::forwarding
