#include "prefixindex/prefixindex.h"

#include <algorithm>
#include <map>

namespace cardamomlift::prefixindex {

namespace {

/// A prefix that nobody used for this long is likely evicted: a server of half a million tokens that reads some 15,000 a
/// second is read through in that time.
constexpr Duration HeldFor = std::chrono::seconds(30);
/// Sends are told again for this long: at 90 VMs a peer hears a full status every 1.4 s, and one may be lost.
constexpr Duration ToldFor = std::chrono::milliseconds(2500);
/// A full status at ten requests a second has no more; it bounds a datagram at a higher rate to half a kilobyte.
constexpr std::size_t MostTold = 32;
/// Some hundred prefixes are in use at a time; a caller that makes up new ones costs 2 MB at most.
constexpr std::size_t MostPrefixes = 20'000;
/// Servers remembered for a prefix; a hot one may be everywhere, and any of these serves as a source.
constexpr std::size_t MostHolders = 8;

} // namespace

PrefixIndex::PrefixIndex(EventLoop &loop)
    : loop_(loop)
{
}

std::shared_ptr<PrefixIndex> PrefixIndex::create(EventLoop &loop)
{
    return std::shared_ptr<PrefixIndex>(new PrefixIndex(loop));
}

void PrefixIndex::note(std::uint64_t prefix, std::uint64_t server, TimePoint at)
{
    if (holders_.size() >= MostPrefixes && !holders_.contains(prefix)) {
        return;
    }
    std::vector<CachingServer> &holders = holders_[prefix];
    const auto known = std::find_if(holders.begin(), holders.end(), [server](const CachingServer &holder) { return holder.server == server; });
    if (known != holders.end()) {
        known->usedAt = std::max(known->usedAt, at);
        return;
    }
    if (holders.size() >= MostHolders) {
        holders.erase(std::min_element(holders.begin(), holders.end(), [](const CachingServer &a, const CachingServer &b) { return a.usedAt < b.usedAt; }));
    }
    holders.push_back({server, at});
}

void PrefixIndex::noteSent(std::span<const Prefix> prefixes, std::string_view instance)
{
    const TimePoint now = loop_.now();
    const std::uint64_t server = presence::nameHash(instance);
    for (const Prefix &prefix : prefixes) {
        note(prefix.hash, server, now);
        sent_.push_back({{prefix.hash, server}, now});
    }
    if (sent_.size() > MostTold) {
        sent_.erase(sent_.begin(), sent_.end() - MostTold);
    }
}

void PrefixIndex::takeTold(std::span<const presence::PrefixUse> uses)
{
    for (const presence::PrefixUse &use : uses) {
        note(use.prefix, use.server, loop_.now());
    }
}

std::vector<presence::PrefixUse> PrefixIndex::told() const
{
    std::vector<presence::PrefixUse> uses;
    for (const Sent &sent : sent_) {
        if (loop_.now() - sent.at <= ToldFor) {
            uses.push_back(sent.use);
        }
    }
    return uses;
}

std::vector<PrefixMatch> PrefixIndex::matches(std::span<const Prefix> prefixes) const
{
    std::map<std::uint64_t, std::int64_t> tokens;
    for (const Prefix &prefix : prefixes) {
        const auto found = holders_.find(prefix.hash);
        if (found == holders_.end()) {
            continue;
        }
        for (const CachingServer &holder : found->second) {
            tokens[holder.server] = prefix.tokens;
        }
    }
    std::vector<PrefixMatch> matches;
    matches.reserve(tokens.size());
    for (const auto &[server, held] : tokens) {
        matches.push_back({server, held});
    }
    return matches;
}

void PrefixIndex::tick()
{
    const TimePoint now = loop_.now();
    for (auto entry = holders_.begin(); entry != holders_.end();) {
        std::erase_if(entry->second, [now](const CachingServer &holder) { return now - holder.usedAt > HeldFor; });
        entry = entry->second.empty() ? holders_.erase(entry) : std::next(entry);
    }
}

std::size_t PrefixIndex::size() const
{
    return holders_.size();
}

} // namespace cardamomlift::prefixindex
