#pragma once

#include "admission/waitqueue.h"
#include "eventlog/eventlog.h"
#include "forwarding/admissiongate.h"
#include "kernel/eventloop.h"
#include "metrics/metrics.h"
#include "presence/presencetypes.h"
#include "routeadmission/fleetlevel.h"
#include "routeadmission/ratemeter.h"
#include "routeadmission/returnplan.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::routeadmission {

/// Dependencies of RouteAdmission.
struct RouteAdmissionTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<eventlog::EventLog> log; ///< May be null.
    std::shared_ptr<metrics::Metrics> metrics; ///< May be null.
    std::uint64_t seed = 0; ///< Differs between VMs.
    /// The sum of the slots of the service's usable servers.
    std::function<double(const std::string &service)> slots;
    /// The tightest latency goal of the routes to the service; 0: none.
    std::function<Duration(const std::string &service)> goal;
    /// Number of VMs, including this one.
    std::function<std::size_t()> vmCount;
    /// Number of statuses that cover all VMs: this one's, those of its group, and the summaries of other groups.
    std::function<std::size_t()> reporterCount;
};

/// Admits requests of routes to services that are short of room: most urgent priority first, equal rates to customers. Each VM
/// admits the same share of the requests of a class, which it computes from the statuses of all VMs.
class RouteAdmission : public forwarding::AdmissionGate, public std::enable_shared_from_this<RouteAdmission>
{
public:
    static std::shared_ptr<RouteAdmission> create(RouteAdmissionTools tools);

    std::uint64_t ask(const forwarding::AdmissionQuestion &question, Handler handler) override;
    void release(std::uint64_t ticket) override;
    void noteServerFull(std::uint64_t ticket) override;
    Duration retryAfter(const std::string &service, int priority) override;

    /// The part of this VM's status that others need.
    std::vector<presence::ClassDemand> demandsToShare() const;
    /// A status of another VM, or the summary of another group.
    void applyPeer(const presence::Status &status);
    /// Forgets what groups have told, as they have changed.
    void forgetPeers();
    /// Computes the admitted shares anew. To be called several times a second.
    void tick();

    /// Whether the service has less room than is asked for.
    bool isShort(const std::string &service) const;
    /// The admitted share of a priority; 1 if the service is not short of room.
    double admittedShare(const std::string &service, int priority) const;
    std::size_t waitingRequests() const;

private:
    struct ClassState {
        RateMeter demand;
        double credit = 0; ///< Grows by the admitted share of the demand; a request that is admitted subtracts its cost.
        double waitingCost = 0;
        TimePoint askedAt; ///< When the last request came.
    };
    struct Service {
        std::string name;
        std::uint64_t hash = 0;
        std::map<ClassKey, ClassState> classes;
        RateMeter served;
        RateMeter refused;
        std::int64_t open = 0; ///< Admitted requests of this VM.
        double meanTokens = 0;
        admission::WaitQueue queue;
        ReturnPlan returns;
        TimePoint askedAt;
        /// As of the last tick:
        ServiceRoom room;
        double demand = 0;
        Duration reportAge{0}; ///< Of the oldest status used.
        bool isShort = false;
        TimePoint shortUntil; ///< Until then its demand is told.
        std::optional<TimePoint> shortSince;
        std::optional<TimePoint> nearlyShortSince;
        std::vector<ClassShare> shares;
        std::map<int, std::pair<double, TimePoint>> loggedShares; ///< By priority: the share, and when it was logged.
    };
    struct Ticket {
        Service *service = nullptr;
        ClassKey key;
        bool isWaiting = false;
        std::optional<TimePoint> fullAt; ///< When a server last refused it.
        /// Only while it waits:
        Handler handler;
        forwarding::AdmissionQuestion question;
        admission::WaitEntry entry;
        double cost = 1;
        TimerId timer = 0;
    };
    struct PeerReport {
        TimePoint heardAt;
        std::vector<presence::ServiceLoad> services;
        std::vector<presence::ClassDemand> demands;
    };
    /// Sums over the statuses of all VMs.
    struct FleetSums {
        ServiceRoom room;
        std::map<ClassKey, double> demands;
        double answersPerSecond = 0;
        std::size_t reporters = 1;
        std::size_t telling = 1; ///< Reporters that have told their demand, or have none.
        bool isMostlyUnheard = false; ///< Fewer than half of the others' statuses have come.
    };

    explicit RouteAdmission(RouteAdmissionTools tools);
    Service &serviceOf(const std::string &name);
    ClassState &classOf(Service &service, ClassKey &key);
    std::uint64_t admit(Service &service, const ClassKey &key, const Handler &handler, std::string_view outcome);
    void refuse(Service &service, const forwarding::AdmissionQuestion &question, const Handler &handler);
    std::optional<Duration> mayWait(
        const Service &service, const ClassState &state, const forwarding::AdmissionQuestion &question, double cost, double share) const;
    std::uint64_t wait(Service &service, const ClassKey &key, const forwarding::AdmissionQuestion &question, Handler handler, double cost, Duration longest);
    void admitWaitingOf(Service &service, const ClassKey &key, ClassState &state);
    void admitAllWaiting(Service &service);
    void admitWaiting(std::uint64_t ticket);
    void onWaitedTooLong(std::uint64_t ticket);
    void endWait(Ticket &ticket);
    void update(Service &service);
    FleetSums sumUp(const Service &service, Duration &oldest) const;
    void addPeers(FleetSums &sums, const Service &service, Duration &oldest) const;
    void logLevels(Service &service, bool wasShort);
    void forgetIdle(Service &service);
    forwarding::AdmissionVerdict verdict(const Service &service, int priority, bool isAdmitted) const;
    Duration planReturnOf(Service &service, int priority, Duration longest, std::uint64_t salt);
    void count(const Service &service, int priority, std::string_view outcome) const;
    double jitter();

    RouteAdmissionTools tools_;
    TimePoint startedAt_;
    std::uint64_t nextTicket_ = 1;
    std::uint64_t random_ = 0;
    std::unordered_map<std::string, std::unique_ptr<Service>> services_;
    std::unordered_map<std::uint64_t, Ticket> tickets_;
    std::map<std::string, PeerReport> peers_; ///< By VM or group.
    std::size_t gauges_ = 0;
};

} // namespace cardamomlift::routeadmission
