#pragma once

#include "duties/leaderlease.h"
#include "rollout/rolloutagent.h"
#include "rollout/rolloutplan.h"
#include "rows/rowstore.h"

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace cardamomlift::rollout {

/// The table of records, with one row per service.
inline constexpr char RecordsTable[] = "rollouts";

/// Format in which the state of a rollout is reported to the platform. Provided by the platform adapter.
struct StatusFormat {
    /// Returns the write that reports @p state to the platform.
    rows::RowWrite (*writeStatus)(std::string_view service, std::string_view toVersion, ReportedState state) = nullptr;
};

/// The collaborators of a RolloutController.
struct ControllerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<duties::LeaderLease> lease;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<RolloutAgent> agent;
    std::shared_ptr<OrderCache> orders;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::function<std::optional<Duration>()> storeNow; ///< Time by the store's clock; empty while unknown.
    StatusFormat format;
};

/// Decides on the steps of rollouts while this VM holds the leader lease. A step is one transaction that writes the record,
/// which all VMs follow, and the state reported to the platform. Its condition is that the stored record is the one known to
/// this VM. So no step is lost or repeated when the lease changes hands.
class RolloutController : public std::enable_shared_from_this<RolloutController>
{
public:
    static std::shared_ptr<RolloutController> start(ControllerTools tools);
    ~RolloutController();

private:
    /// The outcomes of all VMs at an earlier time.
    struct Snapshot {
        TimePoint at;
        RolloutOutcomes outcomes;
    };
    /// Evaluation and writes for one service.
    struct ServiceState {
        rows::StoreVersion orderId;
        std::deque<Snapshot> snapshots; ///< Oldest first.
        bool isWriting = false; ///< The result of a write is pending.
        TimePoint lastWriteAt;
        rows::StoreVersion lastWriteRowVersion; ///< Row version of the record that the last write was conditional on.
    };
    explicit RolloutController(ControllerTools tools);
    void tick();
    /// Decides on the next step of a service's rollout and writes it.
    void evaluateService(const std::string &service, Duration storeNow);
    /// Evaluates the outcomes since the order and those of the recent periods.
    Verdict verdict(const std::string &service, ServiceState &state) const;
    void write(const std::string &service, Record record, const Verdict &verdict);
    std::vector<std::string> knownVersions(const std::string &service) const;
    ControllerTools tools_;
    std::map<std::string, ServiceState> services_;
    TimerId timer_ = 0;
};

} // namespace cardamomlift::rollout
