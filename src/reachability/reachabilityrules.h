#pragma once

#include "kernel/clock.h"
#include "reachability/reachabilitytypes.h"

namespace cardamomlift::reachability {

/// Time after which the VM is fully trusted again to reach servers.
inline constexpr Duration RecoveryTime = std::chrono::seconds(2);

/// Returns whether @p evidence shows that this VM reaches no server. While it recovers, fewer failures are enough.
bool isCutOff(const Evidence &evidence, State state);

/// Returns whether @p reachedServers, reached in succession, show that the VM reaches the servers again.
bool isBack(std::size_t reachedServers, std::size_t listedServers);

/// Returns the fraction of the requests that are sent to servers directly, @p sinceRecovery after the first connection. Grows from a
/// few requests to all of them.
double directShare(Duration sinceRecovery);

} // namespace cardamomlift::reachability
