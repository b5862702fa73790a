#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "presence/datagramsocket.h"
#include "presence/grouppeerselector.h"
#include "presence/packeddelta.h"
#include "presence/presencetypes.h"
#include "presence/vmgroups.h"
#include "rows/rowwatch.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace cardamomlift::presence {

/// Dependencies and settings of Presence.
struct PresenceTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<DatagramSocket> socket;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance;
    std::string zone;
    http1::Endpoint endpoint; ///< Address on which this VM receives datagrams.
    std::uint64_t incarnation = 0; ///< Random number that identifies this process; a restarted VM draws a new one.
};

/// Receivers of a change of a table that is broadcast ahead of the next round.
enum class BroadcastScope {
    Group, ///< The VMs of this VM's group.
    All, ///< Also one VM of each other group, which forwards the change to its own group.
};

/// Membership and state exchange among the entry VMs of a deployment. Each VM has a row in the platform's store, by which
/// the others discover it. A VM sends its status in datagrams to the other VMs of its group a few times a second, and requests
/// a summary from one VM of each other group. A small number of VMs forms a single group.
class Presence : public std::enable_shared_from_this<Presence>
{
public:
    static std::shared_ptr<Presence> start(PresenceTools tools);
    ~Presence();

    /// @p fill is called for each status before it is sent, to add a module's part.
    void addStatusContributor(std::function<void(Status &status)> fill);
    /// @p handler is called with each status that is newer than the last one of its VM or group. In the summary of a group,
    /// @c instance is the group's name and @c incarnation the hash of its set of members. @p sentNotBefore: a time on this
    /// VM's clock before which the status was not sent; empty if none is known.
    void onStatus(std::function<void(const Status &status, std::optional<TimePoint> sentNotBefore)> handler);

    /// @p handler is called when the division of the VMs into groups has changed: sums received before and after the change
    /// are not comparable.
    void onRegrouped(std::function<void()> handler);

    /// Sets the check whether this VM is a designated store reader (see TableRelay). A store reader sends its table versions
    /// in each round, about three times a second, even if there are so many VMs that it sends full statuses less often.
    void setStoreReaderCheck(std::function<bool()> isStoreReader);
    /// Called when a table has changed: sends the table versions after a short delay, with the changes for receivers that
    /// lack them.
    void scheduleChangeBroadcast(BroadcastScope scope);
    /// The watch of the table that holds the rows of the entry VMs.
    const std::shared_ptr<rows::RowWatch> &rowWatch() const;

    /// All other entry VMs, by instance.
    const std::map<std::string, Peer> &peers() const;
    /// The other groups, by name, with the newest summary of each; empty if all VMs are one group.
    const std::map<std::string, Peer> &groups() const;
    /// The peers and groups from which a status was received within @p age.
    std::vector<const Peer *> recentlyHeard(Duration age) const;
    /// The name of this VM's group.
    const std::string &group() const;
    bool isInOwnGroup(const std::string &instance) const;
    /// Time between two full statuses of a VM of the same group, or two summaries of another group, if none is lost.
    Duration period() const;
    /// The number of peers from which a status was received within @p age.
    std::size_t countPeersHeardWithin(Duration age) const;
    /// The number of VMs that have a row, including this one; empty until the rows, including that of this VM, have been read.
    std::optional<std::size_t> vmCount() const;
    /// The names of these VMs; empty until vmCount() is known.
    std::vector<std::string> vmNames() const;
    const std::string &instance() const;
    std::uint64_t incarnation() const;
    /// Time since this process started.
    Duration uptime() const;
    /// Time since the process of @p peer started, by its newest status; 0 if none was received.
    Duration uptime(const Peer &peer) const;

private:
    explicit Presence(PresenceTools tools);
    void writeRow();
    void applyRows(const std::vector<rows::Row> &rows);
    void applyRow(const rows::Row &row);
    void applySnapshot(const rows::TableSnapshot &snapshot);
    void regroup();
    void notifyRegrouped() const;
    /// The number of parts that a round is sent in.
    int slotsPerRound() const;
    bool isInSlot(int index) const;
    void sendSlot();
    void sendToGroup(const Status &full, const Status &partial);
    void requestSummaries(const Status &partial);
    void reportToLeaseHolder(const Status &full, const Status &partial);
    void sendSummary(const Peer &peer);
    void broadcastChanges(BroadcastScope scope);
    void sendTo(const Peer &peer, const Status &status, bool includesDeltas);
    std::optional<PackedDelta> packedDeltaFor(const Peer &peer, const std::string &table, const rows::TableDelta &delta);
    Status makeStatus();
    void merge(Peer &peer, Status status);
    void handleSummary(Peer &peer, Status status, std::optional<TimePoint> sentNotBefore);
    void notifyStatusHandlers(const Status &status, std::optional<TimePoint> sentNotBefore) const;
    Status makeSummary() const;
    std::size_t datagramsPerPeriod() const;
    std::uint64_t nextSequence();
    void scheduleSlot();
    void onDatagram(std::string_view bytes);
    void logLivenessChanges();
    void logLivenessChange(const std::string &name, const Peer &peer);
    std::optional<TimePoint> sendTimeLowerBound(std::uint64_t echo) const;
    int roundsPerPeriod() const;

    PresenceTools tools_;
    std::shared_ptr<rows::RowWatch> watch_;
    std::map<std::string, Peer> peers_;
    GroupLayout layout_;
    std::string group_; ///< Name of this VM's group.
    std::map<std::string, Peer> groups_; ///< The other groups, by name.
    std::map<std::string, std::vector<std::string>> groupMembers_; ///< VMs of each other group, highest rendezvous rank first.
    std::size_t groupPeerCount_ = 0; ///< Other VMs of this VM's group.
    GroupPeerSelector peerSelector_;
    std::map<std::string, bool> loggedAsLost_; ///< By peer and group: whether the loss is in the event log, without a return.
    std::vector<std::function<void(Status &)>> statusContributors_;
    std::vector<std::function<void(const Status &, std::optional<TimePoint>)>> statusHandlers_;
    std::vector<std::function<void()>> regroupHandlers_;
    std::uint64_t sequence_ = 0;
    TimePoint startedAt_;
    bool ownRowSeen_ = false;
    std::deque<TimePoint> sendTimes_; ///< When the newest sequences were sent, oldest first.
    Status ownStatus_; ///< As of the last slot.
    TimePoint ownStatusAt_;
    std::optional<Status> summary_; ///< Of this VM's group; built at most once a slot, when first requested.
    std::function<bool()> isStoreReader_;
    /// Deltas packed in this slot, by table, version known to the receiver and newest version. An empty value means that the
    /// delta can't be sent: it is incomplete or too large.
    std::map<std::tuple<std::string, rows::StoreVersion, rows::StoreVersion>, std::optional<PackedDelta>> packedDeltas_;
    int round_ = 0; ///< Number of rounds so far.
    int slot_ = 0; ///< Of the current round.
    std::optional<BroadcastScope> pendingBroadcast_; ///< Set while a broadcast of changes is scheduled.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::presence
