#include "forwarding/forwardingtypes.h"

#include <array>

namespace cardamomlift::forwarding {

namespace {

constexpr std::array<std::string_view, static_cast<std::size_t>(FailureReason::Count)> ReasonNames{"no_manifest",
    "stale_keys",
    "no_route",
    "unknown_key",
    "over_allowance",
    "no_server",
    "servers_full",
    "servers_limited",
    "servers_backing_off",
    "retry_budget",
    "out_of_time",
    "attempts_used",
    "outcome_unknown",
    "stream_broken",
    "crashes_servers",
    "crash_cause_unknown",
    "draining",
    "cut_off",
    "origin_unknown",
    "origin_gone",
    "no_room",
    "manifest_behind"};

} // namespace

std::string_view reasonName(FailureReason reason)
{
    return ReasonNames[static_cast<std::size_t>(reason)];
}

} // namespace cardamomlift::forwarding
