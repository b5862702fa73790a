#include "presence/vmgroups.h"

#include "presence/presencetypes.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace cardamomlift::presence {

namespace {

/// Up to this many VMs form a single group: each sends 23 datagrams a round, about 66 a second.
constexpr std::size_t MaxSingleGroup = 24;

} // namespace

GroupLayout layoutFor(std::size_t vms, std::size_t zones)
{
    if (vms <= MaxSingleGroup) {
        return {};
    }
    const double groups = std::sqrt(static_cast<double>(vms)) / static_cast<double>(std::max<std::size_t>(1, zones));
    return {std::bit_floor(std::max<std::size_t>(1, static_cast<std::size_t>(groups)))};
}

std::string groupOf(const GroupLayout &layout, std::string_view instance, std::string_view zone)
{
    if (layout.groupsPerZone == 0) {
        return {};
    }
    return std::string(zone) + '/' + std::to_string(nameHash(instance) % layout.groupsPerZone) + '/' + std::to_string(layout.groupsPerZone);
}

std::uint64_t rendezvousRank(std::string_view requester, std::string_view candidate)
{
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), nameHash(requester));
}

} // namespace cardamomlift::presence
