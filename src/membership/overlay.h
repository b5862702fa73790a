#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// Upper limit of an entry VM's neighbours, so that its connections to peers do not grow with the fleet.
inline constexpr std::size_t MaxNeighbours = 8;

/// The neighbours of @p self in the overlay network: the entry VMs it exchanges heartbeats and gossip with. If there are at
/// most MaxNeighbours other entry VMs, these are all of them. Otherwise they are its predecessor and successor on each of a
/// few rings; a ring is all entry VMs sorted by a hash of their instance, salted per ring. The relation is mutual if both
/// sides know the same VMs. A VM that joins or goes changes the neighbours of the two VMs next to it on each ring. VMs in
/// the state Gone are ignored.
std::vector<std::string> chooseNeighbours(std::span<const Vm> entries, const std::string &self);

} // namespace cardamomlift::membership
