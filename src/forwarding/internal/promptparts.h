#pragma once

#include "forwarding/wireformat.h"

#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace cardamomlift::forwarding {

/// The keys of the parts that other requests may share, each once: all of @p prompt but the last, which belongs to the request or its session.
std::vector<std::uint64_t> sharedParts(std::span<const PromptPart> prompt);

/// The first of @p parts in hexadecimal, as callers write them, for the log.
std::string formatParts(std::span<const std::uint64_t> parts);

} // namespace cardamomlift::forwarding
