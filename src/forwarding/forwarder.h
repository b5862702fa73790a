#pragma once

#include "backoff/backofftracker.h"
#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "forwarding/admissiongate.h"
#include "forwarding/customerhooks.h"
#include "forwarding/forwardingtypes.h"
#include "forwarding/partdemand.h"
#include "forwarding/peerbacklog.h"
#include "forwarding/peerdemand.h"
#include "forwarding/retrypacer.h"
#include "forwarding/serverlimitgate.h"
#include "forwarding/serverpool.h"
#include "forwarding/servicedemand.h"
#include "forwarding/suspectgate.h"
#include "forwarding/versiongate.h"
#include "forwarding/wireformat.h"
#include "http1/httpserver.h"
#include "kernel/eventloop.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"
#include "origins/origintracker.h"
#include "origins/softwarehistory.h"
#include "outliers/outlierdetector.h"
#include "overload/overloadcontroller.h"
#include "pace/pacetracker.h"
#include "prefixindex/prefixindex.h"
#include "reachability/reachabilitytracker.h"
#include "relay/relaypool.h"
#include "retry/retrybudget.h"
#include "stragglers/stragglertracker.h"
#include "vmload/loopmonitor.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace cardamomlift::forwarding {

/// Dependencies of a Forwarder. All must be set except those that may be null.
struct ForwarderTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<ServerPool> pool;
    std::shared_ptr<backoff::BackoffTracker> backoffs;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<AllowanceGate> allowances; ///< May be null: no allowance is enforced.
    std::shared_ptr<AdmissionGate> admission; ///< May be null: requests are sent until servers refuse them.
    std::shared_ptr<UsageMeter> usage; ///< May be null.
    std::shared_ptr<VersionGate> versions; ///< May be null: all server versions are treated alike.
    std::shared_ptr<SuspectGate> suspects; ///< May be null: requests that crash servers are not found.
    std::shared_ptr<ServerLimitGate> limits; ///< May be null: rate limits advertised by servers are ignored.
    /// Number of entry VMs that share the retry budget; empty while it is not known.
    std::function<std::optional<std::size_t>()> vmCount;
    std::shared_ptr<ServiceDemand> demand;
    std::shared_ptr<outliers::OutlierDetector> outliers;
    std::shared_ptr<reachability::ReachabilityTracker> reachability;
    std::shared_ptr<overload::OverloadController> overload; ///< May be null: servers that crash when they refuse too many get no special care.
    std::shared_ptr<origins::OriginTracker> origins; ///< May be null: streams are resumed with any software.
    std::shared_ptr<origins::SoftwareHistory> softwareHistory; ///< May be null.
    std::shared_ptr<relay::RelayPool> relays; ///< May be null: no request is handed over to other entry VMs.
    std::shared_ptr<prefixindex::PrefixIndex> prefixes;
    std::shared_ptr<PeerBacklog> peerBacklog;
    std::shared_ptr<PartDemand> partDemand; ///< May be null: no part of the prompts counts as hot.
    std::shared_ptr<PeerDemand> peerDemand; ///< May be null: nothing is known of the other VMs' requests.
    std::shared_ptr<pace::PaceTracker> pace; ///< May be null: all servers count as equally fast.
    /// How long work takes at a server, by the hash of its instance, relative to the mean of the service. May be null: no run counts as late.
    std::function<double(std::uint64_t server, const std::string &service)> paceOf;
    std::shared_ptr<vmload::LoopMonitor> vmLoad; ///< May be null: this VM keeps up.
    WireFormat wire;
    ForwardingSettings settings;
};

/// Who has sent a request.
enum class RequestSource {
    Caller,
    Peer, ///< Another entry VM, which reaches no backend server itself or has no room at any.
};

class ForwardedRequest;

/// Forwards callers' requests to backend servers by the routes of the manifest.
class Forwarder : public std::enable_shared_from_this<Forwarder>
{
public:
    static std::shared_ptr<Forwarder> create(ForwarderTools tools);

    void handle(http1::ExchangePtr exchange);
    /// Handles a request that another entry VM hands over. It is never handed on.
    void handleRelayed(http1::ExchangePtr exchange);
    std::size_t openRequests() const;
    /// Whether requests were refused a short time ago as servers' limits left no room.
    bool lacksServerRoom() const;
    /// Adapts the retry budgets to the number of VMs and to the age of this process. Called a few times a second.
    void tick();
    /// Moves runs that fall behind at slow servers. To be called a few times a second.
    void checkStragglers();
    /// Announces that this process ends at @p end: after a transition period, requests whose deadline is later are refused.
    void beginDrain(TimePoint end);
    void setSettings(const ForwardingSettings &settings);
    /// Announces that all servers of @p service except those of @p version stop at @p stopAt, without draining. Runs that are
    /// still open there shortly before that are moved to other servers, as when a server is reclaimed.
    void moveRunsOffOtherVersions(const std::string &service, const std::string &version, TimePoint stopAt);

private:
    friend class ForwardedRequest;
    void open(http1::ExchangePtr exchange, RequestSource source);
    void onCutOff();
    void onServerLeaving(const directory::ServerPtr &server);
    explicit Forwarder(ForwarderTools tools);
    retry::RetryBudget &budget(const std::string &service);
    stragglers::StragglerTracker &stragglers();
    void forget(ForwardedRequest *request);
    std::shared_ptr<ForwarderTools> tools_; ///< Shared with the requests, which the event loop may free after this object.
    /// True if a request that may last until @p deadline is still accepted.
    bool acceptsRequest(TimePoint deadline) const;
    std::optional<TimePoint> drainStartedAt_;
    TimePoint drainEndsAt_;
    struct ServiceBudget {
        retry::RetryBudget retries;
        double granted = 0; ///< Retries granted with the age of the process, beside those that requests earn.
    };
    /// Most unused retries that the budget of a service may hold.
    double maxSavedRetries() const;
    /// Fraction of maxSavedRetries() granted by now: grows with the age of the process from 0 to 1 over one retry window.
    double grantedFraction() const;
    TimePoint startedAt_;
    std::map<std::string, ServiceBudget> budgets_; ///< By service.
    std::optional<TimePoint> roomLackedAt_; ///< When a request was last refused for want of room at servers.
    std::shared_ptr<stragglers::StragglerTracker> stragglers_;
    std::optional<TimePoint> stragglersCheckedAt_;
    RetryPacer retryPacer_; ///< For callers that are refused because of servers' rate limits.
    std::map<ForwardedRequest *, std::shared_ptr<ForwardedRequest>> open_;
};

} // namespace cardamomlift::forwarding
