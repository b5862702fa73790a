#include "forwarding/internal/forwardedrequest.h"

#include "backoff/retryafter.h"
#include "forwarding/internal/forwardingconstants.h"
#include "forwarding/internal/promptparts.h"
#include "relay/relayformat.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cardamomlift::forwarding {

namespace {

/// 404 and 401 are returned only if the manifest was confirmed within this time; an older one may lack a new route or key.
constexpr Duration MaxManifestAgeForDenial = std::chrono::seconds(3);
/// For a VM that has lost its connection to the store: the caller's next attempt reaches another VM.
constexpr Duration StaleRetryAfter = std::chrono::milliseconds(200);
/// For a VM that is shutting down: any other VM accepts the request at once.
constexpr Duration DrainingRetryAfter = std::chrono::milliseconds(50);
/// A request with less time left than this is not sent: no server answers that fast.
constexpr Duration MinTimeForSend = std::chrono::milliseconds(20);
/// A request waits no longer for room at a server: a refusal would cost its caller more.
constexpr Duration MaxRoomWait = std::chrono::milliseconds(100);
/// A version that has just joined is recorded within some hundred milliseconds, or used without a record after a second.
constexpr Duration MaxRecordWait = std::chrono::milliseconds(1200);
constexpr Duration RecordCheckPeriod = std::chrono::milliseconds(50);

} // namespace

ForwardedRequest::ForwardedRequest(Forwarder &forwarder, http1::ExchangePtr exchange, RequestSource source)
    : forwarder_(forwarder)
    , toolsOwner_(forwarder.tools_)
    , tools_(*toolsOwner_)
    , exchange_(std::move(exchange))
    , source_(source)
{
}

std::shared_ptr<ForwardedRequest> ForwardedRequest::create(Forwarder &forwarder, http1::ExchangePtr exchange, RequestSource source)
{
    return std::shared_ptr<ForwardedRequest>(new ForwardedRequest(forwarder, std::move(exchange), source));
}

ForwardedRequest::~ForwardedRequest()
{
    tools_.loop->cancel(deadlineTimer_);
    tools_.loop->cancel(connectTimer_);
    tools_.loop->cancel(silenceTimer_);
    tools_.loop->cancel(dispatchTimer_);
    tools_.loop->cancel(moveTimer_);
    tools_.loop->cancel(relayTimer_);
}

void ForwardedRequest::start()
{
    exchange_->onDisconnected([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onCallerGone();
        }
    });
    if (!checkRequest()) {
        return;
    }
    setDeadline();
    if (!forwarder_.acceptsRequest(deadline_)) {
        refuse(StatusUnavailable, FailureReason::Draining, DrainingRetryAfter);
        return;
    }
    service_ = chooseService();
    dispatch();
}

void ForwardedRequest::countRequest()
{
    if (source_ == RequestSource::Caller && !std::exchange(isCounted_, true)) {
        forwarder_.budget(service_).addRequest(service_);
    }
}

bool ForwardedRequest::checkRequest()
{
    request_ = tools_.wire.readRequest(exchange_->head());
    prefixes_ = prefixindex::prefixesOf(request_.prompt);
    sharedParts_ = sharedParts(request_.prompt);
    manifest_ = tools_.manifests->current();
    if (!manifest_) {
        refuse(StatusUnavailable, FailureReason::NoManifest, StaleRetryAfter);
        return false;
    }
    updateHeldBytes();
    return checkRelay() && findRoute() && checkKey();
}

bool ForwardedRequest::findRoute()
{
    route_ = manifest_->route(exchange_->head().fields.get("Host"), exchange_->head().target);
    if (route_ && !route_->shares.empty()) {
        return true;
    }
    if (!tools_.manifests->isFresh(tools_.loop->now(), MaxManifestAgeForDenial)) {
        refuse(StatusUnavailable, FailureReason::StaleKeys, StaleRetryAfter);
        return false;
    }
    refuse(StatusNotFound, FailureReason::NoRoute, Duration(0));
    return false;
}

bool ForwardedRequest::checkKey()
{
    if (manifest_->manifest().customers.empty()) {
        return true;
    }
    customer_ = request_.key.empty() ? nullptr : manifest_->customerByKey(request_.key);
    if (route_->isPublic) {
        return true;
    }
    const TimePoint now = tools_.loop->now();
    if (tools_.settings.strictKeys && !tools_.manifests->isFresh(now, tools_.settings.maxKeyAge)) {
        refuse(StatusUnavailable, FailureReason::StaleKeys, StaleRetryAfter);
        return false;
    }
    if (customer_) {
        return true;
    }
    if (!tools_.manifests->isFresh(now, MaxManifestAgeForDenial)) {
        refuse(StatusUnavailable, FailureReason::StaleKeys, StaleRetryAfter);
        return false;
    }
    refuse(StatusUnauthorized, FailureReason::UnknownKey, Duration(0));
    return false;
}

std::int64_t ForwardedRequest::cost() const
{
    if (!customer_ || !customer_->allowance.countsTokens) {
        return 1;
    }
    return request_.hasTokens ? request_.promptTokens + request_.outputTokens : customer_->allowance.defaultTokens;
}

bool ForwardedRequest::checkAllowance()
{
    if (!customer_ || !tools_.allowances || customer_->allowance.perSecond <= 0) {
        return true;
    }
    const AllowanceDecision decision = tools_.allowances->take(*customer_, cost());
    if (!decision.isAllowed) {
        logAllowance(decision);
        refuse(StatusTooManyRequests, FailureReason::OverAllowance, decision.retryAfter);
        return false;
    }
    allowanceTaken_ = true;
    return true;
}

bool ForwardedRequest::admit()
{
    if (isAdmitted_) {
        return true;
    }
    if (!checkAllowance()) {
        return false;
    }
    isAdmitted_ = true;
    tools_.demand->noteRequest(service_, request_.promptTokens, tools_.loop->now());
    if (tools_.partDemand) {
        tools_.partDemand->noteRequest(service_, affinity(), tools_.loop->now());
    }
    demandNoted_ = true;
    if (tools_.versions) {
        pick_ = tools_.versions->pick(service_, route_->name);
    }
    return true;
}

void ForwardedRequest::setDeadline()
{
    Duration left = route_->timeout.count() > 0 ? route_->timeout : std::chrono::seconds(60);
    if (request_.timeLeft) {
        left = std::min(left, *request_.timeLeft);
    }
    deadline_ = exchange_->startedAt() + left;
    deadlineTimer_ = tools_.loop->after(std::max(Duration(0), deadline_ - tools_.loop->now()), [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onDeadline();
        }
    });
}

// Chooses by weight. Requests with the same id always get the same service.
const std::string &ForwardedRequest::chooseService() const
{
    std::uint64_t sum = 0;
    for (const auto &share : route_->shares) {
        sum += share.weight;
    }
    std::uint64_t point = sum == 0 ? 0 : XXH3_64bits(request_.id.data(), request_.id.size()) % sum;
    for (const auto &share : route_->shares) {
        if (point < share.weight) {
            return share.service;
        }
        point -= share.weight;
    }
    return route_->shares.front().service;
}

// NOTE Without the id, the deadline and other header fields, which differ between repeats.
suspects::Fingerprint ForwardedRequest::fingerprint()
{
    if (!fingerprint_) {
        const http1::RequestHead &head = exchange_->head();
        fingerprint_ = suspects::fingerprintOf(customer_ ? customer_->name : std::string(), head.method + " " + head.target, exchange_->body());
    }
    return *fingerprint_;
}

Duration ForwardedRequest::timeLeft() const
{
    return deadline_ - tools_.loop->now();
}

std::int64_t ForwardedRequest::millisecondsSince(TimePoint since) const
{
    return toMilliseconds(tools_.loop->now() - since);
}

bool ForwardedRequest::isStream() const
{
    return route_->kind == manifest::RouteKind::Stream;
}

bool ForwardedRequest::hasStreamStarted() const
{
    return headSent_;
}

void ForwardedRequest::dispatch()
{
    if (timeLeft() < MinTimeForSend) {
        onDeadline();
        return;
    }
    if (mustFindOrigin()) {
        findOrigin();
        return;
    }
    countRequest();
    if (!checkCrashes() || (shouldRelay() && startRelay()) || handOverIfBusy() || !admit() || !mayUseServers()) {
        return;
    }
    const Choice choice = chooseServer();
    if (pick_ == VersionPick::OnTrial && choice.pick != pick_) {
        tools_.versions->cancelTrial(service_, route_->name);
    }
    // Retries go to the usual versions: the caller should not suffer from a trial twice.
    pick_ = VersionPick::Usual;
    if (!choice.server) {
        endWithoutServer(choice);
        return;
    }
    countSend(choice.server->server.instance);
    send(choice);
}

void ForwardedRequest::endWithoutServer(const Choice &choice)
{
    if (connectFailures_ > 0 && mayRelay() && startRelay()) {
        return;
    }
    const bool isOriginGone = origin_ && choice.ofOrigin == 0;
    if (waitForRecord(choice)) {
        return;
    }
    if (runs_ > 0) {
        fail(StatusBadGateway, isOriginGone ? FailureReason::OriginGone : FailureReason::OutcomeUnknown);
        return;
    }
    if (choice.limited > 0) {
        if (!waitForRoom(choice) && !startRelayForRoom()) {
            refuseForWantOfRoom(choice.limitedPerSecond);
        }
        return;
    }
    if (choice.backingOff > 0 && choice.tried == 0) {
        const Duration left = choice.backoffEndsAt - tools_.loop->now();
        refuse(StatusUnavailable, FailureReason::ServersBackingOff, backoff::retryAfterBackoff(left, salt()));
        return;
    }
    const FailureReason reason = sends_ == 0 ? FailureReason::NoServer : FailureReason::ServersFull;
    refuse(StatusUnavailable, isOriginGone ? FailureReason::OriginGone : reason, serversFullRetryAfter());
}

bool ForwardedRequest::waitForRoom(const Choice &choice)
{
    if (hasWaitedForRoom_ || !choice.roomIn || *choice.roomIn > MaxRoomWait || timeLeft() < *choice.roomIn + MinTimeForSend) {
        return false;
    }
    hasWaitedForRoom_ = true;
    dispatchAfter(*choice.roomIn);
    return true;
}

bool ForwardedRequest::waitForRecord(const Choice &choice)
{
    const bool isLate = millisecondsSince(exchange_->startedAt()) >= toMilliseconds(MaxRecordWait);
    if (choice.unrecorded == 0 || isLate || timeLeft() < RecordCheckPeriod + MinTimeForSend) {
        return false;
    }
    dispatchAfter(RecordCheckPeriod);
    return true;
}

void ForwardedRequest::dispatchAfter(Duration wait)
{
    tools_.loop->cancel(dispatchTimer_);
    dispatchTimer_ = tools_.loop->after(wait, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->finished_) {
            self->dispatch();
        }
    });
}

void ForwardedRequest::refuseForWantOfRoom(double requestsPerSecond)
{
    forwarder_.roomLackedAt_ = tools_.loop->now();
    const Duration retryAfter = forwarder_.retryPacer_.nextDelay(service_, requestsPerSecond, tools_.loop->now());
    refuse(StatusUnavailable, FailureReason::ServersLimited, retryAfter);
}

// Called when the server is chosen; a moved run is sent there a little later.
void ForwardedRequest::countSend(const std::string &instance)
{
    if (tools_.limits) {
        tools_.limits->noteSent(instance);
    }
}

DispatchFields ForwardedRequest::dispatchFields(const Choice &choice) const
{
    const directory::ServerPtr &server = choice.server;
    DispatchFields fields;
    fields.timeLeft = timeLeft();
    fields.serverName = server->server.name;
    if (customer_) {
        fields.customer = customer_->name;
    }
    fields.priority = serverPriority();
    fields.kvSource = kvSource_;
    fields.kvFetch = choice.kvFetchFrom;
    fields.lastEventId = splitter_.lastId().empty() ? request_.lastEventId : splitter_.lastId();
    return fields;
}

void ForwardedRequest::send(const Choice &choice)
{
    const directory::ServerPtr &server = choice.server;
    sends_++;
    logDispatch(choice);
    if (server == late_.returnTo) {
        late_.returnTo.reset();
    }
    attempt_ = Attempt();
    attempt_->server = server;
    attempt_->sentAt = tools_.loop->now();
    attempt_->eventsBefore = splitter_.eventCount();
    attempt_->lastByteAt = attempt_->sentAt;
    attempt_->channel = tools_.pool->acquire(server->server);
    attempt_->prefillTokens = choice.prefillTokens;
    tools_.pool->noteSent(server->server.instance, choice.prefillTokens);
    tools_.prefixes->noteSent(prefixes_, server->server.instance);
    if (tools_.versions) {
        tools_.versions->noteSent(server->server);
    }
    http1::RequestHead head = tools_.wire.writeRequest(exchange_->head(), dispatchFields(choice));
    relay::removeRelayFields(head);
    http1::CallHandlers handlers;
    handlers.mayStillSend = [this] {
        tools_.reachability->noteConnected(attempt_->server->server.instance);
        return mayStillSend();
    };
    handlers.accepts = [this](const http1::ResponseHead &answer) {
        const BackendAnswer read = tools_.wire.readAnswer(answer);
        noteAnnouncements(attempt_->server->server.instance, read);
        return read.requestId.empty() || read.requestId == request_.id;
    };
    handlers.onHead = [self = shared_from_this()](http1::ResponseHead answer) {
        self->onHead(std::move(answer));
    };
    handlers.onBody = [self = shared_from_this()](std::string_view part) {
        self->onBody(part);
    };
    handlers.onComplete = [self = shared_from_this()] {
        self->onComplete();
    };
    handlers.onFailure = [self = shared_from_this()](http1::CallFailure failure) {
        self->onFailure(failure);
    };
    const std::string encoded = http1::encodeHead(head, exchange_->body().size()) + exchange_->body();
    attempt_->requestBytes = encoded.size();
    updateHeldBytes();
    attempt_->channel->call(encoded, exchange_->head().method == "HEAD", std::move(handlers));
    if (sends_ == 1) {
        observeStep("send");
    }
    if (!attempt_->channel->isConnected()) {
        connectTimer_ = tools_.loop->after(ConnectTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->onConnectTimeout();
            }
        });
    }
    watchSilence();
}

// The parts of the prompt are kept twice, with their texts, and the prefixes that they make.
void ForwardedRequest::updateHeldBytes()
{
    constexpr std::size_t BytesPerPart = 2 * sizeof(PromptPart) + sizeof(prefixindex::Prefix);
    std::size_t bytes = sizeof(*this) + request_.prompt.capacity() * BytesPerPart + splitter_.incompleteEvent().capacity();
    if (attempt_) {
        bytes += attempt_->requestBytes + attempt_->body.capacity() + attempt_->head.fields.heldBytes();
    }
    if (relay_) {
        bytes += relay_->requestBytes + relay_->body.capacity() + relay_->head.fields.heldBytes();
    }
    exchange_->setHandlerBytes(bytes);
}

// A moved run is sent in any case: its state is at this server only.
bool ForwardedRequest::mayStillSend() const
{
    const std::string &instance = attempt_->server->server.instance;
    const auto known = tools_.directory->find(instance);
    return !kvSource_.empty() || (known && !known->isLeaving && !tools_.backoffs->endsAt(instance));
}

void ForwardedRequest::onCutOff()
{
    onConnectTimeout();
}

void ForwardedRequest::onConnectTimeout()
{
    if (attempt_ && !attempt_->channel->isConnected()) {
        onFailure(http1::CallFailure::NotConnected);
    }
}

} // namespace cardamomlift::forwarding
