#include "routing/prefixhints.h"

#include "text/digest.h"

#include <cmath>

namespace cardamomlift::routing {

namespace {

constexpr std::size_t MaxHints = 16384;
constexpr Duration HalfLife = std::chrono::seconds(60);

std::uint64_t keyOf(std::string_view instance, std::uint64_t prefixHash)
{
    return text::stableHash(instance, prefixHash);
}

} // namespace

void PrefixHints::note(std::string_view instance, std::uint64_t prefixHash, double share, TimePoint at)
{
    const std::uint64_t key = keyOf(instance, prefixHash);
    const auto found = hints_.find(key);
    if (found != hints_.end()) {
        if (found->second->at > at) {
            return;
        }
        byRecency_.erase(found->second);
        hints_.erase(found);
    }
    byRecency_.push_front({key, share, at});
    hints_[key] = byRecency_.begin();
    if (byRecency_.size() > MaxHints) {
        hints_.erase(byRecency_.back().key);
        byRecency_.pop_back();
    }
}

std::optional<double> PrefixHints::share(std::string_view instance, std::uint64_t prefixHash, TimePoint now) const
{
    const auto found = hints_.find(keyOf(instance, prefixHash));
    if (found == hints_.end()) {
        return std::nullopt;
    }
    const double age = std::chrono::duration<double>(now - found->second->at) / HalfLife;
    return found->second->share * std::exp2(-age);
}

std::size_t PrefixHints::size() const
{
    return byRecency_.size();
}

} // namespace cardamomlift::routing
