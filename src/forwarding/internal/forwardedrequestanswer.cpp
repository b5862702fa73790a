#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr std::string_view EventStreamType = "text/event-stream";

/// Whether the media type allows events. A stream's route promises them, so an answer without a type counts as events.
bool mayHoldEvents(const http1::ResponseHead &head)
{
    const std::string_view type = head.fields.get("Content-Type");
    return type.empty() || http1::equalsIgnoreCase(type.substr(0, type.find_first_of("; ")), EventStreamType);
}

} // namespace

void ForwardedRequest::onHead(http1::ResponseHead head)
{
    attempt_->hasHead = true;
    attempt_->lastByteAt = tools_.loop->now();
    attempt_->answer = tools_.wire.readAnswer(head);
    attempt_->isEventStream = isEventStream(head, attempt_->answer);
    attempt_->head = std::move(head);
    attempt_->requestBytes = 0;
    updateHeldBytes();
    const std::string &instance = attempt_->server->server.instance;
    noteServerActive();
    if (attempt_->answer.load) {
        tools_.pool->noteLoadReport(instance, *attempt_->answer.load);
        if (tools_.pace && attempt_->answer.load->pace) {
            tools_.pace->noteAnnounced(instance, *attempt_->answer.load->pace);
        }
    }
    if (tools_.limits) {
        tools_.limits->noteAnswer(instance, attempt_->answer.limit, attempt_->sentAt);
    }
    noteOverload();
    if (!attempt_->answer.isNotRun && !attempt_->answer.backoff) {
        tools_.backoffs->noteAnswered(instance, attempt_->sentAt);
    } else if (attempt_->head.status == StatusUnavailable && !attempt_->answer.backoff) {
        tools_.backoffs->noteRefused(instance);
    }
}

bool ForwardedRequest::isEventStream(const http1::ResponseHead &head, const BackendAnswer &answer) const
{
    return isStream() && head.status == StatusOk && answer.isSigned && mayHoldEvents(head);
}

void ForwardedRequest::noteAnnouncements(const std::string &instance, const BackendAnswer &answer) const
{
    if (answer.isLeaving && tools_.directory->markLeaving(instance)) {
        tools_.metrics->add("servers_leaving_by_answer_total");
        tools_.log->write(Event::ServerLeaving, {{Attribute::Server, instance}, {Attribute::Reason, "answer"}, {Attribute::Request, request_.id}});
    }
    if (answer.backoff && tools_.backoffs->begin(instance, *answer.backoff)) {
        tools_.metrics->add("server_backoffs_total");
        tools_.log->write(
            Event::ServerBackoff, {{Attribute::Server, instance}, {Attribute::WaitMs, toMilliseconds(*answer.backoff)}, {Attribute::Request, request_.id}});
    }
}

// A 421 comes from another process at the server's address.
void ForwardedRequest::noteOverload()
{
    if (!tools_.overload || attempt_->head.status == StatusMisdirected) {
        return;
    }
    const BackendAnswer &answer = attempt_->answer;
    if (answer.refusalsPerSecond || answer.isSigned) {
        tools_.overload->noteAnswer(serverKey(), answer.refusalsPerSecond);
    }
    if (answer.isNotRun && attempt_->head.status == StatusUnavailable) {
        tools_.overload->noteRefused(serverKey());
    }
}

void ForwardedRequest::noteServed()
{
    if (tools_.overload) {
        tools_.overload->noteServed(serverKey(), tools_.loop->now() - attempt_->sentAt);
    }
}

void ForwardedRequest::onBody(std::string_view bytes)
{
    noteServerActive();
    if (attempt_->bytesSinceEvent <= MaxBytesBetweenEvents) {
        attempt_->lastByteAt = tools_.loop->now();
    }
    if (!attempt_->hasFirstByte) {
        attempt_->hasFirstByte = true;
        attempt_->firstByteAt = attempt_->lastByteAt;
        observeStep("first_byte");
        tools_.demand->noteFirstByte(service_, tools_.loop->now() - exchange_->startedAt(), route_->latencyGoal, tools_.loop->now());
        tools_.pool->noteFirstByte(attempt_->server->server.instance, attempt_->prefillTokens);
        notePaceOfFirstByte();
    }
    if (attempt_->isEventStream) {
        forwardEvents(bytes);
        return;
    }
    attempt_->body += bytes;
    updateHeldBytes();
}

void ForwardedRequest::forwardEvents(std::string_view bytes)
{
    const std::string events = splitter_.feed(bytes);
    if (events.empty()) {
        attempt_->bytesSinceEvent += bytes.size();
        updateHeldBytes();
        return;
    }
    attempt_->bytesSinceEvent = 0;
    noteOrigin();
    if (!headSent_) {
        noteOutcome(outliers::Ending::Answered);
        if (tools_.usage && customer_ && !usageNoted_) {
            usageNoted_ = true;
            tools_.usage->noteStarted(customer_->name);
        }
        beginStream(attempt_->head);
    }
    exchange_->send(events);
    notePauseOfMove();
    notePaceOfEvents();
    noteEvents();
}

void ForwardedRequest::beginStream(const http1::ResponseHead &head)
{
    headSent_ = true;
    firstEventAt_ = tools_.loop->now();
    exchange_->begin(tools_.wire.writeAnswer(head));
}

void ForwardedRequest::onComplete()
{
    if (attempt_->isEventStream) {
        onStreamEnd();
        return;
    }
    if (attempt_->answer.isNotRun) {
        onNotRun("refused");
        return;
    }
    onPlainAnswer();
}

// Where only the connection tells the end of the body, at least one event must have ended. Then a run that has been stopped for a move ends like a
// whole stream; only the answer to the move tells them apart.
bool ForwardedRequest::isBrokenOff() const
{
    const bool isUnframed = http1::framingOf(attempt_->head) == http1::Framing::Connection;
    const bool isEmpty = !attempt_->hasFirstByte && exchange_->head().method != "HEAD";
    return splitter_.isInsideEvent() || (isUnframed && (isEmpty || (move_ && move_->stopsRun)));
}

void ForwardedRequest::onStreamEnd()
{
    if (isBrokenOff()) {
        onFailure(http1::CallFailure::Broken);
        return;
    }
    noteServed();
    noteWholeAnswer();
    if (beganAnswer() || hasBornePrompt()) {
        notePromptAnswered();
    }
    if (source_ == RequestSource::Caller && request_.lastEventId.empty()) {
        forwarder_.stragglers().noteWhole(service_, splitter_.eventCount(), request_.outputTokens);
    }
    completeStream(attempt_->head);
    logAttempt("answered");
    tools_.metrics->add("requests_answered_total");
    endAttempt(true);
    finish();
}

void ForwardedRequest::completeStream(const http1::ResponseHead &head)
{
    const std::string comments = splitter_.incompleteEvent();
    if (!headSent_) {
        // An answer that ends without an event is forwarded as it is.
        exchange_->answer(tools_.wire.writeAnswer(head), comments);
        return;
    }
    exchange_->send(comments);
    exchange_->end();
}

void ForwardedRequest::onPlainAnswer()
{
    if (tools_.usage && customer_ && !usageNoted_) {
        usageNoted_ = true;
        tools_.usage->noteStarted(customer_->name);
    }
    const int status = attempt_->head.status;
    if (status >= StatusOk && status < StatusSuccessEnd && !attempt_->answer.isSigned) {
        onBroken("unsigned");
        return;
    }
    noteServed();
    if (attempt_->answer.isSigned && status < StatusServerError) {
        noteWholeAnswer();
    }
    if (status >= StatusOk && status < StatusSuccessEnd) {
        notePaceOfAnswer();
        notePromptAnswered();
    }
    noteOutcome(status >= StatusServerError ? outliers::Ending::ServerError : outliers::Ending::Answered);
    if (status >= StatusServerError) {
        runs_++;
        if (mayRunAgain() && takeRetry()) {
            logAttempt("server_error");
            tried_.insert(attempt_->server->server.instance);
            endAttempt(true);
            tools_.metrics->retried(metrics::RetryReason::ServerFailed);
            retry();
            return;
        }
    }
    forwardAnswer();
}

void ForwardedRequest::forwardAnswer()
{
    if (hasStreamStarted()) {
        // A resumed stream whose new server failed: the caller has received a head already, so no other can follow.
        fail(StatusBadGateway, FailureReason::StreamBroken);
        return;
    }
    if (saysNotRun(attempt_->head.status) && !mayRepeat()) {
        failUnmarkedRefusal();
        return;
    }
    exchange_->answer(tools_.wire.writeAnswer(attempt_->head), attempt_->body);
    logAttempt("answered");
    tools_.metrics->add("requests_answered_total");
    endAttempt(true);
    finish();
}

// A server that has not run a request marks its answer so. Without the mark the status must not promise it to the caller.
void ForwardedRequest::failUnmarkedRefusal()
{
    runs_++;
    if (attempt_) {
        logAttempt("unmarked_refusal");
        endAttempt(true);
    } else {
        logRelay("unmarked_refusal");
        endRelay(true);
    }
    fail(StatusBadGateway, FailureReason::OutcomeUnknown);
}

void ForwardedRequest::onNotRun(std::string_view why)
{
    logAttempt(why);
    wasRefusedByServer_ = true;
    if (tools_.admission && admissionTicket_ != 0) {
        tools_.admission->noteServerFull(admissionTicket_);
    }
    tried_.insert(attempt_->server->server.instance);
    // The next server would be the next to refuse it.
    const bool isLastSend = isManaged();
    endAttempt(true);
    const Choice next = chooseServer();
    if (isLastSend && runs_ == 0 && !hasStreamStarted()) {
        refuseForWantOfRoom(next.limitedPerSecond);
        return;
    }
    if (!next.server) {
        endWithoutServer(next);
        return;
    }
    if (sends_ < MaxSends && takeRetry()) {
        tools_.metrics->retried(metrics::RetryReason::ServerRefused);
        retry();
        return;
    }
    if (hasStreamStarted() || runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, FailureReason::ServersFull, serversFullRetryAfter());
}

void ForwardedRequest::onFailure(http1::CallFailure failure)
{
    const std::string instance = attempt_->server->server.instance;
    if (move_ && !move_->stopsRun) {
        // The source has failed while the run went on there.
        abandonMove();
    }
    if (move_ && failure == http1::CallFailure::Broken) {
        // The source ends its stream when it stops the run. Whether the run continues at the target depends on the source's
        // answer to the move. In any case it has run, so the caller must not be told that it has not.
        runs_++;
        logAttempt("stopped_for_move");
        endAttempt(false);
        splitter_.dropIncompleteEvent();
        move_->hasSourceStopped = true;
        continueAtTarget();
        return;
    }
    if (failure == http1::CallFailure::Withdrawn) {
        logAttempt("withdrawn");
        endAttempt(false);
        retryUnsent(metrics::RetryReason::ServerRefused);
        return;
    }
    noteOutcome(outliers::Ending::NoAnswer);
    if (isManaged()) {
        tools_.overload->noteDown(serverKey());
    }
    if (failure == http1::CallFailure::Broken) {
        noteConnectionBroken();
        tools_.reachability->noteSilent();
        onBroken("broken");
        return;
    }
    logAttempt("not_connected");
    tried_.insert(instance);
    endAttempt(false);
    if (failure == http1::CallFailure::NotConnected) {
        connectFailures_++;
        tools_.reachability->noteConnectFailed(instance);
        tools_.pool->noteConnectFailed(instance);
    }
    retryUnsent(metrics::RetryReason::ConnectFailed);
}

// Does not take from the retry budget, as nothing has reached a server.
void ForwardedRequest::retryUnsent(metrics::RetryReason reason)
{
    if (sends_ < MaxSends) {
        tools_.metrics->retried(reason);
        retry();
        return;
    }
    if (mayRelay() && startRelay()) {
        return;
    }
    if (hasStreamStarted() || runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, FailureReason::NoServer, ServersFullRetryAfter);
}

bool ForwardedRequest::mayRepeat() const
{
    return route_->kind == manifest::RouteKind::Idempotent || (isStream() && route_->isResumable && splitter_.canResume());
}

// The runs of a request that another VM has handed over are counted, and repeated, by that VM.
bool ForwardedRequest::mayRunAgain() const
{
    return source_ == RequestSource::Caller && mayRepeat() && runs_ < route_->maxAttempts;
}

bool ForwardedRequest::takeRetry()
{
    return forwarder_.budget(service_).trySpend({service_, true});
}

void ForwardedRequest::onBroken(std::string_view why)
{
    runs_++;
    logAttempt(why);
    tried_.insert(attempt_->server->server.instance);
    endAttempt(false);
    retryBroken();
}

void ForwardedRequest::retryBroken()
{
    splitter_.dropIncompleteEvent();
    if (mayRunAgain() && takeRetry()) {
        tools_.metrics->retried(hasStreamStarted() ? metrics::RetryReason::StreamBroken : metrics::RetryReason::ServerFailed);
        retry();
        return;
    }
    fail(StatusBadGateway, hasStreamStarted() ? FailureReason::StreamBroken : noRetryReason());
}

FailureReason ForwardedRequest::noRetryReason() const
{
    if (!mayRepeat()) {
        return FailureReason::OutcomeUnknown;
    }
    return mayRunAgain() ? FailureReason::RetryBudget : FailureReason::AttemptsUsed;
}

void ForwardedRequest::retry()
{
    dispatch();
}

void ForwardedRequest::endAttempt(bool keepChannel)
{
    tools_.loop->cancel(connectTimer_);
    tools_.loop->cancel(silenceTimer_);
    if (!attempt_) {
        return;
    }
    const std::string instance = attempt_->server->server.instance;
    if (!attempt_->hasFirstByte) {
        tools_.pool->noteFirstByte(instance, attempt_->prefillTokens);
    }
    tools_.pool->noteEnded(instance);
    if (tools_.versions) {
        tools_.versions->noteEnded(attempt_->server->server);
    }
    auto channel = std::move(attempt_->channel);
    attempt_.reset();
    updateHeldBytes();
    if (keepChannel) {
        tools_.pool->release(instance, std::move(channel));
        return;
    }
    tools_.pool->discard(instance, std::move(channel));
}

} // namespace cardamomlift::forwarding
