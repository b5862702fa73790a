#include "rows/rowtypes.h"

#include <algorithm>

namespace cardamomlift::rows {

std::string_view readReasonName(ReadReason reason)
{
    switch (reason) {
    case ReadReason::First:
        return "first";
    case ReadReason::HistoryLost:
        return "history_lost";
    case ReadReason::StoreRestored:
        return "store_restored";
    case ReadReason::Diverged:
        return "diverged";
    }
    return "first";
}

bool isOutdated(std::span<const RowWrite> writes, std::uint64_t era)
{
    return std::any_of(writes.begin(), writes.end(), [era](const RowWrite &write) {
        return write.isConditional && write.expectedVersion.number != 0 && write.expectedVersion.era < era;
    });
}

} // namespace cardamomlift::rows
