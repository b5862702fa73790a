#include "forwarding/internal/forwardedrequest.h"
#include "stragglers/stragglerrules.h"

namespace cardamomlift::forwarding {

// The answers of a server that is being resumed begin with a prompt of another length, so they say nothing of its pace.
void ForwardedRequest::notePaceOfFirstByte()
{
    if (tools_.pace && isStream() && splitter_.lastId().empty()) {
        tools_.pace->noteFirstByte(service_, attempt_->prefillTokens, attempt_->firstByteAt - attempt_->sentAt);
    }
}

// Several events that are read at once share the time since the event before them.
void ForwardedRequest::notePaceOfEvents()
{
    const TimePoint now = tools_.loop->now();
    const std::uint64_t events = splitter_.eventCount() - attempt_->eventsBefore;
    if (tools_.pace && attempt_->eventsTimed > 0 && events > attempt_->eventsTimed) {
        tools_.pace->noteEvents(attempt_->server->server.instance, service_, events - attempt_->eventsTimed, now - attempt_->lastEventAt);
    }
    if (attempt_->eventsTimed > 0 && events > attempt_->eventsTimed) {
        stragglers::noteEvents(attempt_->gaps, events - attempt_->eventsTimed, now - attempt_->lastEventAt, route_->eventGapGoal);
    }
    attempt_->eventsTimed = events;
    attempt_->lastEventAt = now;
}

// A failure may come sooner than the work would have taken, and a whole stream in one part says nothing of its events.
void ForwardedRequest::notePaceOfAnswer()
{
    if (tools_.pace && !isStream()) {
        tools_.pace->noteAnswer(attempt_->server->server.instance, service_, tools_.loop->now() - attempt_->sentAt);
    }
}

} // namespace cardamomlift::forwarding
