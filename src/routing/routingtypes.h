#pragma once

#include "kernel/clock.h"
#include "membership/membershiptypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace cardamomlift::routing {

/// What weighs more for a request: the time to its first token, or what it costs.
enum class Urgency {
    Urgent, ///< Latency only; price does not count.
    Normal,
    Deferrable, ///< Price and recomputed tokens weigh more than waiting.
};

/// What one request asks of routing.
struct RouteCriteria {
    membership::VmRole role = membership::VmRole::Model;
    std::string name; ///< Of the model or service.
    std::string customer;
    std::uint64_t prefixHash = 0; ///< Of the start of the prompt; 0: no affinity.
    std::vector<std::string> exclude; ///< Instances not to choose: already tried.
    std::int64_t promptTokens = 0; ///< Estimate; what a server without the prefix in its cache computes.
    Urgency urgency = Urgency::Normal;
    std::vector<std::string> avoidZones; ///< Zones where an attempt of this request just failed.
    std::vector<std::string> serversWithSuspects; ///< Instances where a request runs that is suspected of crashing servers.
    bool preferIdleServer = false; ///< The request is suspected of crashing servers: prefer an empty one.
};

/// A server's own report of its load. It is some seconds old when it is used.
struct LoadReport {
    std::uint32_t running = 0; ///< Requests in the batch.
    std::uint32_t waiting = 0; ///< Requests that wait for room in the batch.
    double cacheUsed = 0; ///< Share of the KV cache in use, 0 to 1.
};

/// All that is weighed about one server for one request.
struct Candidate {
    std::string_view zone;
    std::int64_t microsPerHour = 0;
    std::uint32_t inFlight = 0; ///< Of this VM; exact.
    std::uint32_t customerInFlight = 0; ///< Of this VM and this customer; exact.
    double recentStarts = 0; ///< Of this VM, too recent to be in the report; fades with the report's lag.
    double fleetStartsPerLocalStart = 1; ///< Recent starts of all VMs that one of ours stands for; see startsPerOwn().
    std::optional<LoadReport> report;
    double cachedShare = 0; ///< Estimate of the prompt's share in the server's prefix cache, 0 to 1.
    bool hostsSuspect = false; ///< See RouteQuestion::suspectServers.
    bool excluded = false; ///< Tried.
    bool failedRecently = false; ///< A connection failed a moment ago.
};

/// How one attempt at a backend server ended, as routing needs to know it.
enum class AttemptEnd {
    Answered,
    Refused, ///< Overloaded or leaving: it ran nothing.
    Failed, ///< Broken connection, timeout, server error.
    Cancelled,
};

} // namespace cardamomlift::routing
