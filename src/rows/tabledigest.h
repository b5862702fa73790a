#pragma once

#include "rows/rowtypes.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace cardamomlift::rows {

/// Stands for all rows of a table at a version: VMs that know the same rows at the same version have the same one.
class TableDigest
{
public:
    /// The table holds just these rows. @p upTo: the newest version that they may be of; they were read in several pages.
    void replaceAll(std::span<const Row> rows, StoreVersion upTo);
    void take(std::span<const Row> changes);
    /// Empty if rows of a later version than @p version are among those taken, and others of that time may not be.
    std::optional<std::uint64_t> at(StoreVersion version) const;

private:
    void add(const Row &row);
    std::unordered_map<std::string, std::uint64_t> versions_; ///< Numbers of the rows' versions, by key.
    std::uint64_t sum_ = 0;
    StoreVersion newest_; ///< Of all that was taken.
};

} // namespace cardamomlift::rows
