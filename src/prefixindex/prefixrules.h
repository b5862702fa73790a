#pragma once

#include "forwarding/wireformat.h"
#include "prefixindex/prefixindextypes.h"

#include <span>
#include <vector>

namespace cardamomlift::prefixindex {

/// The prefixes of @p prompt, shortest first. The last part belongs to one request or session alone and is left out. The
/// hashes are the same on all VMs.
std::vector<Prefix> prefixesOf(std::span<const forwarding::PromptPart> prompt);

/// What the server with the hash @p server keeps; @p matches are in order of the hashes.
std::int64_t matchedTokens(std::span<const PrefixMatch> matches, std::uint64_t server);

} // namespace cardamomlift::prefixindex
