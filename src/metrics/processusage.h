#pragma once

#include <cstdint>

namespace cardamomlift::metrics {

/// Processor time of this process since its start, user and system together, in seconds.
double processCpuSeconds();

/// Resident memory of this process in bytes; 0 if the operating system does not tell.
std::uint64_t processResidentBytes();

} // namespace cardamomlift::metrics
