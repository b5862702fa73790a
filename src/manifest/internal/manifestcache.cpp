#include "manifest/manifestcache.h"

#include <algorithm>

namespace cardamomlift::manifest {

std::shared_ptr<ManifestCache> ManifestCache::create()
{
    return std::shared_ptr<ManifestCache>(new ManifestCache);
}

ManifestPtr ManifestCache::current() const
{
    return current_;
}

UpdateOutcome ManifestCache::update(Manifest manifest)
{
    isNewestUnreadable_ = false;
    if (current_ && manifest.version == current_->manifest().version) {
        return UpdateOutcome::AlreadyActive;
    }
    if (current_ && manifest.version < current_->manifest().version) {
        return UpdateOutcome::Outdated;
    }
    current_ = ManifestIndex::create(std::move(manifest));
    for (const auto &handler : handlers_) {
        handler(current_);
    }
    return UpdateOutcome::Activated;
}

void ManifestCache::confirm(TimePoint sentAt)
{
    const std::uint64_t activeVersion = current_ ? current_->manifest().version : 0;
    if (activeVersion < newestPeerVersion_ || isNewestUnreadable_) {
        return;
    }
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, sentAt) : sentAt;
}

void ManifestCache::noteUnreadable()
{
    isNewestUnreadable_ = true;
}

void ManifestCache::notePeerVersion(std::uint64_t version)
{
    newestPeerVersion_ = std::max(newestPeerVersion_, version);
}

std::optional<Duration> ManifestCache::age(TimePoint now) const
{
    if (!confirmedAt_) {
        return std::nullopt;
    }
    return now - *confirmedAt_;
}

bool ManifestCache::isFresh(TimePoint now, Duration bound) const
{
    const auto currentAge = age(now);
    return currentAge && *currentAge <= bound;
}

void ManifestCache::onChange(std::function<void(const ManifestPtr &manifest)> handler)
{
    handlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::manifest
