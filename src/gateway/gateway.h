#pragma once

#include "gateway/chathandler.h"
#include "gateway/gatewaytypes.h"
#include "gateway/peerrelay.h"
#include "gateway/resumehandler.h"
#include "gateway/servicehandler.h"

#include <memory>

namespace cardamomlift::gateway {

/// Serves the callers' port: authenticates requests by API key and dispatches them to the handlers.
class Gateway
{
public:
    static Result<std::shared_ptr<Gateway>> create(GatewayTools tools, http::ServerOptions options, std::shared_ptr<clientbudget::ClientBudget> budget);

    std::uint16_t port() const;
    void stopListening();
    /// Fails the open chat requests that can't be resumed on another VM, with the outcome "unknown".
    void failOpenRequests();
    std::size_t openRequests() const;

private:
    Gateway() = default;
    void onRequest(http::Request request, std::shared_ptr<http::Responder> responder);
    void refuse(const std::shared_ptr<http::Responder> &responder, const CallerError &error, bool isRelayed = false);
    GatewayTools tools_;
    std::unique_ptr<ChatHandler> chat_;
    std::unique_ptr<ResumeHandler> resume_;
    std::unique_ptr<ServiceHandler> services_;
    std::unique_ptr<PeerRelay> relay_;
    std::unique_ptr<http::Server> server_; ///< Last, so that it is destroyed first: it calls the handlers above.
};

} // namespace cardamomlift::gateway
