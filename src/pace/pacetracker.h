#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "pace/pacerules.h"
#include "pace/pacetypes.h"
#include "presence/presencetypes.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::pace {

/// Learns how fast each backend server works, from the observations of all entry VMs and from what servers announce. Servers are
/// known by instance, so a server that starts again is a new one.
class PaceTracker
{
public:
    /// @p log may be null.
    static std::shared_ptr<PaceTracker> create(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log = nullptr);

    /// A server has announced in an answer how long work takes there now: 1 as usual, 2 twice as long.
    void noteAnnounced(const std::string &instance, double factor);
    /// @p events further events of a stream took @p time, from the event before them.
    void noteEvents(const std::string &instance, const std::string &service, std::size_t events, Duration time);
    /// A whole plain answer took @p time.
    void noteAnswer(const std::string &instance, const std::string &service, Duration time);
    /// The first byte of an answer came @p time after the request was sent; @p prefillTokens of its prompt were expected not to be cached.
    void noteFirstByte(const std::string &service, std::int64_t prefillTokens, Duration time);

    /// @p server: presence::nameHash() of the instance.
    PaceEstimate paceOf(std::uint64_t server, const std::string &service) const;
    /// Empty while there are too few observations.
    std::optional<FirstByteModel> firstByteModel(const std::string &service) const;
    /// As of the last tick.
    PaceCounts counts() const;

    /// What this VM has observed, for its next status.
    std::vector<presence::ServerPace> pacesToShare() const;
    /// The same for the time to the first byte.
    std::vector<presence::ServiceFirstByte> firstBytesToShare() const;
    /// Takes in the status of another VM, or the summary of a group; replaces what it said before.
    void applyPeer(const presence::Status &status);
    /// Computes the means of services and the steady pace of servers anew, logs servers that have left the mean, and removes what is too old to matter. To be
    /// called a few times a second.
    void tick();

private:
    PaceTracker(EventLoop &loop, std::shared_ptr<eventlog::EventLog> log);

    struct Announcement {
        double factor = 1;
        TimePoint at;
    };
    /// What another VM, or a group, has observed at a server.
    struct PeerWork {
        std::uint64_t peer = 0;
        bool isGroup = false;
        WorkSums work;
        TimePoint at;
    };
    struct Service {
        std::string name; ///< Empty until this VM has used the service.
        TimePoint seenAt; ///< When work of it was noted here, or told by a peer.
        double meanTime = 0; ///< As of the last tick; 0: not known.
        FirstByteSums firstBytes; ///< This VM's.
        TimePoint firstBytesAt;
        std::optional<FirstByteModel> firstByteModel; ///< As of the last tick.
    };
    struct Server {
        std::string instance; ///< Empty until this VM has used the server.
        std::uint32_t service = 0; ///< 0: not known yet.
        WorkSums work; ///< This VM's.
        TimePoint workAt;
        std::optional<Announcement> announced; ///< The newest that any VM got.
        std::optional<Announcement> announcedHere; ///< The newest in an answer to this VM.
        std::vector<PeerWork> peers;
        WorkSums steady; ///< Of all VMs; see addSteady().
        PaceSide side = PaceSide::Usual; ///< What was last logged.
        mutable LearntPace learnt; ///< Cached.
        mutable std::optional<TimePoint> learntAt;
    };
    struct Peer {
        std::vector<std::uint32_t> servers; ///< In its last status.
        std::unordered_map<std::uint32_t, FirstByteSums> firstBytes; ///< By service.
        TimePoint heardAt;
    };

    /// Null if there is no room for another server.
    Server *serverOf(std::uint32_t key);
    /// Null if there is no room for another service.
    Service *serviceOf(std::uint32_t key);
    Service *usedService(const std::string &name);
    void noteWork(const std::string &instance, const std::string &service, double units, Duration time);
    void applyServer(std::uint64_t peer, bool isGroup, const presence::ServerPace &pace);
    void dropServersOf(std::uint64_t peer);
    /// Observations of this VM, and of the other VMs; those of groups only with @p withGroups.
    WorkSums combined(const Server &server, bool withGroups) const;
    const LearntPace &learntOf(const Server &server) const;
    PaceEstimate estimateOf(const Server &server) const;
    void updateMeans();
    void updateSteady();
    void updateFirstByteModels();
    void updateSides();
    void logSide(const Server &server, PaceSide side) const;
    void dropOld();
    bool isOld(const Server &server) const;

    EventLoop &loop_;
    std::shared_ptr<eventlog::EventLog> log_;
    std::unordered_map<std::uint32_t, Server> servers_; ///< By presence::shortHash() of the instance.
    std::unordered_map<std::uint32_t, Service> services_; ///< By presence::shortHash() of the name.
    std::unordered_map<std::uint64_t, Peer> peers_; ///< By presence::nameHash() of the VM or group.
    PaceCounts counts_;
    TimePoint tickedAt_;
};

} // namespace cardamomlift::pace
