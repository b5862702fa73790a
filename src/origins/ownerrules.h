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

/// Index of the VM of @p vms that writes the origin of @p stream to the store. A VM writes for many others, so that there are few calls.
std::size_t chooseWriter(StreamId stream, std::span<const OriginVm> vms);

} // namespace cardamomlift::origins
