#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>

namespace cardamomlift::outliers {

/// What the requests sent to one backend server came to, as one VM has seen it. Older ones count less.
struct OutcomeCounts {
    double answered = 0; ///< Decayed counts, as of updatedAt.
    double failed = 0; ///< Of all kinds: server errors, broken answers, silence, no connection.
    TimePoint updatedAt;
    int failedInARow = 0; ///< Without a sign of life between; server errors are one.
    std::optional<TimePoint> lastFailedAt; ///< Of those in a row.
    std::optional<TimePoint> lastAnsweredAt; ///< Any answer, an error too.
};

/// How a request to a backend server ended.
enum class Ending {
    Answered,
    ServerError, ///< The server answered that it failed.
    NoAnswer, ///< No connection, a broken answer, or silence.
};

} // namespace cardamomlift::outliers
