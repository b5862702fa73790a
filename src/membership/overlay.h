#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// The most neighbours one entry VM has; its connections to peers do not grow with the fleet.
inline constexpr std::size_t MaxNeighbours = 8;

/// The entry VMs @p self exchanges heartbeats and gossip with: its successor and predecessor on each of a few rings,
/// where a ring is all entry VMs sorted by a hash of their instance. Mutual when both sides know the same VMs; a VM that
/// comes or goes changes the two beside it on each ring. VMs that are Gone do not count.
std::vector<std::string> chooseNeighbours(std::span<const Vm> entries, const std::string &self);

} // namespace cardamomlift::membership
