#pragma once

#include "eventlog/eventlog.h"
#include "http1/socket.h"
#include "kernel/eventloop.h"
#include "metrics/metrics.h"
#include "reachability/reachabilitytypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::reachability {

/// Dependencies of a ReachabilityTracker.
struct TrackerTools {
    EventLoop *loop = nullptr;
    std::function<std::vector<ProbeTarget>()> servers; ///< The backend servers that accept new requests.
    std::shared_ptr<eventlog::EventLog> log; ///< May be null.
    std::shared_ptr<metrics::Metrics> metrics;
    /// The number of other VMs that have heard from a backend server within @p age; for the log.
    std::function<std::size_t(Duration age)> peersInContact;
};

/// Finds out whether this VM itself is cut off from the backend servers, from the outcomes of its connections and from probes.
/// Probes only open a connection; they are sent while there is doubt, and while no server can be reached.
class ReachabilityTracker : public std::enable_shared_from_this<ReachabilityTracker>
{
public:
    static std::shared_ptr<ReachabilityTracker> create(TrackerTools tools);
    ~ReachabilityTracker();

    void noteConnected(const std::string &instance);
    void noteConnectFailed(const std::string &instance);
    /// A server sends nothing on a connection that is open, or the connection has broken.
    void noteSilent();
    /// Bytes were received from a server, on any connection.
    void noteActivity();

    State state() const;
    /// True while no server can be reached, and while probes are to show whether any can.
    bool mayBeCutOff() const;
    /// True if no server could be reached at some time since @p time. What has failed since then may not be a server's fault.
    bool wasCutOffSince(TimePoint time) const;
    /// Whether a request may be sent to a server directly. @p salt: differs between requests.
    bool isDirect(std::uint64_t salt) const;
    /// Time since something was last received from any server, or a connection established; empty if never.
    std::optional<Duration> sinceContact() const;
    /// @p handler is called when no server can be reached any more (true), and when the first one can be (false).
    void onChange(std::function<void(bool isCutOff)> handler);
    /// Sends probes and lets old evidence expire. To be called once in TickPeriod.
    void tick();

    static constexpr Duration TickPeriod = std::chrono::milliseconds(250);

private:
    struct Probe {
        std::shared_ptr<http1::Socket> socket;
        TimerId timeout = 0;
    };
    explicit ReachabilityTracker(TrackerTools tools);
    void beginDoubt();
    void noteFailed(const std::string &instance);
    void evaluate();
    void enterUnreachable(const Evidence &evidence);
    void considerRecovery(const std::string &instance);
    void enterRecovering(const std::string &instance);
    void probeIfInDoubt();
    void probe(std::size_t count);
    std::vector<ProbeTarget> serversToProbe() const;
    void startProbe(const ProbeTarget &server);
    void onProbeEnd(const std::string &instance, bool isConnected);
    Evidence evidence() const;
    void logUnreachable(const Evidence &evidence) const;
    /// Forgets what is known of servers that are no longer listed.
    void forgetUnlisted();
    void notify(bool isCutOff) const;

    TrackerTools tools_;
    State state_ = State::Reachable;
    TimePoint doubtfulSince_;
    TimePoint unreachableSince_;
    TimePoint recoveringSince_;
    TimePoint lastFailureAt_;
    TimePoint probedAt_; ///< When probes were last sent.
    TimePoint connectedAt_; ///< When a connection was last established.
    std::optional<TimePoint> lastContactAt_;
    std::set<std::string> failed_; ///< Servers to which no connection could be established since the last that succeeded.
    std::set<std::string> reached_; ///< While unreachable: servers reached in succession.
    std::unordered_map<std::string, Probe> probes_; ///< By instance.
    std::unordered_map<std::string, TimePoint> probedAtByServer_; ///< The servers probed longest ago come first.
    std::vector<std::function<void(bool)>> handlers_;
};

} // namespace cardamomlift::reachability
