#include "gateway/callererrors.h"

#include "http/json.h"

namespace cardamomlift::gateway {

namespace {

using metrics::RefusalReason;

std::string_view errorType(int status)
{
    if (status == 401) {
        return "authentication_error";
    }
    if (status == 429) {
        return "rate_limit_error";
    }
    return status < 500 ? "invalid_request_error" : "server_error";
}

} // namespace

int statusOf(RefusalReason reason)
{
    switch (reason) {
    case RefusalReason::BadJson:
    case RefusalReason::BadField:
    case RefusalReason::MissingIdempotencyKey:
        return 400;
    case RefusalReason::MissingCredential:
    case RefusalReason::UnknownCredential:
        return 401;
    case RefusalReason::UnknownPath:
    case RefusalReason::UnknownModel:
    case RefusalReason::UnknownService:
    case RefusalReason::UnknownRequest:
        return 404;
    case RefusalReason::SlowSender:
        return 408;
    case RefusalReason::StillRunning:
        return 409;
    case RefusalReason::BodyTooLarge:
        return 413;
    case RefusalReason::IdempotencyKeyReused:
    case RefusalReason::CrashesServers:
        return 422;
    case RefusalReason::HeaderTooLarge:
        return 431;
    case RefusalReason::TooManyRequests:
    case RefusalReason::TooManyOpen:
    case RefusalReason::TokenLimit:
    case RefusalReason::SpendingBound:
        return 429;
    case RefusalReason::OutcomeUnknown:
        return 502;
    case RefusalReason::DeadlineImpossible:
    case RefusalReason::Overloaded:
    case RefusalReason::NoBackend:
    case RefusalReason::RetriesExhausted:
    case RefusalReason::TableDown:
    case RefusalReason::NotReady:
    case RefusalReason::Draining:
    case RefusalReason::Count:
        return 503;
    }
    return 503;
}

http::Response errorResponse(const CallerError &error)
{
    const int status = statusOf(error.reason);
    Json::Value body;
    body["error"]["message"] = error.message;
    body["error"]["type"] = std::string(errorType(status));
    body["error"]["code"] = std::string(metrics::reasonName(error.reason));
    http::Response response = http::jsonResponse(status, body);
    response.headers["Cardamomlift-Outcome"] = error.outcome == ErrorOutcome::NotRun ? "not-run" : "unknown";
    if (error.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(error.retryAfter).count();
        response.headers["Retry-After"] = std::to_string(seconds);
    }
    return response;
}

} // namespace cardamomlift::gateway
