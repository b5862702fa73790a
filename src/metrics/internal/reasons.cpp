#include "metrics/reasons.h"

namespace cardamomlift::metrics {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(RefusalReason::Count)> RefusalNames{
    "bad_json",
    "bad_field",
    "body_too_large",
    "header_too_large",
    "slow_sender",
    "unknown_path",
    "missing_credential",
    "unknown_credential",
    "unknown_model",
    "unknown_service",
    "unknown_request",
    "missing_idempotency_key",
    "idempotency_key_reused",
    "still_running",
    "outcome_unknown",
    "too_many_requests",
    "too_many_open",
    "token_limit",
    "spending_bound",
    "deadline_impossible",
    "overloaded",
    "no_backend",
    "retries_exhausted",
    "crashes_servers",
    "table_down",
    "not_ready",
    "draining",
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RetryReason::Count)> RetryNames{
    "connect_failed",
    "server_refused",
    "server_failed",
    "stream_broken",
    "server_leaving",
    "server_silent",
    "server_slow",
    "table_conflict",
};

} // namespace

std::string_view reasonName(RefusalReason reason)
{
    return RefusalNames[static_cast<std::size_t>(reason)];
}

std::string_view reasonName(RetryReason reason)
{
    return RetryNames[static_cast<std::size_t>(reason)];
}

} // namespace cardamomlift::metrics
