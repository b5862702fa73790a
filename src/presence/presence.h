#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "presence/datagrams.h"
#include "presence/presencetypes.h"
#include "rows/rowwatch.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::presence {

/// What presence works with.
struct PresenceTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<rows::RowStore> store;
    std::shared_ptr<Datagrams> datagrams;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance;
    std::string zone;
    http1::Endpoint endpoint; ///< Where this VM takes datagrams.
    std::uint64_t incarnation = 0;
};

/// The entry VMs of a deployment. Each has a row in the platform's store, by which the others find it, and tells them its
/// state in datagrams a few times a second.
class Presence : public std::enable_shared_from_this<Presence>
{
public:
    static std::shared_ptr<Presence> start(PresenceTools tools);
    ~Presence();

    /// @p fill adds a module's part to each status that is sent.
    void contribute(std::function<void(Status &status)> fill);
    /// Called with each status that is newer than the last of its VM. @p provenAt: a time of this VM's clock before the
    /// status was sent; empty if none is known.
    void onStatus(std::function<void(const Status &status, std::optional<TimePoint> provenAt)> handler);

    /// With many VMs, a VM for which @p isFast holds tells what it knows of the store three times a second all the same.
    void setFast(std::function<bool()> isFast);
    /// Sends what is known of the store soon: it has changed.
    void sendNow();
    /// The watch of the VMs' own rows.
    const std::shared_ptr<rows::RowWatch> &watch() const;

    const std::map<std::string, Peer> &peers() const;
    /// Peers that were heard within @p age.
    std::size_t heardWithin(Duration age) const;
    /// VMs that have a row, this one among them; empty until the rows have been read, this one's among them.
    std::optional<std::size_t> vmCount() const;
    const std::string &instance() const;
    std::uint64_t incarnation() const;
    /// Since this process began.
    Duration upFor() const;
    /// Since the process of @p peer began, as far as it was heard.
    Duration upFor(const Peer &peer) const;

private:
    explicit Presence(PresenceTools tools);
    void writeRow();
    void takeRows(const std::vector<rows::Row> &rows);
    void takeRow(const rows::Row &row);
    void sendRound();
    void sendTo(const Peer &peer, const Status &status);
    const std::string &packedChanges(const std::string &table, std::uint64_t has, const rows::TableNews &news);
    Status makeStatus();
    void merge(Peer &peer, Status status);
    void sendSoon();
    void onDatagram(std::string_view bytes);
    void notePeers();
    std::optional<TimePoint> provenTime(std::uint64_t echo) const;
    int fullRounds() const;

    struct Sent {
        std::uint64_t sequence = 0;
        TimePoint at;
    };
    PresenceTools tools_;
    std::shared_ptr<rows::RowWatch> watch_;
    std::map<std::string, Peer> peers_;
    std::map<std::string, bool> silent_; ///< Peers that were told to the log as lost.
    std::vector<std::function<void(Status &)>> fillers_;
    std::vector<std::function<void(const Status &, std::optional<TimePoint>)>> handlers_;
    std::uint64_t sequence_ = 0;
    TimePoint startedAt_;
    bool ownRowSeen_ = false;
    std::vector<Sent> sent_; ///< The newest statuses, oldest first.
    std::function<bool()> isFast_;
    std::map<std::pair<std::string, std::uint64_t>, std::string> packed_; ///< Changes of a table after a version, for one round.
    int round_ = 0;
    bool sendNowPosted_ = false;
    TimerId timer_ = 0;
};

} // namespace cardamomlift::presence
