#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cardamomlift::serverlimits {

/// One VM's permits for one server that has advertised a rate limit. A permit allows one request. The server's permits for all
/// VMs are issued at even intervals of the store's clock, which all VMs know, and each belongs to one VM. So the VMs keep to the
/// limit without communicating, whatever their number and the demand at each of them.
struct PermitSchedule {
    std::uint64_t server = 0; ///< Hash of the instance.
    double requestsPerSecond = 0; ///< The limit, for all VMs together.
    std::optional<std::int64_t> lastCollected; ///< Number of the last permit that collectPermits() considered; empty: none yet.
    std::deque<Duration> permits; ///< Issue times of this VM's unused permits by the store's clock, oldest first.
};

} // namespace cardamomlift::serverlimits
