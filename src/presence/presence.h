#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "presence/datagramsocket.h"
#include "presence/grouppeerselector.h"
#include "presence/presencetypes.h"
#include "presence/tabledelta.h"
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

/// What presence works with.
struct PresenceTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<DatagramSocket> socket;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance;
    std::string zone;
    http1::Endpoint endpoint; ///< Where this VM takes datagrams.
    std::uint64_t incarnation = 0;
};

/// Who hears at once of changes in the store.
enum class BroadcastScope {
    Group, ///< The VMs of this one's group.
    All, ///< And one VM of each other group, which tells its own.
};

/// The entry VMs of a deployment. Each has a row in the platform's store, by which the others find it. A VM tells the others
/// of its group its state in datagrams a few times a second, and asks one VM of each other group for the sums of that one.
/// Few VMs are one group.
class Presence : public std::enable_shared_from_this<Presence>
{
public:
    static std::shared_ptr<Presence> start(PresenceTools tools);
    ~Presence();

    /// @p fill adds a module's part to each status that is sent.
    void addStatusContributor(std::function<void(Status &status)> fill);
    /// Called with each status that is newer than the last of its VM, or of its group: then the instance is the group's name,
    /// the incarnation that of its set of members. @p provenAt: a time of this VM's clock before the status was sent; empty
    /// if none is known.
    void onStatus(std::function<void(const Status &status, std::optional<TimePoint> provenAt)> handler);

    /// Called when the VMs have been divided into other groups: sums heard before do not compare with those to come.
    void onRegrouped(std::function<void()> handler);

    /// With many VMs, a VM for which @p isStoreReader holds tells what it knows of the store three times a second all the same.
    void setStoreReaderCheck(std::function<bool()> isStoreReader);
    /// Sends what is known of the store soon, to those that lack it: it has changed.
    void scheduleChangeBroadcast(BroadcastScope scope);
    /// The watch of the VMs' own rows.
    const std::shared_ptr<rows::RowWatch> &watch() const;

    /// By instance.
    const std::map<std::string, Peer> &peers() const;
    /// The other groups, by name, with the newest summary of each; empty if all VMs are one group.
    const std::map<std::string, Peer> &groups() const;
    /// The peers and the groups that have told their state within @p age.
    std::vector<const Peer *> recentlyHeard(Duration age) const;
    const std::string &group() const;
    bool isInOwnGroup(const std::string &instance) const;
    /// From one full status of a group mate, or summary of another group, to the next when none is lost.
    Duration period() const;
    /// Peers that were heard within @p age.
    std::size_t countPeersHeardWithin(Duration age) const;
    /// VMs that have a row, this one among them; empty until the rows have been read, this one's among them.
    std::optional<std::size_t> vmCount() const;
    const std::string &instance() const;
    std::uint64_t incarnation() const;
    /// Since this process began.
    Duration uptime() const;
    /// Since the process of @p peer began, as far as it was heard.
    Duration uptime(const Peer &peer) const;

private:
    explicit Presence(PresenceTools tools);
    void writeRow();
    void takeRows(const std::vector<rows::Row> &rows);
    void takeRow(const rows::Row &row);
    void replaceRows(const rows::TableSnapshot &whole);
    void regroup();
    void noteRegrouped() const;
    void sendRound();
    void sendToGroup(const Status &full, const Status &partial);
    void askGroups(const Status &partial);
    void tellHolder(const Status &full, const Status &partial);
    void answer(const Peer &peer);
    void broadcastChanges(BroadcastScope scope);
    void sendTo(const Peer &peer, const Status &status, bool tellsChanges);
    std::optional<TableDelta> changesFor(const Peer &peer, const std::string &table, const rows::TableDelta &news);
    Status makeStatus();
    void merge(Peer &peer, Status status);
    void takeSummary(Peer &peer, Status status, std::optional<TimePoint> provenAt);
    void tellHandlers(const Status &status, std::optional<TimePoint> provenAt) const;
    Status summary() const;
    std::size_t contacts() const;
    std::uint64_t nextSequence();
    void sendSoon();
    void onDatagram(std::string_view bytes);
    void notePeers();
    void noteHeard(const std::string &name, const Peer &peer);
    std::optional<TimePoint> provenTime(std::uint64_t echo) const;
    int fullRounds() const;

    PresenceTools tools_;
    std::shared_ptr<rows::RowWatch> watch_;
    std::map<std::string, Peer> peers_;
    GroupLayout layout_;
    std::string group_; ///< This VM's.
    std::map<std::string, Peer> groups_; ///< The others.
    std::map<std::string, std::vector<std::string>> members_; ///< Of the other groups, in the order in which they are asked.
    std::size_t groupPeerCount_ = 0;
    GroupPeerSelector peerSelector_;
    std::map<std::string, bool> silent_; ///< Peers and groups that were told to the log as lost.
    std::vector<std::function<void(Status &)>> fillers_;
    std::vector<std::function<void(const Status &, std::optional<TimePoint>)>> handlers_;
    std::vector<std::function<void()>> regrouped_;
    std::uint64_t sequence_ = 0;
    TimePoint startedAt_;
    bool ownRowSeen_ = false;
    std::deque<TimePoint> sentAt_; ///< When the newest sequences were sent, oldest first.
    Status own_; ///< As of the last round.
    TimePoint ownAt_;
    std::optional<Status> summary_; ///< Of this VM's group, made once a round if it is asked for.
    std::function<bool()> isStoreReader_;
    /// By table, what its receivers know and what they are told; for one round. Empty: can't be told.
    std::map<std::tuple<std::string, rows::StoreVersion, rows::StoreVersion>, std::optional<TableDelta>> packed_;
    int round_ = 0;
    std::optional<BroadcastScope> pendingBroadcast_; ///< Set while changes are about to be sent.
    TimerId timer_ = 0;
};

} // namespace cardamomlift::presence
