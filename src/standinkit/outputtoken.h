#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::standinkit {

/// The stand-in engine's output token at @p position. It depends on nothing but these, so a test can tell the right
/// answer of any request.
std::string outputToken(std::string_view messagesJson, std::uint64_t seed, std::uint64_t position);

} // namespace cardamomlift::standinkit
