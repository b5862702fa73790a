#pragma once

#include "gateway/callererrors.h"
#include "gateway/chatrequest.h"
#include "gateway/gatewaytypes.h"
#include "streams/streamsession.h"

#include <memory>
#include <unordered_map>

namespace cardamomlift::gateway {

/// Answers POST /v1/chat/completions.
class ChatHandler
{
public:
    static std::unique_ptr<ChatHandler> create(GatewayTools tools);

    void handle(CallerRequest caller);
    std::size_t openSessions() const;

private:
    ChatHandler() = default;
    void refuse(const CallerRequest &caller, CallerError error);
    void start(const CallerRequest &caller,
        const ChatRequest &request,
        const contract::ModelGrant &grant,
        const contract::ServiceClass &serviceClass,
        std::uint64_t ticket);
    void stream(const CallerRequest &caller, const std::shared_ptr<streams::StreamSession> &session, std::uint64_t ticket);
    void collect(const CallerRequest &caller, const std::shared_ptr<streams::StreamSession> &session, std::uint64_t ticket);
    void countDemand(const streams::StreamState &state);
    std::string newRequestId();
    GatewayTools tools_;
    std::uint64_t nextNumber_ = 1;
    std::unordered_map<std::string, std::shared_ptr<streams::StreamSession>> sessions_;
};

} // namespace cardamomlift::gateway
