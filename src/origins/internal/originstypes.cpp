#include "origins/originstypes.h"

#include <xxhash.h>

namespace cardamomlift::origins {

SoftwareId softwareId(std::string_view service, std::string_view version)
{
    const XXH64_hash_t serviceHash = XXH3_64bits(service.data(), service.size());
    return XXH3_64bits_withSeed(version.data(), version.size(), serviceHash);
}

} // namespace cardamomlift::origins
