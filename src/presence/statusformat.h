#pragma once

#include "presence/packeddelta.h"
#include "presence/presencetypes.h"

#include <span>

namespace cardamomlift::presence {

/// A status as received, with the part that is addressed to a single receiver.
struct StatusMessage {
    Status status;
    std::uint64_t echo = 0; ///< The receiver's newest sequence that the sender has received; 0: none.
};

/// Serializes and compresses changes of rows. Entries of one table are similar, so they compress well. Empty on failure.
std::string packChanges(std::span<const rows::Row> changes);
/// Reverses packChanges(). @p era: the store's era in which the changes were read. Empty if @p packed is malformed or unpacks to
/// too much.
std::optional<std::vector<rows::Row>> unpackChanges(std::string_view packed, std::uint64_t era);

/// @p echo: the receiver's newest sequence that the sender has received; 0: none. @p deltas: by table, the changes to send with
/// the status. Tables that are not in it are sent without changes; the changes in @p status itself are not sent.
std::string encodeStatus(const Status &status, std::uint64_t echo, const std::map<std::string, PackedDelta> &deltas);
/// Empty if @p bytes are not a valid status.
std::optional<StatusMessage> decodeStatus(std::string_view bytes);

} // namespace cardamomlift::presence
