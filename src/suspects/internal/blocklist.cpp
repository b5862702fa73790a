#include "suspects/blocklist.h"

#include <algorithm>

namespace cardamomlift::suspects {

namespace {

constexpr std::size_t MaxBlocked = 1024;

} // namespace

BlockList::BlockList(bool remembersEnded)
    : remembersEnded_(remembersEnded)
{
}

bool BlockList::block(std::uint64_t id, TimePoint until)
{
    if (blockedUntil_.size() >= MaxBlocked) {
        const auto soonest = std::min_element(blockedUntil_.begin(), blockedUntil_.end(), [](const auto &a, const auto &b) { return a.second < b.second; });
        blockedUntil_.erase(soonest);
    }
    if (!blockedUntil_.emplace(id, until).second) {
        return false;
    }
    if (!remembersEnded_) {
        return true;
    }
    const Duration length = nextLength(id);
    if (lastBlocks_.size() >= MaxBlocked) {
        lastBlocks_.erase(lastBlocks_.begin());
    }
    lastBlocks_[id] = {until, length};
    return true;
}

bool BlockList::isBlocked(std::uint64_t id) const
{
    return blockedUntil_.contains(id);
}

bool BlockList::wasBlocked(std::uint64_t id) const
{
    return lastBlocks_.contains(id);
}

TimePoint BlockList::blockedSince(std::uint64_t id) const
{
    const auto last = lastBlocks_.find(id);
    return last == lastBlocks_.end() ? TimePoint() : last->second.until - last->second.length;
}

Duration BlockList::nextLength(std::uint64_t id) const
{
    const auto ended = lastBlocks_.find(id);
    return ended == lastBlocks_.end() ? FirstBlockLength : std::min(ended->second.length * 2, MaxBlockLength);
}

bool BlockList::lift(std::uint64_t id)
{
    lastBlocks_.erase(id);
    return blockedUntil_.erase(id) > 0;
}

bool BlockList::forgive(std::uint64_t id)
{
    return lastBlocks_.erase(id) > 0;
}

std::vector<std::pair<std::uint64_t, TimePoint>> BlockList::entries() const
{
    std::vector<std::pair<std::uint64_t, TimePoint>> blocked(blockedUntil_.begin(), blockedUntil_.end());
    std::sort(blocked.begin(), blocked.end(), [](const auto &a, const auto &b) { return a.second > b.second; });
    return blocked;
}

void BlockList::expire(TimePoint now)
{
    std::erase_if(blockedUntil_, [&](const auto &entry) { return entry.second <= now; });
    std::erase_if(lastBlocks_, [&](const auto &entry) { return entry.second.until + entry.second.length <= now; });
}

bool BlockList::empty() const
{
    return blockedUntil_.empty() && lastBlocks_.empty();
}

} // namespace cardamomlift::suspects
