#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "overload/overloadtypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::overload {

/// A backend server, as far as the controller needs to know it.
struct ServerKey {
    const std::string &instance;
    const std::string &service;
    int slots = 1;
};

/// Dependencies of an OverloadController.
struct OverloadTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance; ///< This VM.
    std::function<std::optional<Duration>()> storeNow; ///< The current time of the store's clock; empty: not known yet.
    /// The names of all VMs, including this one; empty: not known yet.
    std::function<std::vector<std::string>()> vms;
    /// True if the server is still listed.
    std::function<bool(const std::string &instance)> isListed;
};

/// Limits the open requests of this VM at servers that announce that they crash when they must refuse too many requests within a second.
/// Each slot of such a server belongs to one VM at a time, by the store's clock, so the VMs need not communicate. How many of the slots
/// can be used is learnt from refusals.
class OverloadController
{
public:
    static std::shared_ptr<OverloadController> create(OverloadTools tools);

    /// Whether open requests at the server are limited: it has announced it, or is a new instance of a service whose servers do.
    bool isManaged(const ServerKey &server) const;
    /// Whether this VM, which has @p open requests at the server, may send another one now.
    bool hasRoom(const ServerKey &server, int open);
    /// Time until this VM has room at the server again, where only the end of the present turn leaves it none; empty: that is not why, or not known.
    std::optional<Duration> untilNextTurn(const ServerKey &server);
    /// The head of an answer has arrived. @p refusalsPerSecond: what the server bears; empty if it announces nothing.
    void noteAnswer(const ServerKey &server, std::optional<int> refusalsPerSecond);
    void noteRefused(const ServerKey &server);
    /// Whether the server has refused a request of this VM a short time ago: if it crashes, it may be for its refusals.
    bool hasRefusedLately(const ServerKey &server) const;
    /// A request was answered whole, @p duration after it was sent.
    void noteServed(const ServerKey &server, Duration duration);
    /// The server could not be reached, or a connection to it has broken.
    void noteDown(const ServerKey &server);
    /// This VM's share of what the server can run, in requests per second; 0 if they are not limited.
    double ownRequestsPerSecond(const ServerKey &server) const;
    /// Updates the list of VMs and forgets servers that are no longer listed. To be called a few times a second.
    void tick();
    std::size_t managedServers() const;

private:
    struct ServerState {
        std::string service;
        std::optional<int> refusalsPerSecond; ///< Empty: it announces nothing.
        ServerCapacity capacity;
        std::uint64_t hash = 0; ///< Of the instance.
        std::optional<TimePoint> refusedAt; ///< When it last refused a request of this VM.
        /// This VM's slots in the current turn, as last computed.
        std::int64_t turn = -1;
        int slots = 0; ///< Of the server, of which ownedSlots belong to this VM.
        int ownedSlots = 0;
    };
    struct ServiceState {
        std::size_t announcing = 0; ///< Servers that announce it.
        int refusalsPerSecond = 0; ///< The latest announced.
        std::optional<Duration> serviceTime; ///< Average time of a request.
    };
    explicit OverloadController(OverloadTools tools);
    std::size_t vmCount() const;
    Duration serviceTime(const std::string &service) const;
    ServerState *managed(const ServerKey &server);
    void manage(ServerState &state, const ServerKey &server);
    int ownedSlots(ServerState &state, const Turn &turn) const;
    int ownedSlotsIn(const ServerState &state, std::int64_t turn) const;
    RefusalBound boundOf(const ServerState &state) const;
    void announce(const ServerKey &server, int refusalsPerSecond);
    void endAnnouncement(ServerState &state, const std::string &instance);
    void log(std::string_view outcome, const std::string &instance, const ServerState &state) const;

    OverloadTools tools_;
    std::uint64_t ownHash_; ///< Of this VM's name.
    std::vector<std::uint64_t> vms_; ///< Hashes of the names of all VMs, sorted.
    std::unordered_map<std::string, ServerState> servers_; ///< By instance.
    std::unordered_map<std::string, ServiceState> services_; ///< By service.
};

} // namespace cardamomlift::overload
