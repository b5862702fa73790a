#pragma once

#include "rows/rowtypes.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>

namespace cardamomlift::rows {

/// A digest of all rows of a table at a version: VMs that have the same rows at the same version have the same digest.
class TableDigest
{
public:
    /// Replaces all rows. @p upTo is the latest version that a row may have, as @p rows may have been read in several pages.
    void replaceAll(std::span<const Row> rows, StoreVersion upTo);
    void update(std::span<const Row> changes);
    /// The digest at @p version. Empty if rows of a later version may be included, as others of that version may be missing.
    std::optional<std::uint64_t> at(StoreVersion version) const;

private:
    void add(const Row &row);
    std::unordered_map<std::string, std::uint64_t> versions_; ///< Version numbers of the rows, by key.
    std::uint64_t sum_ = 0;
    StoreVersion newest_; ///< The latest version that an included row may have.
};

} // namespace cardamomlift::rows
