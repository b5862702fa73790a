#pragma once

#include "rows/rowtypes.h"

#include <optional>
#include <string>

namespace cardamomlift::presence {

/// All changes of a table after one version up to another, compressed. Both versions are fixed, so it stays correct and may be
/// reused with a later status that has the same table version.
struct PackedDelta {
    rows::StoreVersion since; ///< Version known to the receiver.
    rows::StoreVersion version; ///< Version that the receiver knows afterwards.
    std::string packed; ///< Result of packChanges().
    std::optional<std::uint64_t> digest; ///< Of the whole table at @c version.
};

/// Packs the changes for a VM that knows all changes up to @p knownVersion. Empty if @p delta lacks some of the later changes,
/// or if they are too large for a datagram.
std::optional<PackedDelta> packDeltaSince(const rows::TableDelta &delta, rows::StoreVersion knownVersion);

} // namespace cardamomlift::presence
