#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>

namespace cardamomlift::routing {

/// What this VM heard about prefixes in servers' caches: from answers, and from cache events, which come late and with
/// gaps. Each word is a hint that fades with its age; the oldest go when there is no room.
class PrefixHints
{
public:
    /// @p share of the prompt was found in the cache of @p instance at @p at. A word older than the known one is ignored.
    void note(std::string_view instance, std::uint64_t prefixHash, double share, TimePoint at);
    /// The faded share, or none if nothing is known.
    std::optional<double> share(std::string_view instance, std::uint64_t prefixHash, TimePoint now) const;
    std::size_t size() const;

private:
    struct Hint {
        std::uint64_t key = 0;
        double share = 0;
        TimePoint at;
    };
    std::list<Hint> byRecency_; ///< Last noted first.
    std::unordered_map<std::uint64_t, std::list<Hint>::iterator> hints_;
};

} // namespace cardamomlift::routing
