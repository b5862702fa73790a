#include "rows/rowtypes.h"

namespace cardamomlift::rows {

std::string_view readReasonName(ReadReason reason)
{
    switch (reason) {
    case ReadReason::First:
        return "first";
    case ReadReason::HistoryLost:
        return "history_lost";
    }
    return "first";
}

} // namespace cardamomlift::rows
