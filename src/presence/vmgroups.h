#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::presence {

/// How the entry VMs of a deployment are divided into groups. The VMs of a group exchange their full statuses; of the other
/// groups each VM gets only summaries, so that a VM's traffic grows with the square root of the number of VMs.
struct GroupLayout {
    std::size_t groupsPerZone = 0; ///< Groups in each zone, a power of two; 0: all VMs are one group.

    bool operator==(const GroupLayout &) const = default;
};

/// The layout for @p vms VMs in @p zones zones. Above the number of VMs that form one group, it changes only when @p vms, divided
/// by the square of @p zones, passes a power of four. So VMs that have not read the newest rows yet mostly agree with the others.
GroupLayout layoutFor(std::size_t vms, std::size_t zones);

/// The name of the group of the VM @p instance, the same on all VMs. A group lies within one zone, so the statuses within it
/// cause no traffic between zones.
std::string groupOf(const GroupLayout &layout, std::string_view instance, std::string_view zone);

/// Rank of @p candidate for @p requester by rendezvous hashing. A VM requests the summary of a group from its member of the
/// highest rank, which spreads the requests evenly over the members.
std::uint64_t rendezvousRank(std::string_view requester, std::string_view candidate);

} // namespace cardamomlift::presence
