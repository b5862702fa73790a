#pragma once

#include "balancing/balancingtypes.h"
#include "directory/directory.h"
#include "forwarding/wireformat.h"
#include "http1/channelpool.h"
#include "presence/presencetypes.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::forwarding {

/// The load of one backend server, as this VM knows it.
struct ServerEntry {
    balancing::ServerLoad load;
    std::optional<TimePoint> lastActivityAt; ///< When bytes of an answer were last received, on any channel.
    std::optional<TimePoint> connectFailedAt; ///< When a connection could last not be established; empty if the server has sent bytes since.
};

/// Connection pool of the backend servers, with what is known of their load. Keyed by instance, never by address.
class ServerPool
{
public:
    static std::shared_ptr<ServerPool> create(EventLoop &loop, std::shared_ptr<directory::Directory> directory);

    /// Returns a channel for one call: an idle one if there is any, else a new one.
    std::shared_ptr<http1::BackendChannel> acquire(const directory::BackendServer &server);
    /// Returns a channel to the pool after its call; one that can't be reused is closed.
    void release(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel);
    /// Closes a channel, also in the middle of its call.
    void discard(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel);

    balancing::ServerLoad &load(const std::string &instance);
    /// Null if nothing is known of the server.
    const ServerEntry *find(const std::string &instance) const;
    void noteSent(const std::string &instance, std::int64_t prefillTokens);
    void noteFirstByte(const std::string &instance, std::int64_t prefillTokens);
    void noteEnded(const std::string &instance);
    void noteLoadReport(const std::string &instance, const LoadReport &report);
    /// Notes that bytes of an answer were received from the server, on any channel.
    void noteActivity(const std::string &instance);
    /// When noteActivity() was last called; empty if it never was.
    std::optional<TimePoint> lastActivityAt(const std::string &instance) const;
    void noteConnectFailed(const std::string &instance);
    /// Whether a connection to the server could not be established a short time ago: its process has probably ended.
    bool hasFailedToConnect(const std::string &instance) const;
    std::size_t openChannels() const;
    /// Closes the idle channels to all servers: they may have ended unnoticed while this VM was cut off.
    void closeIdle();
    /// Prompt tokens of this VM's requests that wait for prefill, by server; reported to the other VMs.
    std::vector<presence::ServerWork> waitingTokens() const;
    /// Removes servers that are no longer listed, and idle channels that can't be reused, such as those that the server will
    /// close soon.
    void tick();

private:
    ServerPool(EventLoop &loop, std::shared_ptr<directory::Directory> directory);
    EventLoop &loop_;
    std::shared_ptr<directory::Directory> directory_;
    std::shared_ptr<http1::ChannelPool> channels_;
    std::unordered_map<std::string, ServerEntry> entries_; ///< By instance.
};

} // namespace cardamomlift::forwarding
