#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>

namespace cardamomlift::outliers {

/// Outcomes of the requests that one VM sent to a backend server, with exponential decay.
struct OutcomeCounts {
    double answered = 0; ///< Decayed count, as of updatedAt.
    double failed = 0; ///< Decayed count of failures of all kinds: server errors, broken answers, time-outs, no connection.
    TimePoint updatedAt;
    int consecutiveFailures = 0; ///< Requests without an answer since the last answer; a server error is an answer.
    std::optional<TimePoint> lastFailedAt; ///< When the last of the consecutive failures occurred.
    std::optional<TimePoint> lastAnsweredAt; ///< When the last answer arrived, including server errors.
};

/// How a request to a backend server ended.
enum class Ending {
    Answered,
    ServerError, ///< The server answered with an error.
    NoAnswer, ///< No connection, a broken answer or a time-out.
};

} // namespace cardamomlift::outliers
