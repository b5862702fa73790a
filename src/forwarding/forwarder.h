#pragma once

#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "forwarding/customerhooks.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/peerbacklog.h"
#include "forwarding/retrypacer.h"
#include "forwarding/serverlimitgate.h"
#include "forwarding/serverpool.h"
#include "forwarding/servicedemand.h"
#include "forwarding/versiongate.h"
#include "forwarding/wireformat.h"
#include "http1/callerserver.h"
#include "kernel/eventloop.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "outliers/outlierdetector.h"
#include "prefixindex/prefixindex.h"
#include "retry/retrybudget.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::forwarding {

/// What a forwarder works with. All but the hooks must be set.
struct ForwarderTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<ServerPool> pool;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<AllowanceGate> allowances; ///< May be null: no bound.
    std::shared_ptr<UsageMeter> usage; ///< May be null.
    std::shared_ptr<VersionGate> versions; ///< May be null: versions make no difference.
    std::shared_ptr<ServerLimitGate> limits; ///< May be null: servers name no limits.
    /// How many VMs share what may be repeated; empty while it is not known.
    std::function<std::optional<std::size_t>()> vmCount;
    std::shared_ptr<ServiceDemand> demand;
    std::shared_ptr<outliers::OutlierDetector> outliers;
    std::shared_ptr<prefixindex::PrefixIndex> prefixes;
    std::shared_ptr<PeerBacklog> peerBacklog;
    WireFormat wire;
    ForwardingSettings settings;
};

class ForwardedRequest;

/// Takes callers' requests and has them answered by backend servers, by the declared routes.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
    static std::shared_ptr<Forwarder> create(ForwarderTools tools);

    void handle(http1::ExchangePtr exchange);
    std::size_t openRequests() const;
    /// Follows the number of VMs, and lets what a young process may repeat grow. Called a few times a second.
    void tick();
    /// This VM ends at @p end: requests that may not be answered by then are refused.
    void beginDrain(TimePoint end);
    void setSettings(const ForwardingSettings &settings);
    /// All servers of @p service but those of @p version stop at @p stopAt, without draining: runs that have not ended by
    /// then are moved, as in a reclaim.
    void moveRunsOffOtherVersions(const std::string &service, const std::string &version, TimePoint stopAt);

private:
    friend class ForwardedRequest;
    void onLeaving(const directory::ServerPtr &server);
    explicit Forwarder(ForwarderTools tools);
    retry::RetryBudget &budget(const std::string &service);
    void forget(ForwardedRequest *request);
    std::shared_ptr<ForwarderTools> tools_; ///< Shared with the requests, which the loop may free later than this.
    /// True if a request that may last until @p deadline is still taken.
    bool takesWork(TimePoint deadline) const;
    std::optional<TimePoint> drainBegan_;
    TimePoint drainEnd_;
    struct ServiceBudget {
        retry::RetryBudget repeats;
        double granted = 0; ///< Of the most that may be saved up, since the process began.
    };
    double mostRepeats() const;
    double grantedPart() const;
    TimePoint startedAt_;
    std::map<std::string, ServiceBudget> budgets_; ///< By service.
    RetryPacer retryPacer_; ///< Of callers refused by servers' limits.
    std::map<ForwardedRequest *, std::shared_ptr<ForwardedRequest>> open_;
};

} // namespace cardamomlift::forwarding
