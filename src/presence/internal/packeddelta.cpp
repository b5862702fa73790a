#include "presence/packeddelta.h"

#include "presence/statusformat.h"

#include <algorithm>
#include <iterator>
#include <vector>

namespace cardamomlift::presence {

namespace {

/// Maximum size of the packed changes of one table in a datagram, in bytes. A VM sends them to about thirty others at once,
/// and the slowest links carry a megabyte a second. The server entries of a failure domain fit; a large manifest does not, and
/// is read from the store. With 8,000 bytes, a new manifest kept the links of such VMs busy for 1.6 s.
constexpr std::size_t MaxPackedSize = 2500;

} // namespace

std::optional<PackedDelta> packDeltaSince(const rows::TableDelta &delta, rows::StoreVersion knownVersion)
{
    // A receiver in another era can't apply a delta; it reads the tables anew.
    if (knownVersion.era != delta.version.era || delta.since > knownVersion) {
        return std::nullopt;
    }
    std::vector<rows::Row> missed;
    std::copy_if(
        delta.changes.begin(), delta.changes.end(), std::back_inserter(missed), [knownVersion](const rows::Row &row) { return row.version > knownVersion; });
    std::string packed = packChanges(missed);
    if (packed.empty() || packed.size() > MaxPackedSize) {
        return std::nullopt;
    }
    return PackedDelta{knownVersion, delta.version, std::move(packed), delta.digest};
}

} // namespace cardamomlift::presence
