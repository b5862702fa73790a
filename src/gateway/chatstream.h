#pragma once

#include "gateway/callererrors.h"
#include "gateway/gatewaytypes.h"
#include "streams/streamsession.h"

#include <functional>
#include <memory>

namespace cardamomlift::gateway {

/// Headers of every answer: the request's id, and which VM and which backend server gave it.
void addServedBy(http::Headers &headers, const std::string &instance, const streams::StreamState &state);

CallerError toCallerError(const streams::StreamFailure &failure);

/// Counts a refusal and answers it.
void refuse(const GatewayTools &tools, const std::shared_ptr<http::Responder> &responder, const CallerError &error);

/// Sends the answer of @p session from token @p position on as server-sent events. The status 200 goes out with the first
/// event. A caller who goes away or does not read leaves the request to be resumed. @p onToken is called with each token.
void streamTo(const GatewayTools &tools,
    const std::shared_ptr<streams::StreamSession> &session,
    const std::shared_ptr<http::Responder> &responder,
    std::uint64_t position,
    std::function<void()> onToken = {});

} // namespace cardamomlift::gateway
