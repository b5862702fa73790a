#include "standinkit/outputtoken.h"

#include "text/digest.h"

#include <fmt/format.h>

namespace cardamomlift::standinkit {

namespace {

constexpr std::uint64_t Words = 100000;

} // namespace

std::string outputToken(std::string_view messagesJson, std::uint64_t seed, std::uint64_t position)
{
    const std::uint64_t hash = text::stableHash(messagesJson, seed + position * 0x9e3779b97f4a7c15ULL);
    return fmt::format(" w{}", hash % Words);
}

} // namespace cardamomlift::standinkit
