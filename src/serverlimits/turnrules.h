#pragma once

#include "serverlimits/serverlimittypes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cardamomlift::serverlimits {

/// How long a turn may be used. All turns that may be used at one time are ReservedRequests and a second's more, so that in any
/// four seconds a server gets less than one and a half times its limit and five requests more.
Duration turnLife(double perSecond);

/// The VM of @p vms (hashes of their names) that has turn @p number of @p server, the same on all VMs. When a VM joins it
/// takes over its part of the turns and no other changes hands.
std::uint64_t turnOwner(std::span<const std::uint64_t> vms, std::uint64_t server, std::int64_t number);

/// Another rate from @p storeNow on, or, if that is not known, from the next takeTurns() on. Turns that came before can still
/// be used.
void setRate(TurnBook &book, double perSecond, std::optional<Duration> storeNow);

/// Takes in the turns of the VM @p own that have come until @p storeNow, and drops those that are too old to be used.
void takeTurns(TurnBook &book, std::span<const std::uint64_t> vms, std::uint64_t own, Duration storeNow);

/// Uses up the oldest turn; without one it does nothing.
void useTurn(TurnBook &book);

} // namespace cardamomlift::serverlimits
