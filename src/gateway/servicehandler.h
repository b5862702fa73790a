#pragma once

#include "gateway/callererrors.h"
#include "gateway/gatewaytypes.h"

#include <memory>

namespace cardamomlift::gateway {

/// Handles calls to services other than models: /services/<service>/<path>.
class ServiceHandler
{
public:
    static std::unique_ptr<ServiceHandler> create(GatewayTools tools);

    void handle(CallerRequest caller);
    std::size_t openCalls() const;

private:
    struct Call;
    ServiceHandler() = default;
    void refuse(const std::shared_ptr<Call> &call, CallerError error);
    void begin(const std::shared_ptr<Call> &call);
    void onClaim(const std::shared_ptr<Call> &call, const claims::BeginResult &result);
    void replay(const std::shared_ptr<Call> &call, const claims::StoredResponse &stored);
    /// Ends a call that no server ran: withdraws its claim and refuses it.
    void refuseNotRun(const std::shared_ptr<Call> &call, const CallerError &error);
    void dispatch(const std::shared_ptr<Call> &call);
    void fail(const std::shared_ptr<Call> &call, CallerError error);
    void followPlan(const std::shared_ptr<Call> &call, const retry::AttemptPlan &plan);
    void onResponse(const std::shared_ptr<Call> &call, const membership::Vm &server, http::ClientResult result);
    void respond(const std::shared_ptr<Call> &call, const http::ClientResult &result, const std::string &server);
    void end(const std::shared_ptr<Call> &call, bool ran);
    GatewayTools tools_;
    std::size_t openCalls_ = 0;
};

} // namespace cardamomlift::gateway
