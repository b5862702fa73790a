#include "rows/eratracker.h"

#include <utility>

namespace cardamomlift::rows {

void EraTracker::note(std::uint64_t era)
{
    const bool wasNamed = std::exchange(isNamed_, true);
    if (era <= current_) {
        return;
    }
    current_ = era;
    if (!wasNamed) {
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
