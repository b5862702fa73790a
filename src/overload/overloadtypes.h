#pragma once

#include "kernel/clock.h"

#include <cstddef>

namespace cardamomlift::overload {

/// This VM's pace of requests to one server that crashes when it must refuse too many within a second.
struct ServerPace {
    double requestsPerSecond = 0; ///< What the server is believed to sustain, from all VMs together.
    double maxRequestsPerSecond = 0; ///< What its slots allow.
    double tokens = 1; ///< Requests that this VM may send now.
    TimePoint updatedAt;
    TimePoint pausedUntil; ///< No request is sent before.
};

/// What bounds the refusals of one server.
struct RefusalBound {
    int perSecond = 0; ///< The server crashes when it must refuse more than this within a second, from all VMs together.
    std::size_t vms = 1; ///< VMs that send to it.
};

} // namespace cardamomlift::overload
