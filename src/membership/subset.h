#pragma once

#include "membership/membershiptypes.h"

#include <span>
#include <string>
#include <vector>

namespace cardamomlift::membership {

/// Target number of backend servers that one entry VM uses of each model or service.
inline constexpr std::size_t SubsetSize = 16;

/// How many entry VMs should use each backend server, so that an entry VM uses about @p size servers: at least 3, at most
/// all of them.
std::size_t entriesPerServer(std::size_t servers, std::size_t entries, std::size_t size);

/// The subset of @p servers that entry VM @p self uses, sorted.
///
/// Each server is assigned the same number of entry VMs by rendezvous hashing, passing over entry VMs that have reached their
/// maximum number of servers, so that no entry VM has many more servers than another. All entry VMs compute the same
/// assignment from the same list. An entry VM assigned to fewer than half of @p size servers adds the servers that it ranks
/// highest itself. If there are at most @p size servers, the subset is all of them.
std::vector<std::string> chooseSubset(
    std::span<const std::string> servers, std::span<const std::string> entries, const std::string &self, std::size_t size = SubsetSize);

} // namespace cardamomlift::membership
