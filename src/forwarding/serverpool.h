#pragma once

#include "balancing/balancingtypes.h"
#include "directory/directory.h"
#include "forwarding/wireformat.h"
#include "http1/backendchannel.h"
#include "presence/presencetypes.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::forwarding {

/// What this VM has open at one backend server.
struct ServerEntry {
    balancing::ServerLoad load;
    std::vector<std::shared_ptr<http1::BackendChannel>> idle;
    std::size_t channels = 0; ///< Open ones, idle or in use.
    std::optional<TimePoint> heardAt; ///< The last bytes of an answer, on any channel.
};

/// Channels to the backend servers, and what is known of their load. Keyed by instance, never by address.
class ServerPool
{
public:
    static std::shared_ptr<ServerPool> create(EventLoop &loop, std::shared_ptr<directory::Directory> directory);

    /// A channel for one call, a kept one if there is any.
    std::shared_ptr<http1::BackendChannel> take(const directory::BackendServer &server);
    /// Gives a channel back after its call; one that can't be used again is closed.
    void giveBack(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel);
    /// Closes a channel in the middle of its call.
    void discard(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel);

    balancing::ServerLoad &load(const std::string &instance);
    /// Null if nothing is known.
    const ServerEntry *find(const std::string &instance) const;
    void noteSent(const std::string &instance, std::int64_t promptTokens);
    void noteFirstByte(const std::string &instance, std::int64_t promptTokens);
    void noteEnded(const std::string &instance);
    void noteReport(const std::string &instance, const LoadReport &report);
    /// Something came from the server, on any channel.
    void noteHeard(const std::string &instance);
    /// Empty if nothing was heard yet.
    std::optional<TimePoint> heardAt(const std::string &instance) const;
    std::size_t openChannels() const;
    /// What waits to be read at each server, for the other VMs.
    std::vector<presence::ServerWork> waitingWork() const;
    /// Forgets servers that are no longer listed, and idle channels that the server will close soon.
    void tick();

private:
    ServerPool(EventLoop &loop, std::shared_ptr<directory::Directory> directory);
    EventLoop &loop_;
    std::shared_ptr<directory::Directory> directory_;
    std::unordered_map<std::string, ServerEntry> entries_; ///< By instance.
};

} // namespace cardamomlift::forwarding
