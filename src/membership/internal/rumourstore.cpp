#include "membership/rumourstore.h"

#include "text/digest.h"

#include <string_view>
#include <unordered_map>

namespace cardamomlift::membership {

namespace {

std::uint64_t hashOf(const RumourSummary &summary)
{
    const std::string_view bytes(reinterpret_cast<const char *>(&summary), sizeof(summary));
    return text::stableHash(bytes);
}

} // namespace

std::uint64_t rumourId(const std::string &topic, const std::string &key)
{
    return text::stableHash(key, text::stableHash(topic));
}

RumourStore::RumourStore(RumourLimits limits)
    : limits_(limits)
{
}

OfferOutcome RumourStore::offer(const Rumour &rumour, WallTime now)
{
    if (rumour.expires <= now || rumour.payload.size() > limits_.maxPayloadBytes) {
        return OfferOutcome::Rejected;
    }
    const StoreKey storeKey{rumour.topic, rumour.key};
    const auto held = rumours_.find(storeKey);
    if (held != rumours_.end() && held->second.version >= rumour.version) {
        return OfferOutcome::Known;
    }
    if (held == rumours_.end() && rumours_.size() >= limits_.maxRumours) {
        return OfferOutcome::Rejected;
    }
    Rumour &entry = rumours_[storeKey];
    entry = rumour;
    byId_[rumourId(rumour.topic, rumour.key)] = &entry;
    return OfferOutcome::Accepted;
}

const Rumour *RumourStore::find(const std::string &topic, const std::string &key) const
{
    const auto found = rumours_.find({topic, key});
    return found == rumours_.end() ? nullptr : &found->second;
}

const Rumour *RumourStore::findById(std::uint64_t id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : found->second;
}

void RumourStore::forEach(const std::string &topic, const std::function<void(const Rumour &)> &visit) const
{
    for (auto entry = rumours_.lower_bound({topic, ""}); entry != rumours_.end() && entry->first.first == topic; ++entry) {
        visit(entry->second);
    }
}

std::uint64_t RumourStore::digest(WallTime horizon) const
{
    std::uint64_t result = 0;
    for (const RumourSummary &summary : summaries(horizon)) {
        result ^= hashOf(summary);
    }
    return result;
}

std::vector<RumourSummary> RumourStore::summaries(WallTime horizon) const
{
    std::vector<RumourSummary> result;
    result.reserve(byId_.size());
    for (const auto &[id, rumour] : byId_) {
        if (rumour->expires > horizon) {
            result.push_back({id, rumour->version});
        }
    }
    return result;
}

void RumourStore::dropExpired(WallTime now)
{
    for (auto entry = rumours_.begin(); entry != rumours_.end();) {
        if (entry->second.expires > now) {
            ++entry;
            continue;
        }
        byId_.erase(rumourId(entry->second.topic, entry->second.key));
        entry = rumours_.erase(entry);
    }
}

std::size_t RumourStore::size() const
{
    return rumours_.size();
}

RumourDifference compareSummaries(std::span<const RumourSummary> ours, std::span<const RumourSummary> theirs)
{
    std::unordered_map<std::uint64_t, std::uint64_t> held;
    for (const RumourSummary &summary : ours) {
        held[summary.id] = summary.version;
    }
    RumourDifference difference;
    for (const RumourSummary &summary : theirs) {
        const auto found = held.find(summary.id);
        if (found == held.end() || found->second < summary.version) {
            difference.wanted.push_back(summary.id);
        }
        if (found != held.end() && found->second <= summary.version) {
            held.erase(found);
        }
    }
    for (const auto &[id, version] : held) {
        difference.offered.push_back(id);
    }
    return difference;
}

} // namespace cardamomlift::membership
