#include "http1/channelpool.h"

#include <algorithm>

namespace cardamomlift::http1 {

ChannelPool::ChannelPool(EventLoop &loop, const SocketOptions &options, const ReadLimits &limits)
    : loop_(loop)
    , options_(options)
    , limits_(limits)
{
}

std::shared_ptr<ChannelPool> ChannelPool::create(EventLoop &loop, const SocketOptions &options, const ReadLimits &limits)
{
    return std::shared_ptr<ChannelPool>(new ChannelPool(loop, options, limits));
}

std::shared_ptr<BackendChannel> ChannelPool::acquire(const std::string &peer, const Endpoint &endpoint)
{
    Entry &entry = entries_[peer];
    while (!entry.idle.empty()) {
        auto channel = std::move(entry.idle.back());
        entry.idle.pop_back();
        if (channel->isReusable()) {
            channel->onIdleClosed(nullptr);
            return channel;
        }
        entry.open--;
        loop_.post([channel] {});
    }
    entry.open++;
    return BackendChannel::connect(loop_, endpoint, options_, limits_);
}

void ChannelPool::release(const std::string &peer, std::shared_ptr<BackendChannel> channel)
{
    const auto found = entries_.find(peer);
    if (found == entries_.end() || !channel->isReusable()) {
        discard(peer, std::move(channel));
        return;
    }
    channel->onIdleClosed([weak = weak_from_this(), peer, raw = channel.get()] {
        if (const auto self = weak.lock()) {
            self->removeIdle(peer, raw);
        }
    });
    found->second.idle.push_back(std::move(channel));
}

void ChannelPool::removeIdle(const std::string &peer, const BackendChannel *channel)
{
    const auto found = entries_.find(peer);
    if (found == entries_.end()) {
        return;
    }
    Entry &entry = found->second;
    const auto position = std::find_if(entry.idle.begin(), entry.idle.end(), [channel](const auto &idle) { return idle.get() == channel; });
    if (position == entry.idle.end()) {
        return;
    }
    // The channel is freed by the event loop, because it is itself the caller of this function.
    loop_.post([released = std::move(*position)] {});
    entry.idle.erase(position);
    entry.open--;
}

void ChannelPool::discard(const std::string &peer, std::shared_ptr<BackendChannel> channel)
{
    channel->close();
    const auto found = entries_.find(peer);
    if (found != entries_.end() && found->second.open > 0) {
        found->second.open--;
    }
    loop_.post([released = std::move(channel)] {});
}

void ChannelPool::forget(const std::string &peer)
{
    entries_.erase(peer);
}

void ChannelPool::closeIdle()
{
    for (auto &[peer, entry] : entries_) {
        entry.open -= entry.idle.size();
        entry.idle.clear();
    }
}

void ChannelPool::removeUnusable()
{
    for (auto &[peer, entry] : entries_) {
        entry.open -= std::erase_if(entry.idle, [](const auto &channel) {
            const bool isUsable = channel->isReusable();
            if (!isUsable) {
                channel->close();
            }
            return !isUsable;
        });
    }
}

std::size_t ChannelPool::openChannels() const
{
    std::size_t sum = 0;
    for (const auto &[peer, entry] : entries_) {
        sum += entry.open;
    }
    return sum;
}

} // namespace cardamomlift::http1
