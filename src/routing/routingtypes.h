#pragma once

#include "kernel/clock.h"
#include "membership/membershiptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::routing {

/// Whether a request favours a short time to the first token or a low price.
enum class Urgency {
    Urgent, ///< Only latency counts.
    Normal,
    Deferrable, ///< Price and recomputed tokens count more than waiting.
};

/// What the choice of a server for one request depends on.
struct RouteCriteria {
    membership::VmRole role = membership::VmRole::Model;
    std::string name; ///< Of the model or service.
    std::string customer;
    std::uint64_t prefixHash = 0; ///< Hash of the start of the prompt; 0: no affinity.
    std::vector<std::string> exclude; ///< Instances that were tried already and are not chosen again.
    std::int64_t promptTokens = 0; ///< Estimated; computed in full by a server that has not cached the prefix.
    Urgency urgency = Urgency::Normal;
    std::vector<std::string> avoidZones; ///< Zones where an attempt of this request has failed.
    std::vector<std::string> serversWithSuspects; ///< Instances that run a request suspected of crashing servers.
    bool preferIdleServer = false; ///< The request is suspected of crashing servers: prefer an idle one.
};

/// The load that a server reported. It is some seconds old when it is used.
struct LoadReport {
    std::uint32_t running = 0; ///< Requests in the batch.
    std::uint32_t waiting = 0; ///< Requests that wait to join the batch.
    double cacheUsed = 0; ///< Used share of the KV cache, 0 to 1.
};

/// All that the choice considers about one server for one request.
struct Candidate {
    std::string_view zone;
    std::int64_t microsPerHour = 0;
    std::uint32_t inFlight = 0; ///< Sent by this VM; exact.
    std::uint32_t customerInFlight = 0; ///< Sent by this VM for this customer; exact.
    double recentStarts = 0; ///< Requests sent by this VM, too recent for the report to include; decays with the lag of reports.
    double fleetStartsPerLocalStart = 1; ///< See the function of the same name.
    std::optional<LoadReport> report;
    double cachedShare = 0; ///< Estimated share of the prompt in the server's prefix cache, 0 to 1.
    bool hostsSuspect = false; ///< See RouteCriteria::serversWithSuspects.
    bool excluded = false; ///< Tried already.
    bool failedRecently = false; ///< Avoided after a failure, or unreachable.
};

/// How an attempt at a backend server ended, as far as it matters for routing.
enum class AttemptEnd {
    Answered,
    Refused, ///< The server is overloaded or leaving and did not run the request.
    Failed, ///< Broken connection, timeout or server error.
    Cancelled,
};

} // namespace cardamomlift::routing
