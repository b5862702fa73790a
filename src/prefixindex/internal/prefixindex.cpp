#include "prefixindex/prefixindex.h"

#include <algorithm>
#include <map>

namespace cardamomlift::prefixindex {

namespace {

/// A prefix that was not used for this long has probably been evicted: a cache of half a million tokens is overwritten in that
/// time by a server that prefills some 15,000 a second.
constexpr Duration CacheLifetime = std::chrono::seconds(30);
/// A send is repeated in this VM's statuses for this long: a peer receives one about every 350 ms, and two may be lost.
constexpr Duration ShareDuration = std::chrono::milliseconds(1200);
/// A use that this VM has told, or heard of, is told again after this time, well before the others forget it.
constexpr Duration ShareAgainAfter = std::chrono::seconds(8);
/// Enough for a full status at ten requests a second. At higher rates it limits the size in the datagram to half a kilobyte.
constexpr std::size_t MaxSharedUses = 32;
/// Some hundred prefixes are in use at a time. The limit bounds the memory to 2 MB when a caller sends a new one with each
/// request.
constexpr std::size_t MaxPrefixes = 20'000;
/// A popular prefix may be cached at all servers, but any few of them are enough to copy it from.
constexpr std::size_t MaxServersPerPrefix = 8;

} // namespace

PrefixIndex::PrefixIndex(EventLoop &loop)
    : loop_(loop)
{
}

std::shared_ptr<PrefixIndex> PrefixIndex::create(EventLoop &loop)
{
    return std::shared_ptr<PrefixIndex>(new PrefixIndex(loop));
}

CachingServer *PrefixIndex::noteUse(std::uint64_t prefix, std::uint64_t server)
{
    if (cachingServers_.size() >= MaxPrefixes && !cachingServers_.contains(prefix)) {
        return nullptr;
    }
    std::vector<CachingServer> &cachingServers = cachingServers_[prefix];
    const auto existing =
        std::find_if(cachingServers.begin(), cachingServers.end(), [server](const CachingServer &caching) { return caching.server == server; });
    if (existing != cachingServers.end()) {
        existing->usedAt = loop_.now();
        return &*existing;
    }
    if (cachingServers.size() >= MaxServersPerPrefix) {
        cachingServers.erase(
            std::min_element(cachingServers.begin(), cachingServers.end(), [](const CachingServer &a, const CachingServer &b) { return a.usedAt < b.usedAt; }));
    }
    return &cachingServers.emplace_back(CachingServer{server, loop_.now(), TimePoint()});
}

void PrefixIndex::noteSent(std::span<const Prefix> prefixes, std::string_view instance)
{
    const TimePoint now = loop_.now();
    const std::uint64_t server = presence::nameHash(instance);
    for (const Prefix &prefix : prefixes) {
        CachingServer *caching = noteUse(prefix.hash, server);
        const bool isKnownToOthers = caching && caching->toldAt != TimePoint() && now - caching->toldAt < ShareAgainAfter;
        if (isKnownToOthers) {
            continue;
        }
        if (caching) {
            caching->toldAt = now;
        }
        sent_.push_back({{prefix.hash, server}, now});
    }
    if (sent_.size() > MaxSharedUses) {
        sent_.erase(sent_.begin(), sent_.end() - MaxSharedUses);
    }
}

void PrefixIndex::applyPeerUses(std::span<const presence::PrefixUse> uses)
{
    for (const presence::PrefixUse &use : uses) {
        if (CachingServer *caching = noteUse(use.prefix, use.server)) {
            caching->toldAt = loop_.now();
        }
    }
}

std::vector<presence::PrefixUse> PrefixIndex::usesToShare() const
{
    std::vector<presence::PrefixUse> uses;
    for (const Sent &sent : sent_) {
        if (loop_.now() - sent.at <= ShareDuration) {
            uses.push_back(sent.use);
        }
    }
    return uses;
}

std::vector<PrefixMatch> PrefixIndex::matches(std::span<const Prefix> prefixes) const
{
    std::map<std::uint64_t, std::int64_t> tokens;
    for (const Prefix &prefix : prefixes) {
        const auto found = cachingServers_.find(prefix.hash);
        if (found == cachingServers_.end()) {
            continue;
        }
        for (const CachingServer &caching : found->second) {
            tokens[caching.server] = prefix.tokens;
        }
    }
    std::vector<PrefixMatch> matches;
    matches.reserve(tokens.size());
    for (const auto &[server, cachedTokens] : tokens) {
        matches.push_back({server, cachedTokens});
    }
    return matches;
}

void PrefixIndex::tick()
{
    const TimePoint now = loop_.now();
    for (auto entry = cachingServers_.begin(); entry != cachingServers_.end();) {
        std::erase_if(entry->second, [now](const CachingServer &caching) { return now - caching.usedAt > CacheLifetime; });
        entry = entry->second.empty() ? cachingServers_.erase(entry) : std::next(entry);
    }
}

std::size_t PrefixIndex::size() const
{
    return cachingServers_.size();
}

} // namespace cardamomlift::prefixindex
