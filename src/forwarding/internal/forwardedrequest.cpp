#include "forwarding/internal/forwardedrequest.h"

#include "balancing/choose.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr int StatusOk = 200;
constexpr int StatusFirstFailure = 300;
constexpr int StatusServerError = 500;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusTooMany = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/// A server that takes no connection within this is passed over: many times the round trip between failure domains.
constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Sends of one request that servers may refuse or not take before it is given up.
constexpr int MostSends = 4;
/// A 404 or 401 is given only on knowledge younger than this; older knowledge may lack a new route or key.
constexpr Duration DenialFreshness = std::chrono::seconds(3);
/// When servers are full or none is known: about the time in which a wave of requests has been worked off.
constexpr Duration FullRetryAfter = std::chrono::milliseconds(500);
/// A VM that has lost the store: the caller's next try reaches another one.
constexpr Duration StaleRetryAfter = std::chrono::milliseconds(200);
/// This VM is about to end: any other one takes the request now.
constexpr Duration DrainingRetryAfter = std::chrono::milliseconds(50);
/// With less time than this left, a request is not sent once more: no server answers so fast.
constexpr Duration LeastTimeForSend = std::chrono::milliseconds(20);

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

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
        refuse(StatusUnavailable, Reason::Draining, DrainingRetryAfter);
        return;
    }
    service_ = chooseService();
    forwarder_.budget(service_).earn(service_);
    tools_.demand->noteAsked(service_, request_.promptTokens, tools_.loop->now());
    demandNoted_ = true;
    dispatch();
}

bool ForwardedRequest::readAndCheck()
{
    request_ = tools_.wire.readRequest(exchange_->head());
    manifest_ = tools_.manifests->current();
    if (!manifest_) {
        refuse(StatusUnavailable, Reason::NoManifest, StaleRetryAfter);
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
        refuse(StatusUnavailable, Reason::StaleKeys, StaleRetryAfter);
        return false;
    }
    refuse(StatusNotFound, Reason::NoRoute, Duration(0));
    return false;
}

bool ForwardedRequest::checkKey()
{
    if (manifest_->manifest().customers.empty()) {
        return true;
    }
    customer_ = request_.key.empty() ? nullptr : manifest_->customerOfKey(request_.key);
    if (route_->isPublic) {
        return true;
    }
    const TimePoint now = tools_.loop->now();
    if (tools_.settings.strictKeys && !tools_.manifests->isFresh(now, tools_.settings.keysFreshFor)) {
        refuse(StatusUnavailable, Reason::StaleKeys, StaleRetryAfter);
        return false;
    }
    if (customer_) {
        return true;
    }
    if (!tools_.manifests->isFresh(now, DenialFreshness)) {
        refuse(StatusUnavailable, Reason::StaleKeys, StaleRetryAfter);
        return false;
    }
    refuse(StatusUnauthorized, Reason::UnknownKey, Duration(0));
    return false;
}

std::int64_t ForwardedRequest::cost() const
{
    if (!customer_ || !customer_->allowance.countsTokens) {
        return 1;
    }
    return request_.hasTokens ? request_.promptTokens + request_.outputTokens : customer_->allowance.plainTokens;
}

bool ForwardedRequest::checkAllowance()
{
    if (!customer_ || !tools_.allowances || customer_->allowance.perSecond <= 0) {
        return true;
    }
    const AllowanceVerdict verdict = tools_.allowances->take(*customer_, cost());
    if (!verdict.isAllowed) {
        refuse(StatusTooMany, Reason::OverAllowance, verdict.retryAfter);
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

// The parts that other requests of the same session share: all but the last.
std::string ForwardedRequest::affinity() const
{
    if (request_.prompt.size() < 2) {
        return {};
    }
    return request_.prompt[request_.prompt.size() - 2].id;
}

directory::ServerPtr ForwardedRequest::chooseServer()
{
    const auto servers = tools_.directory->usable(service_);
    std::vector<balancing::Candidate> candidates;
    candidates.reserve(servers.size());
    for (const auto &server : servers) {
        if (tried_.contains(server->server.instance)) {
            continue;
        }
        const ServerEntry *entry = tools_.pool->find(server->server.instance);
        candidates.push_back({server.get(), entry ? entry->load : balancing::ServerLoad()});
    }
    const std::string shared = affinity();
    balancing::ChoiceInput input;
    input.zone = tools_.settings.zone;
    input.affinity = shared;
    input.promptTokens = request_.promptTokens;
    input.salt = XXH3_64bits(request_.id.data(), request_.id.size());
    const auto chosen = balancing::choose(candidates, input, tools_.loop->now());
    return chosen ? tools_.directory->find(candidates[*chosen].server->server.instance) : nullptr;
}

void ForwardedRequest::dispatch()
{
    if (timeLeft() < LeastTimeForSend) {
        onDeadline();
        return;
    }
    const auto server = chooseServer();
    if (server) {
        send(server);
        return;
    }
    if (runs_ > 0) {
        fail(StatusBadGateway, Reason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, sends_ == 0 ? Reason::NoServer : Reason::ServersFull, FullRetryAfter);
}

DispatchFields ForwardedRequest::dispatchFields(const directory::ServerPtr &server) const
{
    DispatchFields fields;
    fields.timeLeft = timeLeft();
    fields.instance = server->server.instance;
    if (customer_) {
        fields.customer = customer_->name;
    }
    fields.lastEventId = splitter_.lastId().empty() ? request_.lastEventId : splitter_.lastId();
    return fields;
}

void ForwardedRequest::send(const directory::ServerPtr &server)
{
    sends_++;
    attempt_ = Attempt();
    attempt_->server = server;
    attempt_->sentAt = tools_.loop->now();
    attempt_->channel = tools_.pool->take(server->server, false);
    tools_.pool->noteSent(server->server.instance, request_.promptTokens);
    const std::string head = http1::encodeHead(tools_.wire.writeRequest(exchange_->head(), dispatchFields(server)), exchange_->body().size());
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
    if (!attempt_->channel->isConnected()) {
        connectTimer_ = tools_.loop->after(ConnectTimeout, [weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->onConnectTime();
            }
        });
    }
}

void ForwardedRequest::onConnectTime()
{
    if (attempt_ && !attempt_->channel->isConnected()) {
        onFailure(http1::CallFailure::NotConnected);
    }
}

void ForwardedRequest::onHead(http1::ResponseHead head)
{
    attempt_->hasHead = true;
    attempt_->answer = tools_.wire.readAnswer(head);
    attempt_->head = std::move(head);
    const std::string &instance = attempt_->server->server.instance;
    if (attempt_->answer.load) {
        tools_.pool->noteReport(instance, *attempt_->answer.load);
    }
}

void ForwardedRequest::onBody(std::string_view part)
{
    if (!attempt_->hasFirstByte) {
        attempt_->hasFirstByte = true;
        tools_.demand->noteFirstByte(service_, tools_.loop->now() - exchange_->startedAt(), route_->latencyGoal, tools_.loop->now());
        tools_.pool->noteFirstByte(attempt_->server->server.instance, request_.promptTokens);
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
        tools_.pool->noteSuccess(attempt_->server->server.instance);
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
    if (status >= StatusServerError && route_->kind == manifest::RouteKind::Idempotent) {
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
    tools_.pool->noteSuccess(attempt_->server->server.instance);
    passAnswer();
}

void ForwardedRequest::passAnswer()
{
    if (streamBegan()) {
        // A resumed stream whose new server failed: the caller has seen a head already.
        fail(StatusBadGateway, Reason::StreamBroken);
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
        fail(StatusBadGateway, Reason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, Reason::ServersFull, FullRetryAfter);
}

void ForwardedRequest::onFailure(http1::CallFailure failure)
{
    const std::string instance = attempt_->server->server.instance;
    if (tools_.pool->noteFailure(instance)) {
        tools_.log->write(Event::ServerAvoided, {{Attribute::Server, instance}, {Attribute::Request, request_.id}});
    }
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
        fail(StatusBadGateway, Reason::OutcomeUnknown);
        return;
    }
    refuse(StatusUnavailable, Reason::NoServer, FullRetryAfter);
}

bool ForwardedRequest::mayRunAgain() const
{
    const bool isIdempotent = route_->kind == manifest::RouteKind::Idempotent || (isStream() && route_->isResumable);
    return isIdempotent && runs_ < route_->maxAttempts;
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
    fail(StatusBadGateway, streamBegan() ? Reason::StreamBroken : Reason::OutcomeUnknown);
}

void ForwardedRequest::repeat()
{
    dispatch();
}

void ForwardedRequest::endAttempt(bool keepChannel)
{
    tools_.loop->cancel(connectTimer_);
    if (!attempt_) {
        return;
    }
    const std::string instance = attempt_->server->server.instance;
    if (!attempt_->hasFirstByte) {
        tools_.pool->noteFirstByte(instance, request_.promptTokens);
    }
    tools_.pool->noteEnded(instance);
    auto channel = std::move(attempt_->channel);
    attempt_.reset();
    if (keepChannel) {
        tools_.pool->giveBack(instance, std::move(channel));
        return;
    }
    tools_.pool->discard(instance, std::move(channel));
}

void ForwardedRequest::onDeadline()
{
    if (finished_) {
        return;
    }
    if (attempt_) {
        const bool connected = attempt_->channel->isConnected();
        runs_ += connected ? 1 : 0;
        logAttempt("deadline");
        endAttempt(false);
    }
    if (runs_ > 0) {
        fail(StatusGatewayTimeout, Reason::OutOfTime);
        return;
    }
    refuse(StatusUnavailable, Reason::OutOfTime, FullRetryAfter);
}

void ForwardedRequest::onGone()
{
    if (finished_) {
        return;
    }
    const std::string server = attempt_ ? attempt_->server->server.instance : std::string();
    endAttempt(false);
    tools_.metrics->add("requests_gone_total");
    tools_.log->write(Event::RequestGone,
        {{Attribute::Request, request_.id},
            {Attribute::Server, server},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::Attempt, std::int64_t(sends_)}});
    finish();
}

void ForwardedRequest::refuse(int status, Reason reason, Duration retryAfter)
{
    if (allowanceTaken_) {
        tools_.allowances->giveBack(*customer_, cost());
    }
    http1::ResponseHead head;
    head.status = status;
    if (retryAfter.count() > 0) {
        head.fields.add("Retry-After", fmt::format("{:.3f}", std::chrono::duration<double>(retryAfter).count()));
    }
    const auto age = tools_.manifests->age(tools_.loop->now());
    tools_.metrics->add(fmt::format("forwarding_refusals_total{{reason=\"{}\"}}", reasonName(reason)));
    tools_.log->write(Event::RequestRefused,
        {{Attribute::Request, request_.id},
            {Attribute::Reason, reasonName(reason)},
            {Attribute::Status, std::int64_t(status)},
            {Attribute::Route, route_ ? std::string_view(route_->name) : std::string_view()},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Version, static_cast<std::int64_t>(manifest_ ? manifest_->manifest().version : 0)},
            {Attribute::AgeMs, age ? milliseconds(*age) : std::int64_t(-1)},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::RetryAfterMs, milliseconds(retryAfter)}});
    exchange_->answer(std::move(head), {});
    finish();
}

void ForwardedRequest::fail(int status, Reason reason)
{
    tools_.metrics->add(fmt::format("forwarding_failures_total{{reason=\"{}\"}}", reasonName(reason)));
    tools_.log->write(Event::RequestFailed,
        {{Attribute::Request, request_.id},
            {Attribute::Reason, reasonName(reason)},
            {Attribute::Status, std::int64_t(streamBegan() ? 0 : status)},
            {Attribute::Route, route_->name},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.events())},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())}});
    if (attempt_) {
        endAttempt(false);
    }
    if (streamBegan()) {
        exchange_->breakOff();
        finish();
        return;
    }
    http1::ResponseHead head;
    head.status = status;
    exchange_->answer(std::move(head), {});
    finish();
}

void ForwardedRequest::finish()
{
    if (finished_) {
        return;
    }
    finished_ = true;
    if (demandNoted_) {
        tools_.demand->noteEnded(service_);
    }
    tools_.loop->cancel(deadlineTimer_);
    tools_.loop->cancel(connectTimer_);
    forwarder_.forget(this);
}

void ForwardedRequest::logAttempt(std::string_view outcome)
{
    const auto &server = attempt_->server->server;
    const auto &load = tools_.pool->load(server.instance);
    const bool isAnswered = outcome == "answered";
    if (isAnswered) {
        tools_.metrics->observe("request_seconds", tools_.loop->now() - exchange_->startedAt());
    }
    tools_.log->write(isAnswered ? Event::RequestAnswered : Event::AttemptFailed,
        {{Attribute::Request, request_.id},
            {Attribute::Route, route_->name},
            {Attribute::Customer, customer_ ? std::string_view(customer_->name) : std::string_view()},
            {Attribute::Server, server.instance},
            {Attribute::Zone, server.zone},
            {Attribute::Outcome, outcome},
            {Attribute::Status, std::int64_t(attempt_->head.status)},
            {Attribute::Attempt, std::int64_t(sends_)},
            {Attribute::Version, static_cast<std::int64_t>(manifest_->manifest().version)},
            {Attribute::Open, std::int64_t(load.openHere)},
            {Attribute::Tokens, request_.promptTokens},
            {Attribute::Events, static_cast<std::int64_t>(splitter_.events())},
            {Attribute::FirstEventMs, headPassed_ ? milliseconds(firstEventAt_ - exchange_->startedAt()) : std::int64_t(-1)},
            {Attribute::TookMs, millisecondsSince(exchange_->startedAt())},
            {Attribute::LeftMs, milliseconds(timeLeft())}});
}

} // namespace cardamomlift::forwarding
