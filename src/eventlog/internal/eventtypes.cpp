#include "eventlog/eventtypes.h"

#include <array>

namespace cardamomlift::eventlog {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(Event::Count)> EventNames{"started",
    "stopping",
    "stopped",
    "reloaded",
    "reload_failed",
    "request_dispatched",
    "request_answered",
    "request_refused",
    "request_failed",
    "request_gone",
    "request_unreadable",
    "attempt_failed",
    "stream_moved",
    "allowance_used_up",
    "manifest_in_force",
    "manifest_rejected",
    "server_known",
    "server_leaving",
    "server_unreadable",
    "server_avoided",
    "server_trusted",
    "server_silent",
    "server_backoff",
    "servers_unreachable",
    "servers_reachable",
    "server_limited",
    "server_crash_suspected",
    "server_crash_confirmed",
    "server_crash_retracted",
    "request_blocked",
    "table_read",
    "store_restored",
    "store_lost",
    "store_regained",
    "peer_lost",
    "peer_regained",
    "peers_regrouped",
    "lease_taken",
    "lease_lost",
    "usage_reported",
    "order_sent",
    "order_refused",
    "rollout_ordered",
    "rollout_phase",
    "rollout_paused",
    "rollout_step",
    "rollout_unreadable",
    "suspended"};

constexpr std::array<std::string_view, static_cast<std::size_t>(Attribute::Last)> AttributeNames{"request",
    "route",
    "customer",
    "service",
    "server",
    "zone",
    "status",
    "reason",
    "outcome",
    "attempt",
    "age_ms",
    "version",
    "wait_ms",
    "took_ms",
    "first_event_ms",
    "left_ms",
    "retry_after_ms",
    "open",
    "tokens",
    "events",
    "fence",
    "window",
    "wanted",
    "present",
    "holder",
    "dropped",
    "answered",
    "failed",
    "report_age_ms",
    "reported",
    "candidates",
    "outliers",
    "in_a_row",
    "cached",
    "to_read",
    "waiting_tokens",
    "source",
    "left",
    "software",
    "order",
    "expected",
    "score",
    "limit_per_s",
    "here_per_s",
    "elsewhere_per_s",
    "limit",
    "table",
    "era",
    "list_version",
    "list_age_ms",
    "backing_off",
    "deferred",
    "limited",
    "fingerprint",
    "retries_left",
    "count"};

} // namespace

std::string_view eventName(Event event)
{
    return EventNames[static_cast<std::size_t>(event)];
}

std::string_view attributeName(Attribute attribute)
{
    return AttributeNames[static_cast<std::size_t>(attribute)];
}

} // namespace cardamomlift::eventlog
