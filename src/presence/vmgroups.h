#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::presence {

/// How the entry VMs of a deployment are divided into groups. The VMs of a group tell each other all; of the other groups
/// each VM knows the sums, so that what a VM sends and hears grows with the square root of the number of VMs.
struct GroupLayout {
    std::size_t groupsPerZone = 0; ///< Groups in each zone, a power of two; 0: all VMs are one group.

    bool operator==(const GroupLayout &) const = default;
};

/// The layout for @p vms VMs in @p zones zones. It changes only where the number of VMs passes a power of four, so that VMs
/// which have not read the newest rows yet agree with the others.
GroupLayout layoutFor(std::size_t vms, std::size_t zones);

/// The name of the group of the VM @p instance, the same on all VMs. Groups lie within a zone: what their VMs tell each other
/// costs no traffic between zones.
std::string groupOf(const GroupLayout &layout, std::string_view instance, std::string_view zone);

/// Each VM asks the VM of the highest rank in each other group for its sums: as many ask one VM as another.
std::uint64_t rendezvousRank(std::string_view asking, std::string_view asked);

} // namespace cardamomlift::presence
