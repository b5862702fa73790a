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

/// The collaborators of a RolloutAgent.
struct AgentTools {
    EventLoop *loop = nullptr;
    RolloutLimits limits;
    std::string instance; ///< Instance name of this VM.
    std::shared_ptr<OrderCache> orders;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::shared_ptr<metrics::Metrics> metrics;
    std::function<std::optional<Duration>()> storeNow; ///< Time by the store's clock; empty while unknown.
    std::function<std::optional<std::size_t>()> vmCount; ///< Number of entry VMs; empty while unknown.
    std::function<Duration()> upFor; ///< Time since this process started.
    /// The time up to which all changes of records are known to this VM; empty before the first reading.
    std::function<std::optional<TimePoint>()> recordsConfirmedAt;
    /// Whether this VM, or one that was heard from recently, holds the leader lease and so controls rollouts.
    std::function<bool()> hasLiveController;
};

/// Carries out rollouts on this VM: limits which requests a version gets, counts the outcomes of this VM's requests, and
/// receives the counts of other VMs. A version on trial gets no requests while the known records are out of date or no VM
/// that controls rollouts was heard from recently.
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
    void noteOutcome(const directory::BackendServer &server, const std::string &route, std::optional<Duration> timeToFirstByte) override;

    /// Applies new rows of the table of records.
    void applyRecords(const std::vector<rows::Row> &rows);
    /// Applies the whole table of records and drops records that it lacks. If the store was restored from an older copy, known
    /// records that are missing there, or earlier there, are kept.
    void applyAllRecords(const rows::TableSnapshot &whole);
    /// @p handler is called when a rollout enters the phase Moving. Servers of other versions stop at @p stopAt; requests
    /// that are still open there must continue elsewhere before that.
    void onMoving(std::function<void(const Record &record, TimePoint stopAt)> handler);
    /// Adds this VM's counts to the status that it sends to the other VMs.
    void fillStatus(presence::Status &status) const;
    void receiveStatus(const presence::Status &status);
    /// Pauses a trial on this VM if the outcomes known here show that the version is bad. To be called a few times per second.
    void tick();

    /// Null if there is none.
    const Record *record(std::string_view service) const;
    /// Whether the store was restored from a copy that lacks the record or has an earlier one, so that it must be written
    /// again.
    bool isRecordLost(std::string_view service) const;
    /// Outcomes of the requests of all VMs since the service's newest order.
    RolloutOutcomes outcomes(const std::string &service) const;
    /// Open requests, at servers of other versions, of this VM and of the VMs that were heard from recently.
    std::uint64_t openAtOtherVersions(const std::string &service) const;
    bool isAnyInProgress() const;
    std::vector<std::string> servicesWithRecord() const;

private:
    /// The newest counts from another process, about the newest order.
    struct PeerReport {
        RolloutOutcomes outcomes;
        std::uint32_t openAtOtherVersions = 0;
        TimePoint receivedAt;
    };
    /// State of one service.
    struct ServiceState {
        std::optional<Record> record;
        bool isRecordLost = false;
        std::set<std::string, std::less<>> knownVersions; ///< Versions whose orders, if there were any, have been read.
        std::map<std::string, int, std::less<>> open; ///< Open requests of this VM, by version of the server.
        rows::StoreVersion countedOrderId; ///< Id of the order that the following members are about.
        std::optional<ExposureBudget> budget;
        RolloutOutcomes own; ///< Outcomes of this VM's requests.
        std::map<std::pair<std::string, std::uint64_t>, PeerReport> peerReports; ///< By instance and incarnation.
        std::set<std::string, std::less<>> chosenServers; ///< Servers on trial that get the requests in the current slice.
        bool looksBad = false; ///< According to the outcomes known to this VM.
        std::string_view loggedPauseReason; ///< Last logged; empty: not paused.
    };
    explicit RolloutAgent(AgentTools tools);
    void onOrder(const Order &order);
    VersionState versionState(const directory::BackendServer &server);
    /// Whether all orders from before the server was listed have been read.
    bool isVersionKnown(ServiceState &state, const directory::BackendServer &server) const;
    /// Why this VM may not send requests to the version on trial now, as logged; empty if it may. "no_judge": there is no live
    /// controller.
    std::string_view pauseReason(const ServiceState &state) const;
    bool mayRunTrial(const std::string &service, ServiceState &state);
    /// Usable servers on trial that are not cold.
    std::vector<std::string> trialServers(const std::string &service);
    /// Chooses the servers on trial for the current slice. Returns false if the slice has none or is closed.
    bool chooseTrialServers(const std::string &service, ServiceState &state);
    /// Stores a record that was read and calls the handlers if its phase is new.
    void applyRecord(Record record);
    std::uint32_t ownOpenAtOtherVersions(const ServiceState &state) const;
    AgentTools tools_;
    std::map<std::string, ServiceState, std::less<>> services_;
    std::vector<std::function<void(const Record &, TimePoint)>> movingHandlers_;
};

} // namespace cardamomlift::rollout
