#pragma once

#include "clientbudget/clientbudget.h"
#include "eventlog/eventlog.h"
#include "forwarding/forwarder.h"
#include "http1/httpserver.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::forwarding {

/// The forwarder's settings out of those of the gateway.
ForwardingSettings forwardingSettings(const settings::RouteGatewaySettings &settings, std::string_view instance, std::string_view zone);

/// Dependencies of a RouteGateway.
struct RouteGatewayTools {
    EventLoop *loop = nullptr;
    settings::RouteGatewaySettings settings;
    std::string instance;
    std::string zone;
    std::shared_ptr<clientbudget::ClientBudget> budget;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// The listeners of a daemon that serves routes (callers, readiness, metrics), and its graceful shutdown.
class RouteGateway
{
public:
    static Result<std::shared_ptr<RouteGateway>> create(RouteGatewayTools tools);
    ~RouteGateway();

    /// Starts the shutdown: reports not ready, while requests are still served. Calls @p done when all requests have been
    /// answered and the load balancer has taken this VM out, or shortly before the grace period ends.
    void drain(std::function<void()> done);
    bool isReady() const;
    /// Applies new limits from the next request on; listen addresses do not change.
    void applySettings(const settings::RouteGatewaySettings &settings);

private:
    explicit RouteGateway(RouteGatewayTools tools);
    Result<void> open();
    void answerReadiness(const http1::ExchangePtr &exchange) const;
    void answerMetrics(const http1::ExchangePtr &exchange) const;
    void applyLimits();
    void watchEvictions();
    /// The listeners that take requests.
    std::vector<std::shared_ptr<http1::HttpServer>> requestServers() const;
    /// Requests that are being read or answered, also those of other VMs.
    std::size_t openExchanges() const;
    bool hasUnsentResponses() const;
    void checkDrained();
    RouteGatewayTools tools_;
    std::shared_ptr<http1::HttpServer> callers_;
    std::shared_ptr<http1::HttpServer> peers_; ///< For requests that other entry VMs hand over; null: none.
    std::shared_ptr<http1::HttpServer> readiness_;
    std::shared_ptr<http1::HttpServer> metrics_;
    bool draining_ = false;
    TimePoint drainStartedAt_;
    std::function<void()> onDrained_;
    TimerId drainTimer_ = 0;
};

} // namespace cardamomlift::forwarding
