#pragma once

#include "forwarding/wireformat.h"
#include "prefixindex/prefixindextypes.h"

#include <span>
#include <vector>

namespace cardamomlift::prefixindex {

/// Returns the prefixes of @p prompt, shortest first, without its last part, which belongs to a single request or session. The
/// hashes are the same on all VMs.
std::vector<Prefix> prefixesOf(std::span<const forwarding::PromptPart> prompt);

/// Returns the cached tokens at the server with the hash @p server, 0 if it is not in @p matches, which are sorted by hash.
std::int64_t matchedTokens(std::span<const PrefixMatch> matches, std::uint64_t server);

} // namespace cardamomlift::prefixindex
