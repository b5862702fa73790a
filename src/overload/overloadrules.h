#pragma once

#include "overload/overloadtypes.h"

#include <span>

namespace cardamomlift::overload {

ServerCapacity initialCapacity(int slots, TimePoint now);
/// Reduces @p capacity to that of a server that has just started, or come back.
void restart(ServerCapacity &capacity);
/// Raises the capacity slowly, up to its maximum.
void grow(ServerCapacity &capacity, TimePoint now);
/// How long a VM sends nothing to a server that has refused a request of it: so long that the refusals of all VMs stay within the bound
/// even if each VM gets one after each pause.
Duration pauseAfterRefusal(const RefusalBound &bound);
/// The server has refused a request of this VM.
void noteRefused(ServerCapacity &capacity, const RefusalBound &bound, TimePoint now);
/// The server could not be reached, or has broken a connection.
void noteDown(ServerCapacity &capacity, TimePoint now);

/// The length of a turn: several requests of @p serviceTime. VMs that have measured somewhat different times get the same length.
Duration turnLength(Duration serviceTime);
Turn turnAt(Duration storeTime, Duration length);
/// Returns how many of the first @p slots of @p server belong to the VM @p ownHash in the turn @p number. @p vms: hashes of the names of
/// all VMs. All VMs agree on the owner of a slot, so that together they never use more than there are.
int ownedSlots(std::span<const std::uint64_t> vms, std::uint64_t ownHash, std::uint64_t server, int slots, std::int64_t number);
/// Whether a request that takes @p serviceTime may still start in @p turn: it should end before another VM owns its slot.
bool mayStart(const Turn &turn, Duration serviceTime);

} // namespace cardamomlift::overload
