#pragma once

#include "directory/directory.h"
#include "duties/capacitytarget.h"
#include "duties/leaderlease.h"
#include "duties/orderplan.h"
#include "forwarding/versiongate.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>

namespace cardamomlift::duties {

/// Dependencies of the autoscaler.
struct AutoscalerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<LeaderLease> lease;
    std::shared_ptr<LeaderApi> api;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<forwarding::VersionGate> versions; ///< May be null: then the servers' versions make no difference.
    std::function<std::vector<presence::ServiceLoad>()> ownLoads; ///< The loads that this VM reports to the others.
    /// The measured time to the first byte of a service's answers; may be null.
    std::function<std::optional<pace::FirstByteModel>(const std::string &service)> firstByteModel;
    std::vector<std::string> zones;
};

/// Orders the servers of each service that has scaling settings, while this VM is the leader.
class Autoscaler : public std::enable_shared_from_this<Autoscaler>
{
public:
    static std::shared_ptr<Autoscaler> start(AutoscalerTools tools);
    ~Autoscaler();

private:
    /// Service, failure domain, and whether the servers are reclaimable.
    using OrderKey = std::tuple<std::string, std::string, bool>;
    /// The last order that was sent for a key.
    struct SentOrder {
        int wanted = -1;
        LeaderCallOutcome outcome = LeaderCallOutcome::Failed;
        TimePoint at;
        bool isPending = false;
        int mostPresent = 0; ///< The most servers that were present at one time since.
    };

    struct ServiceState {
        DemandHistory need;
        ServerCapacity capacity;
        ReclaimHistory reclaims;
        FleetLoad load;
        ServerNeed lastNeed;
        std::optional<CapacityTarget> target;
        int maxOrdinary = 0; ///< The most ordinary servers that the list has had at one time.
        TimePoint listGrewAt;
    };
    explicit Autoscaler(AutoscalerTools tools);
    void tick();
    void planService(const manifest::Service &service);
    void addGauges(const std::string &service);
    ServerNeed updateNeed(ServiceState &state, const manifest::Service &service) const;
    void noteTarget(ServiceState &state, const std::string &service, const CapacityTarget &target, const PresentServers &present);
    FleetLoad fleetLoad(const std::string &service) const;
    std::vector<ZoneServers> countServers(const manifest::Service &service) const;
    bool isDue(SentOrder &sent, const ServerOrder &order, int present, const manifest::Scaling &scaling) const;
    bool isRollingOut(const std::string &service) const;
    bool isReclaimableUnavailable(const std::string &service) const;
    bool isListSettling(ServiceState &state, const PresentServers &present, double need) const;
    void send(const ServerOrder &order, int present);
    AutoscalerTools tools_;
    std::uint64_t fence_ = 0; ///< Of the lease under which sentOrders_ and services_ were recorded.
    TimePoint leaderSince_;
    std::map<OrderKey, SentOrder> sentOrders_;
    std::map<std::string, ServiceState> services_; ///< By service.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::duties
