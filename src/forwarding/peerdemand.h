#pragma once

#include "presence/presencetypes.h"

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>

namespace cardamomlift::forwarding {

/// Load that the other VMs' callers put on each service, by their latest statuses.
class PeerDemand
{
public:
    /// Replaces what is known by the sums of @p loads, which hold each other VM once.
    void replace(std::span<const presence::ServiceLoad> loads);
    /// All zero if nothing is known.
    presence::ServiceLoad of(const std::string &service) const;

private:
    std::unordered_map<std::uint64_t, presence::ServiceLoad> services_;
};

} // namespace cardamomlift::forwarding
