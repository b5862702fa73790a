#include "presence/tabledelta.h"

#include "presence/statusformat.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace cardamomlift::presence {

namespace {

/// Packed changes of one table that a datagram may hold: a VM sends them to some thirty at once, and the smallest links
/// carry a megabyte a second. A failure domain's servers fit; a large manifest does not and is read from the store. With
/// 8,000 a new manifest kept the links of such VMs busy for 1.6 s.
constexpr std::size_t MostPacked = 2500;

} // namespace

std::optional<TableDelta> deltaSince(const rows::TableDelta &news, rows::StoreVersion has)
{
    // What a VM of another era lacks can't be told: it reads the tables anew.
    if (has.era != news.version.era || news.since > has) {
        return std::nullopt;
    }
    std::vector<rows::Row> missed;
    std::copy_if(news.changes.begin(), news.changes.end(), std::back_inserter(missed), [has](const rows::Row &row) { return row.version > has; });
    std::string packed = packChanges(missed);
    if (packed.empty() || packed.size() > MostPacked) {
        return std::nullopt;
    }
    return TableDelta{has, news.version, std::move(packed), news.digest};
}

} // namespace cardamomlift::presence
