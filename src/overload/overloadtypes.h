#pragma once

#include "kernel/clock.h"

#include <cstddef>
#include <cstdint>

namespace cardamomlift::overload {

/// What this VM believes that a server, which crashes when it must refuse too many requests within a second, can run at once.
struct ServerCapacity {
    double slots = 1; ///< Requests of all VMs together.
    double maxSlots = 1; ///< As listed, less a reserve.
    TimePoint updatedAt;
    TimePoint pausedUntil; ///< No request is sent before.
};

/// A span of the store's clock, which all VMs know, in which each slot of a server belongs to one VM.
struct Turn {
    std::int64_t number = 0;
    Duration left{0}; ///< Until the next one begins.
};

/// What bounds the refusals of one server.
struct RefusalBound {
    int perSecond = 0; ///< The server crashes when it must refuse more than this within a second, from all VMs together.
    std::size_t vms = 1; ///< VMs that send to it.
};

} // namespace cardamomlift::overload
