#pragma once

#include "presence/presencetypes.h"

namespace cardamomlift::presence {

/// A status with what is meant for one receiver only.
struct StatusMessage {
    Status status;
    std::uint64_t echo = 0; ///< The receiver's newest sequence that the sender has seen; 0: none.
};

std::string encodeStatus(const StatusMessage &message);
/// Empty if @p bytes are no status.
std::optional<StatusMessage> decodeStatus(std::string_view bytes);

} // namespace cardamomlift::presence
