#pragma once

#include "relay/relaytypes.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace cardamomlift::relay {

/// Entry VMs that are asked to take over one request. Several may have been cut off together, before it is known of them.
inline constexpr std::size_t MaxRelays = 5;

/// Entry VMs that are asked for room at servers that limit the requests of each VM.
inline constexpr std::size_t MaxRelaysForRoom = 2;

/// Returns the index of the VM to hand a request over to: the one with the fewest open requests, where one in another failure domain
/// counts as somewhat busier. VMs that have heard from a server lately come first. @p salt breaks ties. Empty if there is no candidate.
std::optional<std::size_t> chooseRelay(std::span<const RelayCandidate> candidates, std::string_view zone, std::uint64_t salt);

} // namespace cardamomlift::relay
