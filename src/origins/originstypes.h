#pragma once

#include <cstdint>
#include <string_view>

namespace cardamomlift::origins {

/// Identifies one version of the software of one service's backend servers, the same on all VMs.
using SoftwareId = std::uint64_t;

/// @p version: as in the servers' entries; empty if they name none.
SoftwareId softwareId(std::string_view service, std::string_view version);

} // namespace cardamomlift::origins
