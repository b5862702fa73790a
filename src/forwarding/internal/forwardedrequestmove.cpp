#include "balancing/choose.h"
#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardinglimits.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// A run is moved this long before its server goes. Most streams end by themselves within the notice; a copy of usual size
/// takes some tens of milliseconds, and waits for others on the same link.
constexpr Duration MoveLead = std::chrono::milliseconds(700);
/// The source must have answered, and the next server begun, before the caller takes the pause for the end.
constexpr Duration MoveTimeout = std::chrono::milliseconds(1500);
constexpr http1::ReadLimits MoveAnswerLimits{16384, 1u << 16};

} // namespace

void ForwardedRequest::onReclaim(const std::string &instance, TimePoint endsAt)
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

// A stream that may be resumed needs no copy; what runs once at most has no other way to go on.
bool ForwardedRequest::mayMove(const std::string &instance) const
{
    if (finished_ || move_ || !attempt_ || !route_ || !isStream() || route_->isResumable || attempt_->server->server.instance != instance) {
        return false;
    }
    const manifest::Service *service = manifest_->service(service_);
    return service && service->engine && service->engine->canMigrateKv;
}

void ForwardedRequest::startMove()
{
    tried_.insert(attempt_->server->server.instance);
    const auto to = chooseServer().server;
    if (!to || !takeRepeat()) {
        return;
    }
    noteSending(to->server.instance);
    move_ = Move{attempt_->server, to, nullptr, {}, false, false};
    move_->client = http1::CallClient::create(*tools_.loop, attempt_->server->server.endpoint, {}, MoveAnswerLimits);
    std::string body;
    http1::RequestHead head = tools_.wire.writeKvMove({request_.id, to->server.endpoint}, body);
    tools_.log->write(Event::StreamMoved,
        {{Attribute::Request, request_.id},
            {Attribute::Server, attempt_->server->server.instance},
            {Attribute::Holder, to->server.instance},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.events())}});
    move_->client->call(std::move(head), std::move(body), MoveTimeout, [weak = weak_from_this()](const http1::CallResult &result) {
        const auto self = weak.lock();
        if (self && !self->finished_ && self->move_) {
            self->onMoved(result.isAnswered ? self->tools_.wire.readKvMove(result.response) : std::nullopt);
        }
    });
}

void ForwardedRequest::onMoved(const std::optional<std::string> &handle)
{
    move_->isDone = true;
    if (handle) {
        move_->kvSource = http1::formatEndpoint(move_->from->server.endpoint) + "/" + *handle;
    }
    tools_.metrics->add(handle ? "streams_moved_total" : "stream_moves_failed_total");
    if (!handle && attempt_) {
        // The run goes on where it is, as far as it gets.
        move_.reset();
        return;
    }
    continueMoved();
}

// Both must be known: that the source has stopped, with all it had made passed on, and where its memory is.
void ForwardedRequest::continueMoved()
{
    if (!move_->isDone || !move_->hasStopped) {
        return;
    }
    const Move move = std::move(*move_);
    move_.reset();
    if (move.kvSource.empty()) {
        runs_++;
        fail(StatusBadGateway, streamBegan() ? FailureReason::StreamBroken : FailureReason::OutcomeUnknown);
        return;
    }
    kvSource_ = move.kvSource;
    tools_.metrics->retried(metrics::RetryReason::ServerLeaving);
    Choice choice;
    choice.server = move.to;
    choice.candidates = 1;
    send(choice);
}

} // namespace cardamomlift::forwarding
