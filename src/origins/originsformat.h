#pragma once

#include "origins/originstypes.h"

#include <optional>
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
};

std::string encodeMessage(const OriginMessage &message);
/// Empty if @p bytes are no such message.
std::optional<OriginMessage> decodeMessage(std::string_view bytes);

} // namespace cardamomlift::origins
