#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"
#include "suspects/partevidence.h"

#include <fmt/format.h>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// The cause of a crash is known when the server's entry is removed, after some seconds of silence; a harmless request may be
/// cleared much sooner.
constexpr Duration CauseUnknownRetryAfter = std::chrono::milliseconds(1000);
/// The position at a crash of a stream that did not start with its first event. Only a complete answer clears it.
constexpr std::uint64_t UnknownPosition = suspects::CompleteAnswer / 2;
/// The events of a stream are noted this often.
constexpr Duration AnswerNotePeriod = std::chrono::milliseconds(100);

} // namespace

bool ForwardedRequest::checkCrashes()
{
    if (!tools_.suspects || !tools_.suspects->hasCrashes()) {
        return true;
    }
    const suspects::Judgement judgement = tools_.suspects->judge({fingerprint(), sharedParts_, request_.id});
    const bool isBlocked = judgement.state == suspects::SuspectState::Blocked;
    if (!isBlocked && judgement.state != suspects::SuspectState::Undecided) {
        return true;
    }
    suspectedPart_ = judgement.part;
    const FailureReason reason = isBlocked ? FailureReason::CrashesServers : FailureReason::CrashCauseUnknown;
    if (runs_ > 0) {
        fail(StatusBadGateway, reason);
    } else if (isBlocked) {
        // Callers do not repeat a request after this status.
        refuse(StatusBadRequest, reason, Duration(0));
    } else {
        refuse(StatusUnavailable, reason, CauseUnknownRetryAfter);
    }
    return false;
}

std::uint64_t ForwardedRequest::crashPosition() const
{
    return request_.lastEventId.empty() ? splitter_.eventCount() : UnknownPosition;
}

void ForwardedRequest::noteConnectionBroken()
{
    if (!tools_.suspects) {
        return;
    }
    const std::string &instance = attempt_->server->server.instance;
    // A server that has refused too much crashes by itself.
    if (isManaged() && tools_.overload->hasRefusedLately(serverKey())) {
        logCrashNotCounted("overloaded");
        return;
    }
    if (tools_.reachability->wasCutOffSince(attempt_->sentAt)) {
        logCrashNotCounted("cut_off");
        return;
    }
    tools_.suspects->noteConnectionBroken(instance, {fingerprint(), crashPosition(), tools_.loop->now() - attempt_->sentAt, sharedParts_});
}

void ForwardedRequest::noteRunGivenUp()
{
    const bool hasArrived = attempt_ && attempt_->channel->isConnected() && !tools_.reachability->wasCutOffSince(attempt_->sentAt);
    if (tools_.suspects && hasArrived) {
        tools_.suspects->noteRunGivenUp(
            attempt_->server->server.instance, {fingerprint(), crashPosition(), tools_.loop->now() - attempt_->sentAt, sharedParts_});
    }
}

void ForwardedRequest::logCrashNotCounted(std::string_view reason)
{
    tools_.metrics->add(fmt::format("crashes_not_counted_total{{reason=\"{}\"}}", reason));
    const std::string identity = fmt::format("{:016x}", fingerprint());
    tools_.log->write(Event::CrashNotCounted,
        {{Attribute::Request, request_.id},
            {Attribute::Server, attempt_->server->server.instance},
            {Attribute::Fingerprint, identity},
            {Attribute::Reason, reason},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())}});
}

// A 421 comes from another process at the server's address.
void ForwardedRequest::noteServerActive()
{
    if (attempt_->head.status == StatusMisdirected) {
        return;
    }
    tools_.pool->noteActivity(attempt_->server->server.instance);
    tools_.reachability->noteActivity();
    if (tools_.suspects) {
        tools_.suspects->noteServerActive(attempt_->server->server.instance);
    }
}

bool ForwardedRequest::beganAnswer() const
{
    return attempt_->eventsBefore == 0 && request_.lastEventId.empty() && kvSource_.empty();
}

// The end of an answer that several servers gave in turn says nothing: each may have crashed a moment after it began to run the request.
void ForwardedRequest::noteWholeAnswer()
{
    if (tools_.suspects && beganAnswer()) {
        tools_.suspects->noteWholeAnswer(fingerprint());
    }
}

// Says nothing of the last part: where it is the last, it can't have been the cause of a crash either.
void ForwardedRequest::notePromptAnswered()
{
    if (!tools_.suspects || request_.prompt.empty()) {
        return;
    }
    promptAnsweredAt_ = tools_.loop->now();
    tools_.suspects->noteAnswered(sharedParts_);
}

// A moved run goes on from a copy of what another server has read.
bool ForwardedRequest::hasBornePrompt() const
{
    const bool hasEvents = splitter_.eventCount() - attempt_->eventsBefore >= suspects::MinEventsOfAnswer;
    return kvSource_.empty() && hasEvents && tools_.loop->now() - attempt_->firstByteAt >= suspects::MinTimeOfAnswer;
}

void ForwardedRequest::noteEvents()
{
    if (hasBornePrompt() && (!promptAnsweredAt_ || tools_.loop->now() - *promptAnsweredAt_ >= AnswerNotePeriod)) {
        notePromptAnswered();
    }
}

} // namespace cardamomlift::forwarding
