// Retention of a StreamRegistry's entries, and replacement of lost or outdated copies.

#include "streams/streamregistry.h"

#include "streams/internal/streamregistryentry.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace cardamomlift::streams {

namespace {

constexpr Duration ResumeWindow = std::chrono::seconds(10); ///< How long a request continues after its caller disconnected.
constexpr Duration EndedRetention = std::chrono::seconds(10); ///< How long an ended session is kept.
constexpr std::size_t MaxEnded = 1000; ///< Ended sessions kept at once.
constexpr Duration OrphanRetention = std::chrono::minutes(5); ///< How long a copy is kept after its owner is gone.
constexpr Duration CopyRetention = std::chrono::minutes(15); ///< How long a copy is kept without a refresh.
constexpr Duration CopyRefreshInterval = std::chrono::minutes(5);

} // namespace

void StreamRegistry::onMembersChange()
{
    if (isLeaving_) {
        return;
    }
    auto &members = *tools_.session.members;
    std::vector<EntryPtr> uncopied;
    for (const auto &[id, entry] : entries_) {
        const bool isOpen = entry->session && !entry->session->hasEnded() && !entry->copyHolders.empty();
        const bool hasCopy = std::any_of(entry->copyHolders.begin(), entry->copyHolders.end(), [&](const std::string &holder) {
            return members.find(holder) && !members.isLeaving(holder);
        });
        if (isOpen && !hasCopy) {
            uncopied.push_back(entry);
        }
    }
    for (const EntryPtr &entry : uncopied) {
        entry->copyHolders.clear();
        tools_.session.metrics->add("copies_moved_total");
        placeCopy(entry, [](bool) {});
    }
}

void StreamRegistry::sweep()
{
    const TimePoint now = tools_.session.loop->now();
    std::vector<std::string> expired;
    std::vector<EntryPtr> stale;
    for (const auto &[id, entry] : entries_) {
        if (isExpired(*entry, now)) {
            expired.push_back(id);
        } else if (entry->session && !entry->session->hasEnded() && now - entry->copiedAt > CopyRefreshInterval) {
            stale.push_back(entry);
        }
    }
    for (const std::string &id : expired) {
        removeEntry(id);
    }
    trimEndedSessions();
    for (const EntryPtr &entry : stale) {
        placeCopy(entry, [](bool) {});
    }
    std::erase_if(failedHolders_, [&](const auto &item) { return item.second < now; });
}

// At a high request rate, ended sessions are kept for less than EndedRetention.
void StreamRegistry::trimEndedSessions()
{
    std::vector<std::pair<TimePoint, std::string>> ended;
    for (const auto &[id, entry] : entries_) {
        if (entry->session && entry->endedAt) {
            ended.emplace_back(*entry->endedAt, id);
        }
    }
    if (ended.size() <= MaxEnded) {
        return;
    }
    std::sort(ended.begin(), ended.end());
    ended.resize(ended.size() - MaxEnded);
    for (const auto &[endedAt, id] : ended) {
        removeEntry(id);
    }
}

bool StreamRegistry::isExpired(Entry &entry, TimePoint now)
{
    if (entry.session && entry.session->hasEnded()) {
        entry.endedAt = entry.endedAt.value_or(now);
        return now - *entry.endedAt > EndedRetention;
    }
    if (entry.session) {
        return entry.session->isDetached() && now - entry.detachedAt > ResumeWindow;
    }
    if (tools_.session.members->find(entry.owner)) {
        entry.ownerMissingSince.reset();
        return now - entry.roleSince > CopyRetention;
    }
    entry.ownerMissingSince = entry.ownerMissingSince.value_or(now);
    return now - *entry.ownerMissingSince > OrphanRetention;
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
    for (const std::string &holder : entry->copyHolders) {
        if (const membership::Vm *vm = tools_.session.members->find(holder)) {
            sender_->sendDrop(membership::peerAddress(*vm), requestId, entry->session->state().generation);
        }
    }
}

void StreamRegistry::evictCopies()
{
    while (copyBytes_ > tools_.maxCopyBytes) {
        const auto oldest = std::min_element(entries_.begin(), entries_.end(), [](const auto &a, const auto &b) {
            return std::pair(a.second->session != nullptr, a.second->roleSince) < std::pair(b.second->session != nullptr, b.second->roleSince);
        });
        if (oldest == entries_.end() || oldest->second->session) {
            return;
        }
        tools_.session.metrics->add("copies_evicted_total");
        removeEntry(std::string(oldest->first));
    }
}

} // namespace cardamomlift::streams
