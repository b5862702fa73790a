#include "forwarding/internal/forwardedrequest.h"

#include "forwarding/internal/forwardinglimits.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// A server that takes no connection within this is passed over: many times the round trip between failure domains.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// A 404 or 401 is given only on knowledge younger than this; older knowledge may lack a new route or key.
constexpr Duration DenialFreshness = std::chrono::seconds(3);
/// A VM that has lost the store: the caller's next try reaches another one.
constexpr Duration StaleRetryAfter = std::chrono::milliseconds(200);
/// This VM is about to end: any other one takes the request now.
constexpr Duration DrainingRetryAfter = std::chrono::milliseconds(50);
/// With less time than this left, a request is not sent once more: no server answers so fast.
constexpr Duration LeastTimeForSend = std::chrono::milliseconds(20);

} // namespace

ForwardedRequest::ForwardedRequest(Forwarder &forwarder, http1::ExchangePtr exchange)
    : forwarder_(forwarder)
    , shared_(forwarder.tools_)
    , tools_(*shared_)
    , exchange_(std::move(exchange))
{
}

std::shared_ptr<ForwardedRequest> ForwardedRequest::create(Forwarder &forwarder, http1::ExchangePtr exchange)
{
    return std::shared_ptr<ForwardedRequest>(new ForwardedRequest(forwarder, std::move(exchange)));
}

ForwardedRequest::~ForwardedRequest()
{
    tools_.loop->cancel(deadlineTimer_);
    tools_.loop->cancel(connectTimer_);
    tools_.loop->cancel(silenceTimer_);
    tools_.loop->cancel(moveTimer_);
}

void ForwardedRequest::start()
{
    exchange_->onGone([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->onGone();
        }
    });
    if (!readAndCheck()) {
        return;
    }
    setDeadline();
    if (!forwarder_.takesWork(deadline_)) {
        refuse(StatusUnavailable, FailureReason::Draining, DrainingRetryAfter);
        return;
    }
    service_ = chooseService();
    forwarder_.budget(service_).earn(service_);
    tools_.demand->noteAsked(service_, request_.promptTokens, tools_.loop->now());
    demandNoted_ = true;
    if (tools_.versions) {
        pick_ = tools_.versions->pick(service_, route_->name);
    }
    dispatch();
}

bool ForwardedRequest::readAndCheck()
{
    request_ = tools_.wire.readRequest(exchange_->head());
    prefixes_ = prefixindex::prefixesOf(request_.prompt);
    manifest_ = tools_.manifests->current();
    if (!manifest_) {
        refuse(StatusUnavailable, FailureReason::NoManifest, StaleRetryAfter);
        return false;
    }
    return findRoute() && checkKey() && checkAllowance();
}

bool ForwardedRequest::findRoute()
{
    route_ = manifest_->route(exchange_->head().fields.get("Host"), exchange_->head().target);
    if (route_ && !route_->shares.empty()) {
        return true;
    }
    if (!tools_.manifests->isFresh(tools_.loop->now(), DenialFreshness)) {
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
    if (tools_.settings.strictKeys && !tools_.manifests->isFresh(now, tools_.settings.keysFreshFor)) {
        refuse(StatusUnavailable, FailureReason::StaleKeys, StaleRetryAfter);
        return false;
    }
    if (customer_) {
        return true;
    }
    if (!tools_.manifests->isFresh(now, DenialFreshness)) {
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
        refuse(StatusTooMany, FailureReason::OverAllowance, decision.retryAfter);
        return false;
    }
    allowanceTaken_ = true;
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

// By the weights, and the same for each try with the same id.
const std::string &ForwardedRequest::chooseService() const
{
    std::uint64_t sum = 0;
    for (const auto &share : route_->shares) {
        sum += share.weight;
    }
    std::uint64_t place = sum == 0 ? 0 : XXH3_64bits(request_.id.data(), request_.id.size()) % sum;
    for (const auto &share : route_->shares) {
        if (place < share.weight) {
            return share.service;
        }
        place -= share.weight;
    }
    return route_->shares.front().service;
}

Duration ForwardedRequest::timeLeft() const
{
    return deadline_ - tools_.loop->now();
}

std::int64_t ForwardedRequest::millisecondsSince(TimePoint since) const
{
    return milliseconds(tools_.loop->now() - since);
}

bool ForwardedRequest::isStream() const
{
    return route_->kind == manifest::RouteKind::Stream;
}

bool ForwardedRequest::streamBegan() const
{
    return headPassed_;
}

void ForwardedRequest::dispatch()
{
    if (timeLeft() < LeastTimeForSend) {
        onDeadline();
        return;
    }
    const Choice choice = chooseServer();
    if (pick_ == VersionPick::OnTrial && choice.pick != pick_) {
        tools_.versions->cancelTrial(service_, route_->name);
    }
    // A repeat is for the caller's sake: it goes where most do.
    pick_ = VersionPick::Usual;
    if (!choice.server) {
        endWithoutServer(choice);
        return;
    }
    noteSending(choice.server->server.instance);
    send(choice);
}

void ForwardedRequest::endWithoutServer(const Choice &choice)
{
    if (runs_ > 0) {
        fail(StatusBadGateway, FailureReason::OutcomeUnknown);
        return;
    }
    if (choice.limited > 0) {
        const Duration back = forwarder_.retryPacer_.next(service_, choice.limitedPerSecond, tools_.loop->now());
        refuse(StatusUnavailable, FailureReason::ServersLimited, back);
        return;
    }
    refuse(StatusUnavailable, sends_ == 0 ? FailureReason::NoServer : FailureReason::ServersFull, FullRetryAfter);
}

// Counted when a server is decided on, also for a moved run, which reaches it a little later.
void ForwardedRequest::noteSending(const std::string &instance)
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
    fields.kvSource = kvSource_;
    fields.kvFetch = choice.fetchFrom;
    fields.lastEventId = splitter_.lastId().empty() ? request_.lastEventId : splitter_.lastId();
    return fields;
}

void ForwardedRequest::send(const Choice &choice)
{
    const directory::ServerPtr &server = choice.server;
    sends_++;
    logDispatch(choice);
    attempt_ = Attempt();
    attempt_->server = server;
    attempt_->sentAt = tools_.loop->now();
    attempt_->lastByteAt = attempt_->sentAt;
    attempt_->channel = tools_.pool->take(server->server);
    attempt_->tokensToRead = choice.tokensToRead;
    tools_.pool->noteSent(server->server.instance, choice.tokensToRead);
    tools_.prefixes->noteSent(prefixes_, server->server.instance);
    if (tools_.versions) {
        tools_.versions->noteSent(server->server);
    }
    const std::string head = http1::encodeHead(tools_.wire.writeRequest(exchange_->head(), dispatchFields(choice)), exchange_->body().size());
    http1::CallHandlers handlers;
    handlers.accepts = [this](const http1::ResponseHead &answer) {
        const std::string id = tools_.wire.readAnswer(answer).requestId;
        return id.empty() || id == request_.id;
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
    attempt_->channel->call(head + exchange_->body(), exchange_->head().method == "HEAD", std::move(handlers));
    if (sends_ == 1) {
        observeStep("send");
    }
    if (!attempt_->channel->isConnected()) {
        connectTimer_ = tools_.loop->after(ConnectTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->onConnectTime();
            }
        });
    }
    watchSilence();
}

void ForwardedRequest::onConnectTime()
{
    if (attempt_ && !attempt_->channel->isConnected()) {
        onFailure(http1::CallFailure::NotConnected);
    }
}

} // namespace cardamomlift::forwarding
