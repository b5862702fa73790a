#include "backoff/retryafter.h"

#include <algorithm>
#include <charconv>

namespace cardamomlift::backoff {

namespace {

constexpr Duration MaxReturnSpread = std::chrono::seconds(1);

} // namespace

std::optional<Duration> parseRetryAfter(std::string_view text)
{
    double seconds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    const bool isComplete = error == std::errc() && end == text.data() + text.size();
    // NOTE The comparisons are false for NaN.
    if (!isComplete || !(seconds > 0 && seconds <= std::chrono::duration<double>(MaxBackoff).count())) {
        return std::nullopt;
    }
    return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

Duration retryAfterBackoff(Duration left, std::uint64_t salt)
{
    const auto spread = static_cast<std::uint64_t>(std::min(left / 2, MaxReturnSpread).count());
    return left + Duration(static_cast<std::int64_t>(salt % (spread + 1)));
}

} // namespace cardamomlift::backoff
