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

/// What a keeper works with.
struct ServerRateLimiterTools {
    EventLoop *loop = nullptr;
    std::shared_ptr<directory::Directory> directory;
    std::shared_ptr<eventlog::EventLog> log;
    std::string instance; ///< This VM.
    std::function<std::optional<Duration>()> storeNow; ///< The store's clock; empty: not known yet.
    /// The names of all VMs, this one's among them; empty: not known yet.
    std::function<std::vector<std::string>()> vms;
};

/// Knows which backend servers have named a limit, from this VM's answers and what other VMs tell, and which requests this
/// VM may send them.
class ServerRateLimiter : public forwarding::ServerLimitGate
{
public:
    static std::shared_ptr<ServerRateLimiter> create(ServerRateLimiterTools tools);

    bool hasRoom(const std::string &instance) override;
    void noteSent(const std::string &instance) override;
    void noteAnswer(const std::string &instance, const forwarding::AdvertisedLimit &statement, TimePoint sentAt) override;
    std::optional<double> requestsPerSecond(const std::string &instance) const override;
    double ownRequestsPerSecond(const std::string &instance) const override;

    /// What the other VMs should hear: limits of which this VM has the newest word.
    std::vector<presence::ServerLimit> told() const;
    /// What the VM @p vm, or a group, has heard; what is older than what is known here changes nothing.
    void takeTold(const std::string &vm, const std::vector<presence::ServerLimit> &limits);
    /// Reads the list of VMs, and forgets servers that have gone. Call it a few times a second.
    void tick();
    /// Servers that have a limit now.
    std::size_t limitedServers() const;

private:
    /// The newest word on one server's limit.
    struct Known {
        bool isLimited = false;
        TimePoint heardAt; ///< When the answer came, here or at another VM.
        TimePoint changedAt; ///< When it was named, became another one, or ended.
        bool isOwn = false; ///< It came here.
        TurnBook book;
    };
    /// One server's news, heard here or told.
    struct Word {
        std::uint64_t server = 0;
        bool isLimited = false;
        double perSecond = 0;
        TimePoint heardAt;
        std::string_view from; ///< The VM or group that told it; empty: an answer at this VM.
    };
    explicit ServerRateLimiter(ServerRateLimiterTools tools);
    const Known *limited(const std::string &instance) const;
    bool mayEnd(std::uint64_t server, TimePoint sentAt) const;
    bool isEndTold(const Known &known) const;
    void take(const Word &word);
    void changeRate(TurnBook &book, double perSecond);
    void logChange(const Word &word, const Known &before) const;
    std::string nameOf(std::uint64_t server) const;

    ServerRateLimiterTools tools_;
    std::uint64_t own_; ///< Hash of this VM's name.
    std::vector<std::uint64_t> vms_; ///< Hashes of the names of all VMs, in order.
    std::unordered_map<std::uint64_t, Known> servers_; ///< By the hash of the instance.
};

} // namespace cardamomlift::serverlimits
