#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamomlift::backoff {

/// Longer times are taken for an error of the server, and ignored.
inline constexpr Duration MaxBackoff = std::chrono::hours(24);

/// Parses the Retry-After of a server that turns a request away: seconds, with fractions. Empty if @p text is anything else, not
/// positive, or longer than MaxBackoff.
std::optional<Duration> parseRetryAfter(std::string_view text);

/// Retry-After for a caller whose request no server accepts for another @p left: up to a second later than that, as callers that were
/// given the same time would return together. @p salt: differs between requests.
Duration retryAfterBackoff(Duration left, std::uint64_t salt);

} // namespace cardamomlift::backoff
