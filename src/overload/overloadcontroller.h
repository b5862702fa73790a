#pragma once

#include "eventlog/eventlog.h"
#include "kernel/eventloop.h"
#include "overload/overloadtypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

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
    /// The number of entry VMs; empty while it is not known.
    std::function<std::optional<std::size_t>()> vmCount;
    /// True if the server is still listed.
    std::function<bool(const std::string &instance)> isListed;
};

/// Paces the requests of this VM to servers that announce that they crash when they must refuse too many requests within a second. Each
/// VM sends its even share of what a server is believed to sustain, and learns that from refusals; the VMs need not communicate.
class OverloadController
{
public:
    static std::shared_ptr<OverloadController> create(OverloadTools tools);

    /// Whether requests to the server are paced: it has announced it, or is a new instance of a service whose servers do.
    bool isPaced(const ServerKey &server) const;
    /// Whether this VM may send a request to the server now.
    bool hasRoom(const ServerKey &server);
    void noteSent(const ServerKey &server);
    /// The head of an answer has arrived. @p refusalsPerSecond: what the server bears; empty if it announces nothing.
    void noteAnswer(const ServerKey &server, std::optional<int> refusalsPerSecond);
    void noteRefused(const ServerKey &server);
    /// A request was answered whole, @p duration after it was sent.
    void noteServed(const ServerKey &server, Duration duration);
    /// The server could not be reached, or a connection to it has broken.
    void noteDown(const ServerKey &server);
    /// This VM's share of the pace, in requests per second; 0 if the server is not paced.
    double ownRequestsPerSecond(const ServerKey &server) const;
    /// Forgets servers that are no longer listed. To be called every few seconds.
    void tick();
    std::size_t pacedServers() const;

private:
    struct ServerState {
        std::string service;
        std::optional<int> refusalsPerSecond; ///< Empty: it announces nothing.
        ServerPace pace;
    };
    struct ServiceState {
        std::size_t announcing = 0; ///< Servers that announce it.
        int refusalsPerSecond = 0; ///< The latest announced.
        std::optional<Duration> serviceTime; ///< Average time of a request.
    };
    explicit OverloadController(OverloadTools tools);
    std::size_t vms() const;
    ServerState *paced(const ServerKey &server);
    ServerPace startPace(const ServerKey &server) const;
    RefusalBound boundOf(const ServerState &state) const;
    void announce(const ServerKey &server, int refusalsPerSecond);
    void endAnnouncement(ServerState &state, const std::string &instance);
    void log(std::string_view outcome, const std::string &instance, const ServerState &state) const;

    OverloadTools tools_;
    std::unordered_map<std::string, ServerState> servers_; ///< By instance.
    std::unordered_map<std::string, ServiceState> services_; ///< By service.
};

} // namespace cardamomlift::overload
