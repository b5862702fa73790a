#include "forwarding/routegateway.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

using eventlog::Attribute;
using eventlog::Event;

constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;
constexpr int StatusNotFound = 404;

/// The manifest that keys are checked against must be younger than the revocation time by this margin, which covers the way
/// to a backend server and late timers.
constexpr Duration KeyMargin = std::chrono::milliseconds(400);
/// The load balancer removes a VM after two failed checks one second apart; until then it opens new connections.
constexpr Duration BalancerRemovalTime = std::chrono::milliseconds(2600);
/// The process ends, together with answers that are still open, this long before it would be killed.
constexpr Duration GraceMargin = std::chrono::milliseconds(700);
constexpr Duration DrainCheckPeriod = std::chrono::milliseconds(100);
/// File descriptors reserved for idle channels to backend servers, the store, listeners and files; at most half of all.
constexpr std::size_t ReservedDescriptors = 1000;
/// Clients may hold the memory of the process divided by this; the program, its tables and its channels need the rest.
constexpr std::size_t ClientMemoryDivisor = 4;
/// A connection to the caller and one to the backend server.
constexpr std::size_t DescriptorsPerRequest = 2;

clientbudget::ClientLimits clientLimits(const settings::RouteGatewaySettings &settings)
{
    clientbudget::ClientLimits limits;
    limits.bytes = settings.memoryMegabytes * (1u << 20) / ClientMemoryDivisor;
    limits.descriptors = settings.maxFileDescriptors - std::min(ReservedDescriptors, settings.maxFileDescriptors / 2);
    return limits;
}

http1::ResponseHead statusHead(int status)
{
    http1::ResponseHead head;
    head.status = status;
    return head;
}

} // namespace

ForwardingSettings forwardingSettings(const settings::RouteGatewaySettings &settings, std::string_view instance, std::string_view zone)
{
    ForwardingSettings result;
    result.instance = instance;
    result.zone = zone;
    result.strictKeys = settings.strictKeys;
    result.maxKeyAge = settings.keyRevocationTime - KeyMargin;
    result.retryRatio = settings.retryRatio;
    result.retrySlack = settings.retrySlack;
    return result;
}

RouteGateway::RouteGateway(RouteGatewayTools tools)
    : tools_(std::move(tools))
{
}

RouteGateway::~RouteGateway()
{
    tools_.loop->cancel(drainTimer_);
}

Result<std::shared_ptr<RouteGateway>> RouteGateway::create(RouteGatewayTools tools)
{
    std::shared_ptr<RouteGateway> gateway(new RouteGateway(std::move(tools)));
    BOOST_OUTCOME_TRY(gateway->open());
    return gateway;
}

Result<void> RouteGateway::open()
{
    http1::ServerHandlers handlers;
    handlers.onRequest = [forwarder = tools_.forwarder](http1::ExchangePtr exchange) {
        forwarder->handle(std::move(exchange));
    };
    handlers.onRejected = [this](int status) {
        tools_.metrics->add("requests_unreadable_total");
        tools_.log->write(Event::RequestUnreadable, {{Attribute::Status, std::int64_t(status)}});
    };
    const http1::ServerLimits limits;
    BOOST_OUTCOME_TRY(callers, http1::HttpServer::listen(*tools_.loop, tools_.settings.callers, limits, handlers, tools_.budget));
    callers_ = callers;
    if (tools_.settings.firstPeerPort != 0) {
        handlers.onRequest = [forwarder = tools_.forwarder](http1::ExchangePtr exchange) {
            forwarder->handleRelayed(std::move(exchange));
        };
        BOOST_OUTCOME_TRY(
            peers, http1::HttpServer::listen(*tools_.loop, {tools_.settings.address, tools_.settings.firstPeerPort}, limits, handlers, tools_.budget));
        peers_ = peers;
    }
    applyLimits();
    watchEvictions();
    tools_.manifests->onChange([this](const manifest::ManifestPtr &) { applyLimits(); });
    handlers.onRejected = [](int) {
    };
    handlers.onRequest = [this](const http1::ExchangePtr &exchange) {
        answerReadiness(exchange);
    };
    BOOST_OUTCOME_TRY(readiness, http1::HttpServer::listen(*tools_.loop, tools_.settings.readiness, limits, handlers, tools_.budget));
    readiness_ = readiness;
    if (tools_.settings.metrics.port == 0) {
        return success();
    }
    handlers.onRequest = [this](const http1::ExchangePtr &exchange) {
        answerMetrics(exchange);
    };
    BOOST_OUTCOME_TRY(metricsServer, http1::HttpServer::listen(*tools_.loop, tools_.settings.metrics, limits, handlers, tools_.budget));
    metrics_ = metricsServer;
    return success();
}

void RouteGateway::watchEvictions()
{
    tools_.budget->onEviction([log = tools_.log](const clientbudget::ConnectionUse &use, clientbudget::Shortage shortage) {
        log->write(Event::ClientEvicted,
            {{Attribute::Reason, clientbudget::shortageName(shortage)},
                {Attribute::Activity, clientbudget::activityName(use.activity)},
                {Attribute::Bytes, static_cast<std::int64_t>(use.bytes)}});
    });
}

std::vector<std::shared_ptr<http1::HttpServer>> RouteGateway::requestServers() const
{
    std::vector<std::shared_ptr<http1::HttpServer>> servers{callers_};
    if (peers_) {
        servers.push_back(peers_);
    }
    return servers;
}

std::size_t RouteGateway::openExchanges() const
{
    return callers_->openExchanges() + (peers_ ? peers_->openExchanges() : 0);
}

bool RouteGateway::hasUnsentResponses() const
{
    return callers_->hasUnsentResponses() || (peers_ && peers_->hasUnsentResponses());
}

void RouteGateway::applyLimits()
{
    tools_.budget->setLimits(clientLimits(tools_.settings));
    http1::ServerLimits limits;
    limits.descriptorsPerRequest = DescriptorsPerRequest;
    if (const auto current = tools_.manifests->current()) {
        const manifest::CallerLimits &declared = current->manifest().limits;
        limits.read = {declared.headerBytes, declared.bodyBytes};
        limits.headerTimeout = declared.headerTimeout;
        limits.idleTimeout = declared.idleTimeout;
    }
    for (const auto &server : requestServers()) {
        server->setLimits(limits);
    }
}

bool RouteGateway::isReady() const
{
    return !draining_ && tools_.manifests->current() && tools_.directory->size() > 0;
}

void RouteGateway::applySettings(const settings::RouteGatewaySettings &settings)
{
    tools_.settings.shutdownGrace = settings.shutdownGrace;
    tools_.settings.memoryMegabytes = settings.memoryMegabytes;
    tools_.forwarder->setSettings(forwardingSettings(settings, tools_.instance, tools_.zone));
    applyLimits();
}

void RouteGateway::answerReadiness(const http1::ExchangePtr &exchange) const
{
    exchange->answer(statusHead(isReady() ? StatusOk : StatusUnavailable), {});
}

void RouteGateway::answerMetrics(const http1::ExchangePtr &exchange) const
{
    if (exchange->head().method != "GET") {
        exchange->answer(statusHead(StatusNotFound), {});
        return;
    }
    http1::ResponseHead head = statusHead(StatusOk);
    head.fields.add("Content-Type", "text/plain; version=0.0.4");
    exchange->answer(std::move(head), tools_.metrics->page());
}

void RouteGateway::drain(std::function<void()> done)
{
    if (draining_) {
        return;
    }
    draining_ = true;
    onDrained_ = std::move(done);
    drainStartedAt_ = tools_.loop->now();
    for (const auto &server : requestServers()) {
        server->disableKeepAlive();
    }
    tools_.forwarder->beginDrain(drainStartedAt_ + tools_.settings.shutdownGrace - GraceMargin);
    tools_.log->write(Event::Stopping, {{Attribute::Open, static_cast<std::int64_t>(openExchanges())}});
    drainTimer_ = tools_.loop->every(DrainCheckPeriod, [this] { checkDrained(); });
}

void RouteGateway::checkDrained()
{
    const Duration elapsed = tools_.loop->now() - drainStartedAt_;
    const bool isIdle = openExchanges() == 0 && !hasUnsentResponses() && elapsed >= BalancerRemovalTime;
    if (!isIdle && elapsed < tools_.settings.shutdownGrace - GraceMargin) {
        return;
    }
    tools_.loop->cancel(drainTimer_);
    // NOTE The loop runs for another iteration or two: a request read now would be forwarded and then cut off.
    for (const auto &server : requestServers()) {
        server->stopReading();
    }
    tools_.log->write(Event::Stopped, {{Attribute::Open, static_cast<std::int64_t>(openExchanges())}});
    onDrained_();
}

} // namespace cardamomlift::forwarding
