#pragma once

#include "forwarding/wireformat.h"
#include "prefixindex/prefixindextypes.h"

#include <span>
#include <vector>

namespace cardamomlift::prefixindex {

/// The prefixes of @p prompt, shortest first. The last part belongs to one request or session alone and is left out. The
/// hashes are the same on all VMs.
std::vector<Prefix> prefixesOf(std::span<const forwarding::PromptPart> prompt);

} // namespace cardamomlift::prefixindex
