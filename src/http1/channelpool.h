#pragma once

#include "http1/backendchannel.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace cardamomlift::http1 {

/// Keeps idle channels for reuse, by the identity of the peer, never by its address.
class ChannelPool : public std::enable_shared_from_this<ChannelPool>
{
public:
    static std::shared_ptr<ChannelPool> create(EventLoop &loop, const SocketOptions &options, const ReadLimits &limits);

    /// Returns a channel for one call: an idle one if there is any, else a new one.
    std::shared_ptr<BackendChannel> acquire(const std::string &peer, const Endpoint &endpoint);
    /// Returns a channel to the pool after its call; one that can't be reused is closed.
    void release(const std::string &peer, std::shared_ptr<BackendChannel> channel);
    /// Closes a channel, also in the middle of its call.
    void discard(const std::string &peer, std::shared_ptr<BackendChannel> channel);
    /// Closes the idle channels of a peer. Those in use are closed when they are released.
    void forget(const std::string &peer);
    /// Closes all idle channels.
    void closeIdle();
    /// Closes idle channels that can't be reused, such as those that the peer will close soon.
    void removeUnusable();
    /// Number of open channels, idle or in use.
    std::size_t openChannels() const;

private:
    struct Entry {
        std::vector<std::shared_ptr<BackendChannel>> idle;
        std::size_t open = 0; ///< Idle or in use.
    };
    ChannelPool(EventLoop &loop, const SocketOptions &options, const ReadLimits &limits);
    void removeIdle(const std::string &peer, const BackendChannel *channel);
    EventLoop &loop_;
    SocketOptions options_;
    ReadLimits limits_;
    std::unordered_map<std::string, Entry> entries_; ///< By peer.
};

} // namespace cardamomlift::http1
