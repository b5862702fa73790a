#pragma once

#include "origins/originstypes.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::origins {

/// A datagram from one entry VM to another; see origins.proto.
struct OriginMessage {
    http1::Endpoint from; ///< Where the sender receives datagrams.
    std::vector<StreamOrigin> origins;
    std::vector<StreamId> asked;
    std::vector<StreamId> unknown;
    std::vector<StreamOrigin> toStore; ///< For the receiver to write to the store.
};

std::string encodeMessage(const OriginMessage &message);
/// Empty if @p bytes are no such message.
std::optional<OriginMessage> decodeMessage(std::string_view bytes);

/// The value of a row of the store that holds origins.
std::string encodeOrigins(std::span<const StreamOrigin> origins);
/// None if @p bytes can't be parsed.
std::vector<StreamOrigin> decodeOrigins(std::string_view bytes);

} // namespace cardamomlift::origins
