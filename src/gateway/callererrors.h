#pragma once

#include "http/httptypes.h"
#include "kernel/clock.h"
#include "metrics/reasons.h"

#include <string>

namespace cardamomlift::gateway {

/// What the caller may rely on after an error; sent as the header "Cardamomlift-Outcome".
enum class ErrorOutcome {
    NotRun, ///< Nothing was run for this request and nothing will be.
    Unknown, ///< It may have run.
};

/// A refusal or failure as the caller gets it.
struct CallerError {
    metrics::RefusalReason reason = metrics::RefusalReason::Overloaded;
    std::string message;
    Duration retryAfter{0}; ///< When to come back; 0: a repeat does not help.
    ErrorOutcome outcome = ErrorOutcome::NotRun;
};

/// The HTTP status of a refusal.
int statusOf(metrics::RefusalReason reason);

/// {"error":{"message":…,"type":…,"code":…}} with Retry-After (whole seconds, rounded up) when a repeat may help.
http::Response errorResponse(const CallerError &error);

} // namespace cardamomlift::gateway
