#include "forwarding/serverpool.h"

#include <algorithm>

namespace cardamomlift::forwarding {

namespace {

/// A channel is closed if the server does not acknowledge sent bytes within this time: a few round trips of a loaded link,
/// and less than the shortest route's time limit.
constexpr Duration UnackedTimeout = std::chrono::milliseconds(1000);
/// Idle time before the first TCP keep-alive probe; with two probes a dead server is detected within three seconds.
constexpr Duration KeepAliveIdle = std::chrono::seconds(1);
/// Limits on the size of a server's answer; an answer that is not a stream is buffered whole.
constexpr http1::ReadLimits AnswerLimits{65536, 16u << 20};

} // namespace

ServerPool::ServerPool(EventLoop &loop, std::shared_ptr<directory::Directory> directory)
    : loop_(loop)
    , directory_(std::move(directory))
{
}

std::shared_ptr<ServerPool> ServerPool::create(EventLoop &loop, std::shared_ptr<directory::Directory> directory)
{
    return std::shared_ptr<ServerPool>(new ServerPool(loop, std::move(directory)));
}

std::shared_ptr<http1::BackendChannel> ServerPool::acquire(const directory::BackendServer &server)
{
    ServerEntry &entry = entries_[server.instance];
    while (!entry.idle.empty()) {
        auto channel = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (channel->isReusable()) {
            channel->onIdleClosed(nullptr);
            return channel;
        }
        entry.openChannels--;
        loop_.post([channel] {});
    }
    entry.openChannels++;
    http1::SocketOptions options;
    options.unackedTimeout = UnackedTimeout;
    options.keepAlive = KeepAliveIdle;
    return http1::BackendChannel::connect(loop_, server.endpoint, options, AnswerLimits);
}

void ServerPool::release(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel)
{
    const auto found = entries_.find(instance);
    if (found == entries_.end() || !channel->isReusable()) {
        discard(instance, std::move(channel));
        return;
    }
    http1::BackendChannel *raw = channel.get();
    channel->onIdleClosed([this, instance, raw] {
        ServerEntry &entry = entries_[instance];
        const auto position = std::find_if(entry.idle.begin(), entry.idle.end(), [raw](const auto &idle) { return idle.get() == raw; });
        if (position == entry.idle.end()) {
            return;
        }
        // The channel is freed by the event loop, because it is itself the caller of this handler.
        loop_.post([released = std::move(*position)] {});
        entry.idle.erase(position);
        entry.openChannels--;
    });
    found->second.idle.push_back(std::move(channel));
}

void ServerPool::discard(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel)
{
    channel->close();
    const auto found = entries_.find(instance);
    if (found != entries_.end() && found->second.openChannels > 0) {
        found->second.openChannels--;
    }
    loop_.post([released = std::move(channel)] {});
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
    entries_[instance].lastActivityAt = loop_.now();
}

std::optional<TimePoint> ServerPool::lastActivityAt(const std::string &instance) const
{
    const ServerEntry *entry = find(instance);
    return entry ? entry->lastActivityAt : std::nullopt;
}

std::size_t ServerPool::openChannels() const
{
    std::size_t sum = 0;
    for (const auto &[instance, entry] : entries_) {
        sum += entry.openChannels;
    }
    return sum;
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
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        std::erase_if(entry->second.idle, [&](const auto &channel) {
            if (channel->isReusable()) {
                return false;
            }
            entry->second.openChannels--;
            channel->close();
            return true;
        });
        const bool isForgotten = !directory_->find(entry->first) && entry->second.load.localOpenRequests == 0;
        entry = isForgotten ? entries_.erase(entry) : std::next(entry);
    }
}

} // namespace cardamomlift::forwarding
