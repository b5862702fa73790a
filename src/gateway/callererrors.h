#pragma once

#include "http/httptypes.h"
#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <string>

namespace cardamomlift::gateway {

/// What an error response guarantees about the execution of the request; sent in the header "Cardamomlift-Outcome".
enum class ErrorOutcome {
    NotRun, ///< The request was not run and will not be.
    Unknown, ///< The request may have run.
};

/// A refusal or failure to be reported to the caller.
struct CallerError {
    metrics::RefusalReason reason = metrics::RefusalReason::Overloaded;
    std::string message;
    Duration retryAfter{0}; ///< When to retry; 0 if a retry does not help.
    ErrorOutcome outcome = ErrorOutcome::NotRun;
};

/// The HTTP status of a refusal.
int statusOf(metrics::RefusalReason reason);

/// A response with the body {"error":{"message":…,"type":…,"code":…}}, and with Retry-After (in seconds, rounded up) if a
/// retry may help.
http::Response errorResponse(const CallerError &error);

} // namespace cardamomlift::gateway
