#include "rows/eratracker.h"

#include <utility>

namespace cardamomlift::rows {

void EraTracker::note(std::uint64_t era)
{
    const bool wasKnown = std::exchange(isKnown_, true);
    if (era <= current_) {
        return;
    }
    current_ = era;
    if (!wasKnown) {
        return;
    }
    for (const auto &handler : handlers_) {
        handler();
    }
}

std::uint64_t EraTracker::current() const
{
    return current_;
}

void EraTracker::onRestored(std::function<void()> handler)
{
    handlers_.push_back(std::move(handler));
}

} // namespace cardamomlift::rows
