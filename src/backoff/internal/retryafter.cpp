#include "backoff/retryafter.h"

#include <charconv>

namespace cardamomlift::backoff {

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

} // namespace cardamomlift::backoff
