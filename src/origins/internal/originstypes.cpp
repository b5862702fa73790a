#include "origins/originstypes.h"

#include <xxhash.h>

#include <array>

namespace cardamomlift::origins {

namespace {

constexpr std::array<std::string_view, 6> SourceNames{"own", "peer", "only_version", "store", "unknown", "unanswered"};

/// A hash of two texts in which their border counts.
std::uint64_t pairHash(std::string_view first, std::string_view second)
{
    return XXH3_64bits_withSeed(second.data(), second.size(), XXH3_64bits(first.data(), first.size()));
}

} // namespace

SoftwareId softwareId(std::string_view service, std::string_view version)
{
    return pairHash(service, version);
}

StreamId streamId(std::string_view customer, std::string_view request)
{
    return pairHash(customer, request);
}

std::string_view originSourceName(OriginSource source)
{
    return SourceNames[static_cast<std::size_t>(source)];
}

} // namespace cardamomlift::origins
