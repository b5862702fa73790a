#pragma once

#include "relay/relaytypes.h"

#include <optional>
#include <string_view>

namespace cardamomlift::relay {

/// The header field of requests that one entry VM hands over to another, and of the answers to them.
inline constexpr std::string_view RelayHeader = "Cardamomlift-Relay";
/// Its value in answers of a VM that can't serve the request.
inline constexpr std::string_view UnavailableMark = "unavailable";

/// Adds @p fields to a request for another entry VM. Fields of that name that a caller has set are replaced.
void writeRelayFields(const RelayFields &fields, http1::RequestHead &head);
/// The fields of a request that another entry VM hands over; empty if they are missing or can't be parsed.
std::optional<RelayFields> readRelayFields(const http1::RequestHead &head);
/// Removes the fields, so that they do not reach a backend server.
void removeRelayFields(http1::RequestHead &head);

/// Marks an answer: the request has not run, as this VM can't serve it, and another one may.
void markUnavailable(http1::ResponseHead &head);
bool isUnavailable(const http1::ResponseHead &head);
/// Removes the mark, so that it does not reach a caller.
void removeMark(http1::ResponseHead &head);

} // namespace cardamomlift::relay
