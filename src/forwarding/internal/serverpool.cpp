#include "forwarding/serverpool.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// A channel is closed if the server does not acknowledge sent bytes within this time. A sound server may be silent for a second or so.
/// NOTE Also ends the probing of an idle channel, counted from the last byte received.
constexpr Duration UnackedTimeout = std::chrono::milliseconds(2500);
/// Idle time before the first TCP keep-alive probe; a dead server is detected within three seconds.
constexpr Duration KeepAliveIdle = std::chrono::seconds(1);
/// A server to which no connection could be established is a last resort for this long. The list has an ended server for some seconds.
constexpr Duration ConnectFailureMemory = std::chrono::seconds(1);
/// Limits on the size of a server's answer; an answer that is not a stream is buffered whole.
constexpr http1::ReadLimits AnswerLimits{65536, 16u << 20};
constexpr http1::SocketOptions ChannelOptions{UnackedTimeout, KeepAliveIdle};

} // namespace

ServerPool::ServerPool(EventLoop &loop, std::shared_ptr<directory::Directory> directory)
    : loop_(loop)
    , directory_(std::move(directory))
    , channels_(http1::ChannelPool::create(loop, ChannelOptions, AnswerLimits))
{
}

std::shared_ptr<ServerPool> ServerPool::create(EventLoop &loop, std::shared_ptr<directory::Directory> directory)
{
    return std::shared_ptr<ServerPool>(new ServerPool(loop, std::move(directory)));
}

std::shared_ptr<http1::BackendChannel> ServerPool::acquire(const directory::BackendServer &server)
{
    return channels_->acquire(server.instance, server.endpoint);
}

void ServerPool::release(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel)
{
    channels_->release(instance, std::move(channel));
}

void ServerPool::discard(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel)
{
    channels_->discard(instance, std::move(channel));
}

balancing::ServerLoad &ServerPool::load(const std::string &instance)
{
    return entries_[instance].load;
}

const ServerEntry *ServerPool::find(const std::string &instance) const
{
    const auto found = entries_.find(instance);
    return found == entries_.end() ? nullptr : &found->second;
}

void ServerPool::noteSent(const std::string &instance, std::int64_t prefillTokens)
{
    balancing::ServerLoad &load = entries_[instance].load;
    load.localOpenRequests++;
    load.sentSinceReport++;
    load.localWaitingTokens += prefillTokens;
}

void ServerPool::noteFirstByte(const std::string &instance, std::int64_t prefillTokens)
{
    balancing::ServerLoad &load = entries_[instance].load;
    load.localWaitingTokens = std::max<std::int64_t>(0, load.localWaitingTokens - prefillTokens);
}

void ServerPool::noteEnded(const std::string &instance)
{
    balancing::ServerLoad &load = entries_[instance].load;
    load.localOpenRequests = std::max(0, load.localOpenRequests - 1);
    load.sentSinceReport--;
}

void ServerPool::noteLoadReport(const std::string &instance, const LoadReport &report)
{
    balancing::ServerLoad &load = entries_[instance].load;
    load.reportedRequests = report.running + report.waiting;
    load.sentSinceReport = 0;
    load.reportedAt = loop_.now();
}

void ServerPool::noteActivity(const std::string &instance)
{
    ServerEntry &entry = entries_[instance];
    entry.lastActivityAt = loop_.now();
    entry.connectFailedAt.reset();
}

void ServerPool::noteConnectFailed(const std::string &instance)
{
    entries_[instance].connectFailedAt = loop_.now();
}

bool ServerPool::hasFailedToConnect(const std::string &instance) const
{
    const ServerEntry *entry = find(instance);
    return entry && entry->connectFailedAt && loop_.now() - *entry->connectFailedAt < ConnectFailureMemory;
}

std::optional<TimePoint> ServerPool::lastActivityAt(const std::string &instance) const
{
    const ServerEntry *entry = find(instance);
    return entry ? entry->lastActivityAt : std::nullopt;
}

std::size_t ServerPool::openChannels() const
{
    return channels_->openChannels();
}

void ServerPool::closeIdle()
{
    channels_->closeIdle();
}

std::vector<presence::ServerWork> ServerPool::waitingTokens() const
{
    std::vector<presence::ServerWork> waiting;
    for (const auto &[instance, entry] : entries_) {
        if (entry.load.localWaitingTokens > 0) {
            waiting.push_back({presence::nameHash(instance), entry.load.localWaitingTokens});
        }
    }
    return waiting;
}

void ServerPool::tick()
{
    channels_->removeUnusable();
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const bool isForgotten = !directory_->find(entry->first) && entry->second.load.localOpenRequests == 0;
        if (isForgotten) {
            channels_->forget(entry->first);
        }
        entry = isForgotten ? entries_.erase(entry) : std::next(entry);
    }
}

} // namespace cardamomlift::forwarding
