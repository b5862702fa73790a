#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardinglimits.h"

namespace cardamomlift::forwarding {

void ForwardedRequest::onHead(http1::ResponseHead head)
{
    attempt_->hasHead = true;
    attempt_->lastByteAt = tools_.loop->now();
    attempt_->answer = tools_.wire.readAnswer(head);
    attempt_->head = std::move(head);
    const std::string &instance = attempt_->server->server.instance;
    tools_.pool->noteHeard(instance);
    if (attempt_->answer.load) {
        tools_.pool->noteReport(instance, *attempt_->answer.load);
    }
    if (tools_.limits) {
        tools_.limits->noteAnswer(instance, attempt_->answer.limit, attempt_->sentAt);
    }
}

void ForwardedRequest::onBody(std::string_view part)
{
    attempt_->lastByteAt = tools_.loop->now();
    tools_.pool->noteHeard(attempt_->server->server.instance);
    if (!attempt_->hasFirstByte) {
        attempt_->hasFirstByte = true;
        attempt_->firstByteAt = attempt_->lastByteAt;
        observeStep("first_byte");
        tools_.demand->noteFirstByte(service_, tools_.loop->now() - exchange_->startedAt(), route_->latencyGoal, tools_.loop->now());
        tools_.pool->noteFirstByte(attempt_->server->server.instance, attempt_->tokensToRead);
    }
    if (isStream() && attempt_->head.status == StatusOk && attempt_->answer.isSigned) {
        passEvents(part);
        return;
    }
    attempt_->body += part;
}

void ForwardedRequest::passEvents(std::string_view part)
{
    const std::string whole = splitter_.feed(part);
    if (whole.empty()) {
        return;
    }
    if (!headPassed_) {
        headPassed_ = true;
        firstEventAt_ = tools_.loop->now();
        noteEnding(outliers::Ending::Answered);
        if (tools_.usage && customer_ && !usageNoted_) {
            usageNoted_ = true;
            tools_.usage->noteStarted(customer_->name);
        }
        exchange_->begin(tools_.wire.writeAnswer(attempt_->head));
    }
    exchange_->send(whole);
}

void ForwardedRequest::onComplete()
{
    const bool isEventStream = isStream() && attempt_->head.status == StatusOk && attempt_->answer.isSigned;
    if (isEventStream) {
        onStreamEnd();
        return;
    }
    if (attempt_->answer.isNotRun) {
        onNotRun("refused");
        return;
    }
    onPlainAnswer();
}

void ForwardedRequest::onStreamEnd()
{
    const std::string rest = splitter_.rest();
    if (!headPassed_) {
        // An answer without an event is the server's own, whole.
        exchange_->answer(tools_.wire.writeAnswer(attempt_->head), rest);
    } else {
        exchange_->send(rest);
        exchange_->end();
    }
    logAttempt("answered");
    tools_.metrics->add("requests_answered_total");
    endAttempt(true);
    finish();
}

void ForwardedRequest::onPlainAnswer()
{
    if (tools_.usage && customer_ && !usageNoted_) {
        usageNoted_ = true;
        tools_.usage->noteStarted(customer_->name);
    }
    const int status = attempt_->head.status;
    if (status >= StatusOk && status < StatusFirstFailure && !attempt_->answer.isSigned) {
        onBroken("unsigned");
        return;
    }
    noteEnding(status >= StatusServerError ? outliers::Ending::ServerError : outliers::Ending::Answered);
    if (status >= StatusServerError) {
        runs_++;
        if (mayRunAgain() && takeRepeat()) {
            logAttempt("server_error");
            tried_.insert(attempt_->server->server.instance);
            endAttempt(true);
            tools_.metrics->retried(metrics::RetryReason::ServerFailed);
            repeat();
            return;
        }
    }
    passAnswer();
}

void ForwardedRequest::passAnswer()
{
    if (streamBegan()) {
        // A resumed stream whose new server failed: the caller has seen a head already.
        fail(StatusBadGateway, FailureReason::StreamBroken);
        return;
    }
    exchange_->answer(tools_.wire.writeAnswer(attempt_->head), attempt_->body);
    logAttempt("answered");
    tools_.metrics->add("requests_answered_total");
    endAttempt(true);
    finish();
}

void ForwardedRequest::onNotRun(std::string_view why)
{
    logAttempt(why);
    tried_.insert(attempt_->server->server.instance);
    endAttempt(true);
    if (sends_ < MostSends && takeRepeat()) {
        tools_.metrics->retried(metrics::RetryReason::ServerRefused);
        repeat();
        return;
    }
    if (streamBegan() || runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, FailureReason::ServersFull, FullRetryAfter);
}

void ForwardedRequest::onFailure(http1::CallFailure failure)
{
    const std::string instance = attempt_->server->server.instance;
    if (move_ && failure == http1::CallFailure::Broken) {
        // The source ends its stream when the run stops; where it goes on depends on its answer to the move.
        // It may not be told as not run, whatever becomes of the copy.
        runs_++;
        logAttempt("stopped_for_move");
        endAttempt(false);
        splitter_.dropRest();
        move_->hasStopped = true;
        continueMoved();
        return;
    }
    noteEnding(outliers::Ending::NoAnswer);
    if (failure == http1::CallFailure::Broken) {
        onBroken("broken");
        return;
    }
    logAttempt("not_connected");
    tried_.insert(instance);
    endAttempt(false);
    if (sends_ < MostSends) {
        tools_.metrics->retried(metrics::RetryReason::ConnectFailed);
        repeat();
        return;
    }
    if (streamBegan() || runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, FailureReason::NoServer, FullRetryAfter);
}

bool ForwardedRequest::isIdempotent() const
{
    return route_->kind == manifest::RouteKind::Idempotent || (isStream() && route_->isResumable);
}

bool ForwardedRequest::mayRunAgain() const
{
    return isIdempotent() && runs_ < route_->maxAttempts;
}

bool ForwardedRequest::takeRepeat()
{
    return forwarder_.budget(service_).take({service_, true});
}

void ForwardedRequest::onBroken(std::string_view why)
{
    runs_++;
    logAttempt(why);
    tried_.insert(attempt_->server->server.instance);
    endAttempt(false);
    splitter_.dropRest();
    if (mayRunAgain() && takeRepeat()) {
        tools_.metrics->retried(streamBegan() ? metrics::RetryReason::StreamBroken : metrics::RetryReason::ServerFailed);
        repeat();
        return;
    }
    fail(StatusBadGateway, streamBegan() ? FailureReason::StreamBroken : endReason());
}

FailureReason ForwardedRequest::endReason() const
{
    if (!isIdempotent()) {
        return FailureReason::OutcomeUnknown;
    }
    return mayRunAgain() ? FailureReason::RetryBudget : FailureReason::AttemptsUsed;
}

void ForwardedRequest::repeat()
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
        tools_.pool->noteFirstByte(instance, attempt_->tokensToRead);
    }
    tools_.pool->noteEnded(instance);
    if (tools_.versions) {
        tools_.versions->noteEnded(attempt_->server->server);
    }
    auto channel = std::move(attempt_->channel);
    attempt_.reset();
    if (keepChannel) {
        tools_.pool->giveBack(instance, std::move(channel));
        return;
    }
    tools_.pool->discard(instance, std::move(channel));
}

} // namespace cardamomlift::forwarding
