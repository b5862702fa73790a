#pragma once

#include "gateway/callererrors.h"
#include "gateway/gatewaytypes.h"
#include "streams/streamsession.h"

#include <functional>
#include <memory>

namespace cardamomlift::gateway {

/// Adds the headers with the request id, this VM's instance name and the backend server of the last attempt.
void addServingHeaders(http::Headers &headers, const std::string &instance, const streams::StreamState &state);

CallerError toCallerError(const streams::StreamFailure &failure);

/// Counts the refusal and sends it as the response.
void refuse(const GatewayTools &tools, const std::shared_ptr<http::Responder> &responder, const CallerError &error);

/// Streams the tokens of @p session to the caller as server-sent events, starting at token @p position. Status 200 is sent
/// with the first event. If the caller disconnects or does not read, the request stays open and can be resumed. @p onToken is
/// called for each token.
void streamTo(const GatewayTools &tools,
    const std::shared_ptr<streams::StreamSession> &session,
    const std::shared_ptr<http::Responder> &responder,
    std::uint64_t position,
    std::function<void()> onToken = {});

} // namespace cardamomlift::gateway
