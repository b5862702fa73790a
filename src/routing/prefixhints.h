#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cardamomlift::routing {

/// Estimates which prefixes are in servers' caches, from answers and from cache events, some of which arrive late or not at
/// all. An observation decays with its age; the least recently recorded ones are evicted.
class PrefixHints
{
public:
    /// Records that @p share of the prompt was in the cache of @p instance at @p at. Ignored if older than the known observation.
    void note(std::string_view instance, std::uint64_t prefixHash, double share, TimePoint at);
    /// Returns the decayed share, or none if nothing is known.
    std::optional<double> share(std::string_view instance, std::uint64_t prefixHash, TimePoint now) const;
    std::size_t size() const;

private:
    struct Hint {
        std::uint64_t key = 0;
        double share = 0;
        TimePoint at;
    };
    std::list<Hint> byRecency_; ///< Most recently recorded first.
    std::unordered_map<std::uint64_t, std::list<Hint>::iterator> hints_;
};

} // namespace cardamomlift::routing
