#include "rows/tabledigest.h"

#include <xxhash.h>

#include <algorithm>

namespace cardamomlift::rows {

namespace {

std::uint64_t hashOf(const std::string &key, std::uint64_t number)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), number);
}

} // namespace

void TableDigest::replaceAll(std::span<const Row> rows, StoreVersion upTo)
{
    versions_.clear();
    sum_ = 0;
    newest_ = upTo;
    for (const Row &row : rows) {
        add(row);
    }
}

void TableDigest::update(std::span<const Row> changes)
{
    for (const Row &row : changes) {
        add(row);
    }
}

// The digest is a sum of hashes, which does not depend on the order of the rows and from which a row can be subtracted.
void TableDigest::add(const Row &row)
{
    newest_ = std::max(newest_, row.version);
    if (const auto known = versions_.find(row.key); known != versions_.end()) {
        sum_ -= hashOf(row.key, known->second);
        versions_.erase(known);
    }
    if (!row.isDeleted) {
        sum_ += hashOf(row.key, row.version.number);
        versions_.emplace(row.key, row.version.number);
    }
}

std::optional<std::uint64_t> TableDigest::at(StoreVersion version) const
{
    return version >= newest_ ? std::optional(sum_) : std::nullopt;
}

} // namespace cardamomlift::rows
