#pragma once

#include "origins/originstypes.h"

#include <span>
#include <vector>

namespace cardamomlift::origins {

/// VMs that keep the origin of one stream, beside the one at which it began.
inline constexpr std::size_t Owners = 3;

/// Indexes of the VMs of @p vms that keep the origin of @p stream: by rendezvous hashing, in different failure domains as far as there are
/// enough. VMs with different views of the fleet mostly agree.
std::vector<std::size_t> chooseOwners(StreamId stream, std::span<const OriginVm> vms);

} // namespace cardamomlift::origins
