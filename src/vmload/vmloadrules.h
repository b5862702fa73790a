#pragma once

#include "vmload/vmloadtypes.h"

#include <span>

namespace cardamomlift::vmload {

/// A timer of the loop was @p lateness late.
Duration smoothedLag(Duration lag, Duration lateness);

/// Whether the VM is busy, by its lag. @p goal: the tightest latency goal of all routes; zero: none, then it never is.
void updateBusy(VmLoad &load, Duration goal, TimePoint now, const VmLoadParameters &parameters);

/// The lag that another VM may have to count as one with headroom.
Duration headroomLimit(const VmLoad &load, const VmLoadParameters &parameters);

/// The part of its new requests that the VM should hand over. @p others: the lags of the other VMs. None if most of them lag too.
double wantedShare(const VmLoad &load, Duration goal, std::span<const Duration> others, const VmLoadParameters &parameters);

/// The next share: goes towards @p wanted in bounded steps.
double nextShare(double share, double wanted, const VmLoadParameters &parameters);

/// Whether the share covers the request. @p salt: a hash of its id.
bool isInShare(double share, std::uint64_t salt);

} // namespace cardamomlift::vmload
