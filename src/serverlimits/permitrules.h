#pragma once

#include "serverlimits/serverlimittypes.h"

#include <cstdint>
#include <optional>
#include <span>

namespace cardamomlift::serverlimits {

/// Returns how long a permit can be used. The permits that can be used at any time are BurstRequests plus those of one second, so
/// that in any four seconds a server gets less than one and a half times its limit plus five requests.
Duration permitLifetime(double requestsPerSecond);

/// Returns the VM of @p vms (hashes of their names) that owns permit @p number of @p server, by rendezvous hashing, so all VMs
/// agree on it. A VM that joins takes over its share of the permits; no other permit changes its owner.
std::uint64_t permitOwner(std::span<const std::uint64_t> vms, std::uint64_t server, std::int64_t number);

/// Sets the rate from @p storeNow on or, if that is not known, from the next collectPermits() on. Permits issued before can
/// still be used.
void setRate(PermitSchedule &schedule, double requestsPerSecond, std::optional<Duration> storeNow);

/// Adds the permits issued to the VM @p ownHash up to @p storeNow and removes expired ones.
void collectPermits(PermitSchedule &schedule, std::span<const std::uint64_t> vms, std::uint64_t ownHash, Duration storeNow);

/// Uses the oldest permit, if there is one.
void usePermit(PermitSchedule &schedule);

} // namespace cardamomlift::serverlimits
