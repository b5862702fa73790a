// How long a StreamRegistry keeps its entries, and when it places a copy anew.

#include "streams/streamregistry.h"

#include "streams/internal/streamregistryentry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamomlift::streams {

namespace {

constexpr Duration ResumeWindow = std::chrono::seconds(10); ///< After its caller was lost, a request runs on for so long.
constexpr Duration KeepEnded = std::chrono::seconds(10);
constexpr std::size_t MostEnded = 1000;
constexpr Duration KeepOrphan = std::chrono::minutes(5); ///< A copy whose owner is gone.
constexpr Duration KeepCopy = std::chrono::minutes(15);
constexpr Duration CopyAgain = std::chrono::minutes(5);

} // namespace

void StreamRegistry::onMembersChange()
{
    if (isLeaving_) {
        return;
    }
    auto &members = *tools_.session.members;
    std::vector<EntryPtr> unsafe;
    for (const auto &[id, entry] : entries_) {
        const bool isOpen = entry->session && !entry->session->hasEnded() && !entry->places.empty();
        const bool isHeld =
            std::any_of(entry->places.begin(), entry->places.end(), [&](const std::string &place) { return members.find(place) && !members.isLeaving(place); });
        if (isOpen && !isHeld) {
            unsafe.push_back(entry);
        }
    }
    for (const EntryPtr &entry : unsafe) {
        entry->places.clear();
        tools_.session.metrics->add("copies_moved_total");
        placeCopy(entry, [](bool) {});
    }
}

void StreamRegistry::sweep()
{
    const TimePoint now = tools_.session.loop->now();
    std::vector<std::string> over;
    std::vector<EntryPtr> stale;
    for (const auto &[id, entry] : entries_) {
        if (isOver(*entry, now)) {
            over.push_back(id);
        } else if (entry->session && !entry->session->hasEnded() && now - entry->copiedAt > CopyAgain) {
            stale.push_back(entry);
        }
    }
    for (const std::string &id : over) {
        removeEntry(id);
    }
    boundEnded();
    for (const EntryPtr &entry : stale) {
        placeCopy(entry, [](bool) {});
    }
    std::erase_if(failedHolders_, [&](const auto &item) { return item.second < now; });
}

// Under a high rate answers that ended are kept for a shorter time.
void StreamRegistry::boundEnded()
{
    std::vector<std::pair<TimePoint, std::string>> ended;
    for (const auto &[id, entry] : entries_) {
        if (entry->session && entry->endedAt) {
            ended.emplace_back(*entry->endedAt, id);
        }
    }
    if (ended.size() <= MostEnded) {
        return;
    }
    std::sort(ended.begin(), ended.end());
    ended.resize(ended.size() - MostEnded);
    for (const auto &[endedAt, id] : ended) {
        removeEntry(id);
    }
}

bool StreamRegistry::isOver(Entry &entry, TimePoint now)
{
    if (entry.session && entry.session->hasEnded()) {
        entry.endedAt = entry.endedAt.value_or(now);
        return now - *entry.endedAt > KeepEnded;
    }
    if (entry.session) {
        return entry.session->isDetached() && now - entry.detachedAt > ResumeWindow;
    }
    if (tools_.session.members->find(entry.owner)) {
        entry.orphanAt.reset();
        return now - entry.since > KeepCopy;
    }
    entry.orphanAt = entry.orphanAt.value_or(now);
    return now - *entry.orphanAt > KeepOrphan;
}

void StreamRegistry::removeEntry(const std::string &requestId)
{
    const auto found = entries_.find(requestId);
    if (found == entries_.end()) {
        return;
    }
    const EntryPtr entry = found->second;
    entries_.erase(found);
    copyBytes_ -= entry->bytes;
    if (!entry->session) {
        return;
    }
    if (!entry->session->hasEnded()) {
        tools_.session.metrics->add("callers_lost_total");
        entry->session->cancel();
    }
    for (const std::string &place : entry->places) {
        if (const membership::Vm *vm = tools_.session.members->find(place)) {
            sender_->drop(membership::peerAddress(*vm), requestId, entry->session->state().generation);
        }
    }
}

void StreamRegistry::evictCopies()
{
    while (copyBytes_ > tools_.mostCopyBytes) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second->session != nullptr, a.second->since) < std::pair(b.second->session != nullptr, b.second->since);
        });
        if (oldest == entries_.end() || oldest->second->session) {
            return;
        }
        tools_.session.metrics->add("copies_evicted_total");
        removeEntry(std::string(oldest->first));
    }
}

} // namespace cardamomlift::streams
