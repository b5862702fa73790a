#pragma once

#include "directory/directory.h"
#include "eventlog/eventlog.h"
#include "forwarding/serverlimitgate.h"
#include "kernel/eventloop.h"
#include "presence/presencetypes.h"
#include "serverlimits/serverlimittypes.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::serverlimits {

/// What a ServerRateLimiter depends on.
struct ServerRateLimiterTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance; ///< This VM.
    std::function<std::optional<Duration>()> storeNow; ///< The current time of the store's clock; empty: not known yet.
    /// The names of all VMs, including this one; empty: not known yet.
    std::function<std::vector<std::string>()> vms;
};

/// Enforces the rate limits that backend servers advertise in their answers. Knows the limits from answers to this VM and from
/// the statuses of other VMs, and decides which requests this VM may send.
class ServerRateLimiter : public forwarding::ServerLimitGate
{
public:
    static std::shared_ptr<ServerRateLimiter> create(ServerRateLimiterTools tools);

    bool hasRoom(const std::string &instance) override;
    void noteSent(const std::string &instance) override;
    void noteAnswer(const std::string &instance, const forwarding::AdvertisedLimit &limit, TimePoint sentAt) override;
    std::optional<double> requestsPerSecond(const std::string &instance) const override;
    double ownRequestsPerSecond(const std::string &instance) const override;

    /// Returns the limits, and recent ends of limits, of which this VM received the latest answer; for its next status.
    std::vector<presence::ServerLimit> limitsToShare() const;
    /// Applies the limits in a status of the VM @p vm, or of a group. Those older than the state known here are ignored.
    void applyPeerLimits(const std::string &vm, const std::vector<presence::ServerLimit> &limits);
    /// Updates the list of VMs and removes servers that are no longer listed. To be called a few times a second.
    void tick();
    /// Number of servers that currently have a limit.
    std::size_t limitedServers() const;

private:
    /// The latest known state of one server's limit.
    struct ServerState {
        bool isLimited = false;
        TimePoint observedAt; ///< When the answer arrived, here or at another VM.
        TimePoint changedAt; ///< When the limit started, changed or ended, as seen here.
        bool isLocal = false; ///< The answer arrived at this VM.
        PermitSchedule schedule;
    };
    /// What an answer said of one server's limit, received by this VM or reported by another.
    struct Observation {
        std::uint64_t server = 0;
        bool isLimited = false;
        double requestsPerSecond = 0;
        TimePoint observedAt;
        std::string_view source; ///< The VM or group that reported it; empty: an answer to this VM.
    };
    explicit ServerRateLimiter(ServerRateLimiterTools tools);
    const ServerState *findLimited(const std::string &instance) const;
    bool canEndLimit(std::uint64_t server, TimePoint sentAt) const;
    bool isEndShared(const ServerState &state) const;
    void apply(const Observation &observation);
    void changeRate(PermitSchedule &schedule, double requestsPerSecond);
    void logChange(const Observation &observation, const ServerState &before) const;
    std::string nameOf(std::uint64_t server) const;

    ServerRateLimiterTools tools_;
    std::uint64_t ownHash_; ///< Hash of this VM's name.
    std::vector<std::uint64_t> vms_; ///< Hashes of the names of all VMs, sorted.
    std::unordered_map<std::uint64_t, ServerState> servers_; ///< Keyed by the hash of the instance.
};

} // namespace cardamomlift::serverlimits
