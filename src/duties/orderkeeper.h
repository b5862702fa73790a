#pragma once

#include "directory/directory.h"
#include "duties/leaderlease.h"
#include "duties/orderplan.h"
#include "duties/servergoal.h"
#include "forwarding/versiongate.h"
#include "manifest/manifestcache.h"
#include "metrics/metrics.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tuple>

namespace cardamomlift::duties {

/// What the keeper works with.
struct OrderTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<LeaderLease> lease;
    std::shared_ptr<LeaderApi> api;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<manifest::ManifestCache> manifests;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::shared_ptr<presence::Presence> presence;
    std::shared_ptr<forwarding::VersionGate> versions; ///< May be null: versions make no difference.
    std::function<std::vector<presence::ServiceLoad>()> ownLoads; ///< What this VM would say of itself.
    std::vector<std::string> zones;
};

/// Orders the servers of each service that may be ordered, while this VM holds the lease.
class OrderKeeper : public std::enable_shared_from_this<OrderKeeper>
{
public:
    static std::shared_ptr<OrderKeeper> start(OrderTools tools);
    ~OrderKeeper();

private:
    /// An order that was said, by service, failure domain and kind.
    using Subject = std::tuple<std::string, std::string, bool>;
    struct Said {
        int wanted = -1;
        LeaderCallOutcome outcome = LeaderCallOutcome::Failed;
        TimePoint at;
        bool isOpen = false;
    };
    /// What is remembered of one service.
    struct Remembered {
        NeedMemory need;
        int mostOrdinary = 0; ///< Servers that the list has shown at once.
        TimePoint listGrewAt;
    };
    explicit OrderKeeper(OrderTools tools);
    void tick();
    void planService(const manifest::Service &service);
    FleetLoad fleetLoad(const std::string &service) const;
    std::vector<ZoneServers> countServers(const manifest::Service &service) const;
    bool isDue(const Said &said, const ServerOrder &order, int present, const manifest::Scaling &scaling) const;
    bool isRollingOut(const std::string &service) const;
    bool isStockOut(const std::string &service) const;
    bool mayLackServers(Remembered &remembered, const PresentServers &present, double need) const;
    void say(const ServerOrder &order, int present);
    OrderTools tools_;
    std::uint64_t fence_ = 0; ///< Of the lease under which said_ was learned.
    TimePoint heldSince_;
    std::map<Subject, Said> said_;
    std::map<std::string, Remembered> remembered_; ///< By service.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::duties
