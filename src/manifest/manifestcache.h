#pragma once

#include "manifest/manifestindex.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::manifest {

/// What update() did with a manifest.
enum class UpdateOutcome {
    Activated,
    AlreadyActive, ///< This version was active already.
    Outdated, ///< A newer version is active; ignored.
};

/// Holds the latest manifest that this process knows, and since when it has not been confirmed as the latest.
class ManifestCache
{
public:
    static std::shared_ptr<ManifestCache> create();

    /// The active manifest; null before the first.
    ManifestPtr current() const;
    /// Activates @p manifest unless the active one is as new or newer.
    UpdateOutcome update(Manifest manifest);
    /// Records that the store had no newer version than the active one at some time at or after @p sentAt.
    /// NOTE The time at which the request was sent, not that of the response, which may have been delayed on its way.
    void confirm(TimePoint sentAt);
    /// Records that @p version is active at another VM. While the version here is older, confirm() has no effect: the store may
    /// have been restored from a copy that lacks the newer version.
    void notePeerVersion(std::uint64_t version);
    /// Records that the store holds a manifest that this process can't read. Until a readable one comes, confirm() has no
    /// effect: the unreadable one may have revoked a key.
    void noteUnreadable();
    /// Time since the active manifest was last known to be the latest; empty if it never was.
    std::optional<Duration> age(TimePoint now) const;
    /// True if age() is at most @p bound, so that API keys may be checked against the active manifest.
    bool isFresh(TimePoint now, Duration bound) const;
    /// Calls @p handler after each change of the active manifest.
    void onChange(std::function<void(const ManifestPtr &manifest)> handler);

private:
    ManifestCache() = default;
    ManifestPtr current_;
    std::uint64_t newestPeerVersion_ = 0;
    bool isNewestUnreadable_ = false;
    std::optional<TimePoint> confirmedAt_;
    std::vector<std::function<void(const ManifestPtr &)>> handlers_;
};

} // namespace cardamomlift::manifest
