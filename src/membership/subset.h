#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// Backend servers one entry VM uses of each model or service.
inline constexpr std::size_t SubsetSize = 16;

/// Entry VMs that use each backend server, so that an entry VM has about @p size of them; at least 3, at most all.
std::size_t entriesPerServer(std::size_t servers, std::size_t entries, std::size_t size);

/// The backend servers that entry VM @p self uses, of those in @p servers, sorted.
///
/// Each server picks its users by rendezvous hashing among the entry VMs that have room left, so that each server has the same
/// number of users and no entry VM has many more servers than another. All entry VMs compute the same from the same list. An
/// entry VM that was picked by fewer than half of @p size servers adds its own picks.
std::vector<std::string> chooseSubset(
    std::span<const std::string> servers, std::span<const std::string> entries, const std::string &self, std::size_t size = SubsetSize);

} // namespace cardamomlift::membership
