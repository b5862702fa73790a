#include "relay/relaypool.h"

#include "relay/relayrules.h"

#include <algorithm>
#include <utility>

namespace cardamomlift::relay {

namespace {

/// A connection to another VM ends if sent bytes are not acknowledged within this time; idle ones are probed. As for servers.
constexpr Duration UnackedTimeout = std::chrono::milliseconds(2500);
constexpr Duration KeepAliveIdle = std::chrono::seconds(1);
constexpr http1::SocketOptions ChannelOptions{UnackedTimeout, KeepAliveIdle};
constexpr http1::ReadLimits AnswerLimits{65536, 16u << 20};
/// A VM that failed is asked again after this time: its next statuses say whether it reaches servers.
constexpr Duration FailurePause = std::chrono::seconds(1);
/// A VM that had no room is asked again after this time: a server's limit leaves it room again soon, or its next status says that it has none.
constexpr Duration RoomPause = std::chrono::milliseconds(200);

} // namespace

RelayPool::RelayPool(EventLoop &loop, std::string zone, CandidateSource candidates)
    : loop_(loop)
    , zone_(std::move(zone))
    , candidates_(std::move(candidates))
    , channels_(http1::ChannelPool::create(loop, ChannelOptions, AnswerLimits))
{
}

std::shared_ptr<RelayPool> RelayPool::create(EventLoop &loop, std::string zone, CandidateSource candidates)
{
    return std::shared_ptr<RelayPool>(new RelayPool(loop, std::move(zone), std::move(candidates)));
}

bool RelayPool::isAvoided(const std::string &instance) const
{
    const auto found = entries_.find(instance);
    return found != entries_.end() && loop_.now() < found->second.avoidUntil;
}

bool RelayPool::lacksRoom(const RelayCandidate &candidate) const
{
    const auto found = entries_.find(candidate.peer.instance);
    return candidate.lacksRoom || (found != entries_.end() && loop_.now() < found->second.lacksRoomUntil);
}

bool RelayPool::meets(const RelayCandidate &candidate, const RelayNeeds &needs) const
{
    const bool hasHeadroom = !needs.maxLag || (candidate.loopLag && *candidate.loopLag <= *needs.maxLag);
    return hasHeadroom && (!needs.serverRoom || !lacksRoom(candidate));
}

std::optional<RelayPeer> RelayPool::choose(
    std::uint64_t manifestVersion, const std::set<std::string> &except, std::uint64_t salt, const RelayNeeds &needs) const
{
    std::vector<RelayCandidate> candidates = candidates_(manifestVersion);
    std::erase_if(candidates, [&](const RelayCandidate &candidate) {
        const std::string &instance = candidate.peer.instance;
        return except.contains(instance) || isAvoided(instance) || !meets(candidate, needs);
    });
    for (RelayCandidate &candidate : candidates) {
        const auto found = entries_.find(candidate.peer.instance);
        candidate.openRelays = found == entries_.end() ? 0 : found->second.open;
    }
    const auto chosen = chooseRelay(candidates, zone_, salt);
    return chosen ? std::optional(candidates[*chosen].peer) : std::nullopt;
}

std::shared_ptr<http1::BackendChannel> RelayPool::acquire(const RelayPeer &peer)
{
    entries_[peer.instance].open++;
    return channels_->acquire(peer.instance, peer.endpoint);
}

void RelayPool::release(const std::string &instance, std::shared_ptr<http1::BackendChannel> channel, bool isReusable)
{
    Entry &entry = entries_[instance];
    entry.open = std::max(0, entry.open - 1);
    if (isReusable) {
        channels_->release(instance, std::move(channel));
    } else {
        channels_->discard(instance, std::move(channel));
    }
}

void RelayPool::noteFailed(const std::string &instance)
{
    entries_[instance].avoidUntil = loop_.now() + FailurePause;
}

void RelayPool::noteLacksRoom(const std::string &instance)
{
    entries_[instance].lacksRoomUntil = loop_.now() + RoomPause;
}

int RelayPool::openRelays() const
{
    int sum = 0;
    for (const auto &[instance, entry] : entries_) {
        sum += entry.open;
    }
    return sum;
}

void RelayPool::tick()
{
    channels_->removeUnusable();
    std::erase_if(entries_,
        [this](const auto &entry) { return entry.second.open == 0 && loop_.now() >= std::max(entry.second.avoidUntil, entry.second.lacksRoomUntil); });
}

} // namespace cardamomlift::relay
