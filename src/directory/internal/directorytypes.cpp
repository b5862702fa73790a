#include "directory/directorytypes.h"

namespace cardamomlift::directory {

std::string instanceId(std::string_view name, std::optional<std::int64_t> startedAt)
{
    std::string identity(name);
    if (startedAt) {
        identity += '@';
        identity += std::to_string(*startedAt);
    }
    return identity;
}

} // namespace cardamomlift::directory
