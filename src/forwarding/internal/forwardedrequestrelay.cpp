#include "forwarding/internal/forwardedrequest.h"
#include "forwarding/internal/forwardingconstants.h"
#include "relay/relayformat.h"
#include "relay/relayrules.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

/// A request that could not connect to this many servers is handed over, even if it is not known that this VM is cut off.
constexpr int MaxConnectFailures = 2;
constexpr Duration MinRelayCheck = std::chrono::milliseconds(50);

} // namespace

bool ForwardedRequest::checkRelay()
{
    if (source_ == RequestSource::Caller) {
        return true;
    }
    const relay::RelayFields fields = relay::readRelayFields(exchange_->head()).value_or(relay::RelayFields());
    isAdmitted_ = fields.isAdmitted;
    usageNoted_ = fields.isUsageNoted;
    tools_.log->write(Event::RequestTakenOver,
        {{Attribute::Request, request_.id}, {Attribute::Peer, fields.from}, {Attribute::Version, static_cast<std::int64_t>(fields.manifestVersion)}});
    if (tools_.reachability->state() == reachability::State::Unreachable) {
        refuse(StatusUnavailable, FailureReason::CutOff, ServersFullRetryAfter);
        return false;
    }
    if (manifest_->manifest().version < fields.manifestVersion) {
        refuse(StatusUnavailable, FailureReason::ManifestBehind, ServersFullRetryAfter);
        return false;
    }
    return true;
}

// Another VM starts the request anew. It knows nothing of a KV cache that has been moved for it, and offers it to a server: after a refusal
// that would be a repeat.
bool ForwardedRequest::mayRelay() const
{
    const bool mayStartAnew = kvSource_.empty() && !wasRefusedByServer_ && (mayRepeat() || (runs_ == 0 && !hasStreamStarted()));
    return source_ == RequestSource::Caller && tools_.relays && relays_ < relay::MaxRelays && mayStartAnew;
}

bool ForwardedRequest::shouldRelay() const
{
    return mayRelay() && (connectFailures_ >= MaxConnectFailures || !tools_.reachability->isDirect(salt()));
}

bool ForwardedRequest::startRelay()
{
    const auto peer = tools_.relays->choose(manifest_->manifest().version, triedPeers_, salt(), {});
    if (!peer) {
        return false;
    }
    sendToPeer(*peer, tools_.reachability->isDirect(salt()) ? "not_connected" : "cut_off");
    return true;
}

bool ForwardedRequest::startRelayForRoom()
{
    if (!mayRelay() || relays_ >= relay::MaxRelaysForRoom) {
        return false;
    }
    const auto peer = tools_.relays->choose(manifest_->manifest().version, triedPeers_, salt(), {.serverRoom = true});
    if (!peer) {
        return false;
    }
    sendToPeer(*peer, "no_room");
    relay_->needsRoom = true;
    return true;
}

// Plain requests only: the events of a stream would pass through both VMs, and cost as much here as before.
bool ForwardedRequest::handOverIfBusy()
{
    const bool isNew = sends_ == 0 && relays_ == 0 && !isStream();
    if (!tools_.vmLoad || !isNew || !mayRelay() || !tools_.vmLoad->shouldHandOver(salt())) {
        return false;
    }
    const auto peer = tools_.relays->choose(manifest_->manifest().version, triedPeers_, salt(), {.maxLag = tools_.vmLoad->headroomLag()});
    if (!peer) {
        return false;
    }
    tools_.metrics->add("requests_handed_over_busy_total");
    sendToPeer(*peer, "busy");
    return true;
}

relay::RelayFields ForwardedRequest::relayFields() const
{
    relay::RelayFields fields;
    fields.from = tools_.settings.instance;
    fields.manifestVersion = manifest_->manifest().version;
    fields.isAdmitted = isAdmitted_;
    fields.isUsageNoted = usageNoted_;
    return fields;
}

void ForwardedRequest::sendToPeer(const relay::RelayPeer &peer, std::string_view reason)
{
    relays_++;
    tools_.metrics->add("requests_relayed_total");
    tools_.log->write(Event::RequestRelayed,
        {{Attribute::Request, request_.id},
            {Attribute::Route, route_->name},
            {Attribute::Peer, peer.instance},
            {Attribute::Zone, peer.zone},
            {Attribute::Reason, reason},
            {Attribute::Attempt, static_cast<std::int64_t>(relays_)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::LeftMs, toMilliseconds(timeLeft())}});
    relay_ = Relay();
    relay_->peer = peer;
    relay_->channel = tools_.relays->acquire(peer);
    relay_->lastByteAt = tools_.loop->now();
    http1::RequestHead head = tools_.wire.writeRelay(exchange_->head(), timeLeft(), splitter_.lastId());
    relay::writeRelayFields(relayFields(), head);
    http1::CallHandlers handlers;
    handlers.accepts = [this](const http1::ResponseHead &answer) {
        const std::string id = tools_.wire.readAnswer(answer).requestId;
        return id.empty() || id == request_.id;
    };
    handlers.onHead = [self = shared_from_this()](http1::ResponseHead answer) {
        self->onRelayHead(std::move(answer));
    };
    handlers.onBody = [self = shared_from_this()](std::string_view part) {
        self->onRelayBody(part);
    };
    handlers.onComplete = [self = shared_from_this()] {
        self->onRelayComplete();
    };
    handlers.onFailure = [self = shared_from_this()](http1::CallFailure failure) {
        self->onRelayFailure(failure);
    };
    const std::string encoded = http1::encodeHead(head, exchange_->body().size()) + exchange_->body();
    relay_->requestBytes = encoded.size();
    updateHeldBytes();
    relay_->channel->call(encoded, head.method == "HEAD", std::move(handlers));
    watchRelay();
}

void ForwardedRequest::onRelayHead(http1::ResponseHead head)
{
    relay_->lastByteAt = tools_.loop->now();
    relay_->isEventStream = isEventStream(head, tools_.wire.readAnswer(head));
    relay_->head = std::move(head);
    relay_->requestBytes = 0;
    updateHeldBytes();
}

void ForwardedRequest::onRelayBody(std::string_view bytes)
{
    relay_->lastByteAt = tools_.loop->now();
    if (!relay_->isEventStream) {
        relay_->body += bytes;
        updateHeldBytes();
        return;
    }
    const std::string events = splitter_.feed(bytes);
    if (events.empty()) {
        return;
    }
    if (!headSent_) {
        // The VM that has taken it over counts its run.
        usageNoted_ = true;
        beginStream(relay_->head);
    }
    exchange_->send(events);
}

void ForwardedRequest::onRelayComplete()
{
    if (relay::isUnavailable(relay_->head)) {
        onRelayUnavailable("unavailable", true);
        return;
    }
    if (!relay_->isEventStream) {
        forwardRelayedAnswer();
        return;
    }
    if (splitter_.isInsideEvent()) {
        onRelayBroken("broken");
        return;
    }
    completeStream(relay_->head);
    endAnsweredRelay();
}

// The answer is a server's, or the other VM's own. What that VM says of the request holds for its own sends only.
void ForwardedRequest::forwardRelayedAnswer()
{
    const int status = relay_->head.status;
    const bool isSigned = tools_.wire.readAnswer(relay_->head).isSigned;
    const bool isNotRun = saysNotRun(status) && !isSigned;
    if (hasStreamStarted() || (isNotRun && runs_ > 0)) {
        fail(StatusBadGateway, hasStreamStarted() ? FailureReason::StreamBroken : FailureReason::OutcomeUnknown);
        return;
    }
    const bool hasFailed = isSigned ? status >= StatusServerError : status == StatusBadGateway;
    if (hasFailed && retryRelayed()) {
        return;
    }
    if (saysNotRun(status) && isSigned && !mayRepeat()) {
        failUnmarkedRefusal();
        return;
    }
    if (isNotRun && allowanceTaken_) {
        tools_.allowances->refund(*customer_, cost());
    }
    exchange_->answer(tools_.wire.writeAnswer(relay_->head), relay_->body);
    endAnsweredRelay();
}

// The other VM could not get an answer from a server, or the server has failed.
bool ForwardedRequest::retryRelayed()
{
    runs_++;
    if (!mayRunAgain() || !takeRetry()) {
        return false;
    }
    logRelay("server_error");
    triedPeers_.insert(relay_->peer.instance);
    endRelay(true);
    tools_.metrics->retried(metrics::RetryReason::ServerFailed);
    retry();
    return true;
}

void ForwardedRequest::endAnsweredRelay()
{
    logRelay("answered");
    endRelay(true);
    finish();
}

void ForwardedRequest::onRelayFailure(http1::CallFailure failure)
{
    if (failure == http1::CallFailure::Broken) {
        onRelayBroken("broken");
        return;
    }
    onRelayUnavailable("not_connected", false);
}

void ForwardedRequest::onRelayUnavailable(std::string_view why, bool keepChannel)
{
    logRelay(why);
    triedPeers_.insert(relay_->peer.instance);
    if (relay_->needsRoom && keepChannel) {
        tools_.relays->noteLacksRoom(relay_->peer.instance);
    } else {
        tools_.relays->noteFailed(relay_->peer.instance);
    }
    endRelay(keepChannel);
    retry();
}

// The other VM may have sent the request to a server.
void ForwardedRequest::onRelayBroken(std::string_view why)
{
    runs_++;
    logRelay(why);
    triedPeers_.insert(relay_->peer.instance);
    tools_.relays->noteFailed(relay_->peer.instance);
    endRelay(false);
    retryBroken();
}

// The other VM may first try a server that accepts no connection.
Duration ForwardedRequest::relaySilenceLimit() const
{
    return silenceLimit(!headSent_) + ConnectTimeout;
}

void ForwardedRequest::watchRelay()
{
    const bool isConnected = relay_->channel->isConnected();
    const Duration wait = isConnected ? std::max(MinRelayCheck, relay_->lastByteAt + relaySilenceLimit() - tools_.loop->now()) : ConnectTimeout;
    tools_.loop->cancel(relayTimer_);
    relayTimer_ = tools_.loop->after(wait, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && self->relay_) {
            self->onRelayTimeout();
        }
    });
}

// As with servers: only a request that may run again is sent elsewhere, any other keeps waiting.
void ForwardedRequest::onRelayTimeout()
{
    if (!relay_->channel->isConnected()) {
        onRelayFailure(http1::CallFailure::NotConnected);
        return;
    }
    const bool isSilent = tools_.loop->now() - relay_->lastByteAt >= relaySilenceLimit();
    if (isSilent && mayRepeat() && runs_ + 1 < route_->maxAttempts) {
        onRelayBroken("silent");
        return;
    }
    watchRelay();
}

void ForwardedRequest::endRelay(bool keepChannel)
{
    tools_.loop->cancel(relayTimer_);
    if (!relay_) {
        return;
    }
    Relay relay = std::move(*relay_);
    relay_.reset();
    updateHeldBytes();
    tools_.relays->release(relay.peer.instance, std::move(relay.channel), keepChannel);
}

void ForwardedRequest::logRelay(std::string_view outcome) const
{
    const bool isAnswered = outcome == "answered";
    tools_.log->write(isAnswered ? Event::RequestAnswered : Event::AttemptFailed,
        {{Attribute::Request, request_.id},
            {Attribute::Route, route_->name},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Peer, relay_->peer.instance},
            {Attribute::Zone, relay_->peer.zone},
            {Attribute::Outcome, outcome},
            {Attribute::Status, std::int64_t(relay_->head.status)},
            {Attribute::Attempt, static_cast<std::int64_t>(relays_)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.eventCount())},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::LeftMs, toMilliseconds(timeLeft())}});
}

} // namespace cardamomlift::forwarding
