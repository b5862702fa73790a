#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace cardamomlift::text {

/// SHA-256 in lower-case hex.
std::string sha256Hex(std::string_view data);

/// A fast hash that is the same on every VM (xxHash64); not for secrets.
std::uint64_t stableHash(std::string_view data, std::uint64_t seed = 0);

/// @p bytes random bytes in hex, from the operating system.
std::string randomHex(std::size_t bytes);

/// Compares two secrets in a time that does not depend on where they differ.
bool equalSecrets(std::string_view a, std::string_view b);

} // namespace cardamomlift::text
