#pragma once

#include "eventlog/eventlog.h"
#include "forwarding/forwarder.h"
#include "http1/callerserver.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "settings/settingstypes.h"

#include <functional>
#include <memory>

namespace cardamomlift::forwarding {

/// What the settings say of forwarding.
ForwardingSettings forwardingSettings(const settings::RouteGatewaySettings &settings, std::string_view zone);

/// What a gateway works with.
struct GatewayTools {
    EventLoop *loop = nullptr;
    settings::RouteGatewaySettings settings;
    std::string zone;
    std::shared_ptr<Forwarder> forwarder;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
};

/// The ports of a daemon that serves routes: callers, readiness and metrics; and its orderly end.
class RouteGateway
{
public:
    static Result<std::shared_ptr<RouteGateway>> create(GatewayTools tools);
    ~RouteGateway();

    /// Not ready from here on; what comes on open connections is still served. Calls @p done when all is answered, or
    /// shortly before the grace time ends.
    void drain(std::function<void()> done);
    bool isReady() const;
    /// Bounds take effect from the next request on; addresses stay as they are.
    void applySettings(const settings::RouteGatewaySettings &settings);

private:
    explicit RouteGateway(GatewayTools tools);
    Result<void> open();
    void answerReadiness(const http1::ExchangePtr &exchange) const;
    void answerMetrics(const http1::ExchangePtr &exchange) const;
    void applyLimits();
    void checkDrained();
    GatewayTools tools_;
    std::shared_ptr<http1::CallerServer> callers_;
    std::shared_ptr<http1::CallerServer> readiness_;
    std::shared_ptr<http1::CallerServer> metrics_;
    bool draining_ = false;
    TimePoint drainBegan_;
    std::function<void()> drained_;
    TimerId drainTimer_ = 0;
};

} // namespace cardamomlift::forwarding
