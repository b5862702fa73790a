#pragma once

#include "rows/rowtypes.h"

#include <optional>
#include <string>

namespace cardamomlift::presence {

/// All changes of a table that came after one version, up to another. That stays true, so it may be kept and told beside a
/// later status of the same version.
struct TableDelta {
    rows::StoreVersion since;
    rows::StoreVersion version;
    std::string packed; ///< By packChanges().
    std::optional<std::uint64_t> digest; ///< Of the whole table at @c version.
};

/// What a VM is to be told that knows all changes up to @p has. Empty if @p news does not hold all that came after, or if
/// they are too large for a datagram.
std::optional<TableDelta> deltaSince(const rows::TableDelta &news, rows::StoreVersion has);

} // namespace cardamomlift::presence
