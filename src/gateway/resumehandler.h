#pragma once

#include "gateway/gatewaytypes.h"

#include <memory>

namespace cardamomlift::gateway {

/// Handles GET and DELETE /v1/requests/{id}: resumes or cancels a streamed request, which any entry VM may have accepted.
class ResumeHandler
{
public:
    static std::unique_ptr<ResumeHandler> create(GatewayTools tools);

    void handle(const CallerRequest &caller);

private:
    ResumeHandler() = default;
    void onFound(const CallerRequest &caller, std::uint64_t position, const streams::FindResult &result);
    GatewayTools tools_;
};

} // namespace cardamomlift::gateway
