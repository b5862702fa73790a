#pragma once

#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "forwarding/versiongate.h"
#include "kernel/eventloop.h"
#include "metrics/metrics.h"
#include "presence/presencetypes.h"
#include "rollout/exposurebudget.h"
#include "rollout/ordercache.h"
#include "rollout/rolloutoutcomes.h"
#include "rollout/trialslice.h"
#include "rollout/versionrules.h"
#include "rows/rowtypes.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace cardamomlift::rollout {

/// What the keeper works with.
struct AgentTools {
    EventLoop *loop = nullptr;
    RolloutLimits limits;
    std::string instance; ///< This VM's.
    std::shared_ptr<OrderCache> orders;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::function<std::optional<Duration>()> storeNow; ///< The store's clock; empty while it is not known.
    std::function<std::optional<std::size_t>()> vmCount;
    std::function<Duration()> upFor; ///< Since this process began.
    /// Since when no record can have changed unnoticed.
    std::function<std::optional<TimePoint>()> recordsConfirmedAt;
    /// Whether a VM that judges rollouts was heard of lately.
    std::function<bool()> hearsController;
};

/// This VM's part in rollouts: it holds to what a version may get, counts what its requests come to, and hears what the other
/// VMs have counted. Without fresh knowledge, or without a VM that judges, a version on trial gets nothing.
class RolloutAgent : public forwarding::VersionGate
{
public:
    static std::shared_ptr<RolloutAgent> create(AgentTools tools);

    forwarding::VersionPick pick(const std::string &service, const std::string &route) override;
    void cancelTrial(const std::string &service, const std::string &route) override;
    forwarding::Eligibility eligibility(const directory::BackendServer &server, forwarding::VersionPick pick) override;
    bool isRolloutInProgress(std::string_view service) const override;
    bool servesRegularTraffic(const directory::BackendServer &server) override;
    void noteSent(const directory::BackendServer &server) override;
    void noteEnded(const directory::BackendServer &server) override;
    void noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> firstByteAfter) override;

    /// Rows of the table of records.
    void applyRecords(const std::vector<rows::Row> &rows);
    /// The table holds no others. After a restore of the store the records that were known stay, where they are further.
    void applyAllRecords(const rows::TableSnapshot &whole);
    /// Called when the traffic of a service begins to move: others stop at @p stopAt, and what still runs there must go on
    /// elsewhere before that.
    void onMoving(std::function<void(const Record &record, TimePoint stopAt)> handler);
    void fillStatus(presence::Status &status) const;
    void receiveStatus(const presence::Status &status);
    /// Looks whether what is known here alone speaks against a version on trial. A few times a second.
    void tick();

    /// Null if there is none.
    const Record *record(std::string_view service) const;
    /// Whether the store, which was restored, lacks the record or has an earlier one: it is to be written again.
    bool isRecordLost(std::string_view service) const;
    /// What all VMs together have seen of the service's newest order.
    RolloutOutcomes outcomes(const std::string &service) const;
    /// Requests that all VMs that were heard lately have open at servers of other versions.
    std::uint64_t openAtOtherVersions(const std::string &service) const;
    bool isAnyUnderWay() const;
    std::vector<std::string> servicesWithRecord() const;

private:
    /// What another process has told of the newest order.
    struct PeerReport {
        RolloutOutcomes outcomes;
        std::uint32_t openAtOtherVersions = 0;
        TimePoint at;
    };
    /// Of one service.
    struct ServiceState {
        std::optional<Record> record;
        bool isRecordLost = false;
        std::set<std::string, std::less<>> metVersions; ///< Whose orders, if there were any, are known.
        std::map<std::string, int, std::less<>> open; ///< Requests at servers, by version.
        rows::StoreVersion countedFor; ///< The order of what follows.
        std::optional<ExposureBudget> budget;
        RolloutOutcomes own;
        std::map<std::pair<std::string, std::uint64_t>, PeerReport> told; ///< By VM and incarnation.
        std::set<std::string, std::less<>> chosen; ///< Servers on trial that get the trial's requests now.
        bool looksBad = false; ///< By what this VM and those it hears have seen.
        std::string_view pausedFor; ///< As logged last; empty: not paused.
    };
    explicit RolloutAgent(AgentTools tools);
    void onOrder(const Order &order);
    VersionState versionState(const directory::BackendServer &server);
    bool isVersionKnown(ServiceState &state, const directory::BackendServer &server) const;
    /// Why a trial may not go on here now; empty if it may.
    std::string_view pauseReason(const ServiceState &state) const;
    bool mayTry(const std::string &service, ServiceState &state);
    std::vector<std::string> trialServers(const std::string &service);
    /// False if no request is to be tried just now.
    bool chooseTrialServers(const std::string &service, ServiceState &state);
    void adopt(Record record);
    std::uint32_t ownOpenAtOtherVersions(const ServiceState &state) const;
    AgentTools tools_;
    std::map<std::string, ServiceState, std::less<>> services_;
    std::vector<std::function<void(const Record &, TimePoint)>> movingHandlers_;
};

} // namespace cardamomlift::rollout
