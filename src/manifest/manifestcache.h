#pragma once

#include "manifest/manifestindex.h"

#include <functional>
#include <memory>
#include <vector>

namespace cardamomlift::manifest {

/// What becomes of a manifest that was offered.
enum class UpdateOutcome {
    Activated,
    AlreadyActive, ///< The version in force already.
    Outdated, ///< An older version than the one in force; ignored.
};

/// The newest manifest that this process knows, and how fresh that knowledge is.
class ManifestCache
{
public:
    static std::shared_ptr<ManifestCache> create();

    /// The manifest in force; null before the first.
    ManifestPtr current() const;
    /// Puts @p manifest in force unless a newer one is.
    UpdateOutcome update(Manifest manifest);
    /// The store has shown that at some time at or after @p askedAt no newer version than the one in force existed.
    /// NOTE The time at which the question was sent, not that of the answer: an answer may have waited on its way.
    void confirm(TimePoint askedAt);
    /// Another VM has @p version in force. While the one here is older nothing confirms it: the store may have been restored
    /// from a copy that lacks the newer one.
    void notePeerVersion(std::uint64_t version);
    /// The store holds a manifest that can't be read here. Until a readable one comes nothing confirms the one in force: a key
    /// may have been taken away.
    void noteUnreadable();
    /// Time since the manifest in force was certainly the newest one; empty if it never was.
    std::optional<Duration> age(TimePoint now) const;
    /// True if keys may be judged at @p now: what is known is younger than @p bound.
    bool isFresh(TimePoint now, Duration bound) const;
    /// @p handler is called after each change of the manifest in force.
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
