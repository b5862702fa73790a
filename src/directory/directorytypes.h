#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"
#include "rows/rowtypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::directory {

/// What the platform's list says of a backend server.
enum class ServerState { Ready, Draining };

/// One start of a backend server. All that is believed of a server belongs to a start: its load, what its requests came to,
/// connections, what was tried. Its address may belong to another server later.
struct BackendServer {
    std::string instance; ///< Identity of this start, see instanceId().
    std::string name; ///< What it calls itself; a later start may bear the same name.
    std::optional<std::int64_t> startedAt; ///< Unix milliseconds by its own clock; empty if it does not say.
    std::string service;
    http1::Endpoint endpoint;
    std::string zone; ///< The failure domain.
    std::string version; ///< Of its software; empty if it does not say.
    rows::StoreVersion entryVersion; ///< Version of the store's row that says this: orders with a lower one came before.
    int slots = 1; ///< Requests that run at once.
    ServerState state = ServerState::Ready;
    bool isReclaimable = false;
    std::optional<TimePoint> endsAt; ///< When a reclaim takes it away, if that is known.
    std::optional<TimePoint> coldUntil; ///< It works slowly until then.
};

/// The identity of the start of the server @p name at @p startedAt; the name alone where the server gives no start.
std::string instanceId(std::string_view name, std::optional<std::int64_t> startedAt);

} // namespace cardamomlift::directory
