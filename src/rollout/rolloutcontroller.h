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

/// The table of records, one row a service.
inline constexpr char RecordsTable[] = "rollouts";

/// How a rollout's state is told to the platform: a function that the platform's adapter gives.
struct StatusFormat {
    rows::RowWrite (*writeStatus)(std::string_view service, std::string_view toVersion, ReportedState state) = nullptr;
};

/// What the judge works with.
struct ControllerTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<duties::LeaderLease> lease;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<RolloutAgent> agent;
    std::shared_ptr<OrderCache> orders;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::function<std::optional<Duration>()> storeNow;
    StatusFormat format;
};

/// Decides rollouts while this VM holds the duty lease. A step is one transaction, on the condition that the record is as this
/// VM knows it: the record by which all VMs act, and the state that the platform is told. So no step is lost between holders,
/// and none is taken twice.
class RolloutController : public std::enable_shared_from_this<RolloutController>
{
public:
    static std::shared_ptr<RolloutController> start(ControllerTools tools);
    ~RolloutController();

private:
    /// What the sums of all VMs were some time ago.
    struct Snapshot {
        TimePoint at;
        RolloutOutcomes outcomes;
    };
    /// Of one service.
    struct Watched {
        rows::StoreVersion orderId;
        std::deque<Snapshot> snapshots; ///< Oldest first.
        bool isWriting = false;
        TimePoint writtenAt;
        rows::StoreVersion triedOn; ///< Row version of the record that the last step was written on.
    };
    explicit RolloutController(ControllerTools tools);
    void tick();
    void look(const std::string &service, Duration storeNow);
    Verdict verdict(const std::string &service, Watched &watched) const;
    void write(const std::string &service, Record record, const Verdict &verdict);
    std::vector<std::string> versionsOf(const std::string &service) const;
    ControllerTools tools_;
    std::map<std::string, Watched> watched_;
    TimerId timer_ = 0;
};

} // namespace cardamomlift::rollout
