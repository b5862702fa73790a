#include "manifest/manifestkeeper.h"

#include <algorithm>

namespace cardamomlift::manifest {

std::shared_ptr<ManifestKeeper> ManifestKeeper::create()
{
    return std::shared_ptr<ManifestKeeper>(new ManifestKeeper);
}

ManifestPtr ManifestKeeper::current() const
{
    return current_;
}

OfferOutcome ManifestKeeper::offer(Manifest manifest)
{
    isNewestUnreadable_ = false;
    if (current_ && manifest.version == current_->manifest().version) {
        return OfferOutcome::Known;
    }
    if (current_ && manifest.version < current_->manifest().version) {
        return OfferOutcome::Older;
    }
    current_ = ManifestIndex::create(std::move(manifest));
    for (const auto &handler : handlers_) {
        handler(current_);
    }
    return OfferOutcome::InForce;
}

void ManifestKeeper::confirm(TimePoint askedAt)
{
    const std::uint64_t inForce = current_ ? current_->manifest().version : 0;
    if (inForce < newestElsewhere_ || isNewestUnreadable_) {
        return;
    }
    confirmedAt_ = confirmedAt_ ? std::max(*confirmedAt_, askedAt) : askedAt;
}

void ManifestKeeper::noteUnreadable()
{
    isNewestUnreadable_ = true;
}

void ManifestKeeper::noteElsewhere(std::uint64_t version)
{
    newestElsewhere_ = std::max(newestElsewhere_, version);
}

std::optional<Duration> ManifestKeeper::age(TimePoint now) const
{
    if (!confirmedAt_) {
        return std::nullopt;
    }
    return now - *confirmedAt_;
}

bool ManifestKeeper::isFresh(TimePoint now, Duration bound) const
{
    const auto known = age(now);
    return known && *known <= bound;
}

void ManifestKeeper::onChange(std::function<void(const ManifestPtr &manifest)> handler)
{
    handlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::manifest
