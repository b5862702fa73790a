#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace cardamomlift::serverlimits {

/// One VM's books on one server that has named a limit. The requests that the server takes from all VMs are turns: they come
/// at even intervals of the store's clock, which all VMs know, and each belongs to one VM. So the VMs hold to the limit without
/// a word between them, however many they are and whatever is asked of each.
struct TurnBook {
    std::uint64_t server = 0; ///< Hash of the instance.
    double perSecond = 0; ///< Turns of all VMs.
    std::optional<std::int64_t> seen; ///< The newest turn that was looked at; empty: none yet.
    std::deque<Duration> own; ///< When this VM's turns came that it has not used, by the store's clock; oldest first.
};

} // namespace cardamomlift::serverlimits
