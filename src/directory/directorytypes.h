#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"
#include "rows/rowtypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::directory {

/// State of a backend server according to its entry in the platform's list.
enum class ServerState { Ready, Draining };

/// One instance of a backend server: one run of its process. A server that is restarted under the same name is another
/// instance. All data about a server is kept per instance, such as its load, the outcomes of its requests, connections and
/// attempts, as its address may be used by another server later.
struct BackendServer {
    std::string instance; ///< Identity of the instance, see instanceId().
    std::string name; ///< Name given by the server itself; a later instance may have the same one.
    std::optional<std::int64_t> startedAt; ///< Start time in Unix milliseconds by the server's clock; empty if not given.
    std::string service;
    http1::Endpoint endpoint;
    std::string zone; ///< Its failure domain.
    std::string version; ///< Version of its software; empty if not given.
    rows::StoreVersion entryVersion; ///< Store version of the row of this entry. Rollout orders with a lower version are older.
    int slots = 1; ///< Number of requests that it runs concurrently.
    ServerState state = ServerState::Ready;
    bool isReclaimable = false;
    std::optional<TimePoint> endsAt; ///< When the cloud reclaims it, if known.
    std::optional<TimePoint> coldUntil; ///< Until then it is warming up and slow.
};

/// Identity of the instance of the server @p name that started at @p startedAt; the name alone if the start time is unknown.
std::string instanceId(std::string_view name, std::optional<std::int64_t> startedAt);

} // namespace cardamomlift::directory
