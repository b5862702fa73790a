#pragma once

#include "gateway/callererrors.h"
#include "gateway/chatrequest.h"
#include "gateway/gatewaytypes.h"
#include "streams/streamsession.h"

#include <memory>
#include <unordered_map>

namespace cardamomlift::gateway {

/// Handles POST /v1/chat/completions.
class ChatHandler
{
public:
    static std::unique_ptr<ChatHandler> create(GatewayTools tools);

    void handle(CallerRequest caller);
    std::size_t openSessions() const;
    /// Fails the open requests that are not streamed: unlike streams, no other VM can continue them.
    void failOpenRequests();

private:
    ChatHandler() = default;
    void refuse(const CallerRequest &caller, const CallerError &error);
    void start(const CallerRequest &caller,
        const ChatRequest &request,
        const contract::ModelGrant &grant,
        const contract::ServiceClass &serviceClass,
        TimePoint firstTokenDeadline,
        std::uint64_t ticket);
    void startStreamed(const CallerRequest &caller, streams::StreamState state, std::uint64_t ticket);
    void startUnstreamed(const CallerRequest &caller, streams::StreamState state, std::uint64_t ticket);
    void releaseTicketAtEnd(const std::shared_ptr<streams::StreamSession> &session, std::uint64_t ticket);
    void endRequest(const streams::StreamSession &session, std::uint64_t ticket);
    streams::StreamObserver completionObserver(const CallerRequest &caller, const streams::StreamSession &session, std::uint64_t ticket);
    GatewayTools tools_;
    std::unordered_map<std::string, std::shared_ptr<streams::StreamSession>> sessions_; ///< Not streamed; by request id.
};

} // namespace cardamomlift::gateway
