#pragma once

#include "presence/packeddelta.h"
#include "presence/presencetypes.h"

#include <span>

namespace cardamomlift::presence {

/// A status as it came, with what is meant for one receiver only.
struct StatusMessage {
    Status status;
    std::uint64_t echo = 0; ///< The receiver's newest sequence that the sender has seen; 0: none.
};

/// Changes of rows in few bytes: entries of one table are much alike.
std::string packChanges(std::span<const rows::Row> changes);
/// @p era: of the store when they were read. Empty if @p packed is no such text.
std::optional<std::vector<rows::Row>> unpackChanges(std::string_view packed, std::uint64_t era);

/// @p echo: the receiver's newest sequence that the sender has seen; 0: none. @p told: the changes of each table that go with
/// the status; a table that is missing there has none to tell. The changes in the status itself are left out.
std::string encodeStatus(const Status &status, std::uint64_t echo, const std::map<std::string, PackedDelta> &deltas);
/// Empty if @p bytes are no status.
std::optional<StatusMessage> decodeStatus(std::string_view bytes);

} // namespace cardamomlift::presence
