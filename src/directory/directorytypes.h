#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"

#include <optional>
#include <string>

namespace cardamomlift::directory {

/// What the platform's list says of a backend server.
enum class ServerState { Ready, Draining };

/// One life of a backend server. The instance is its identity; its address may belong to another server later.
struct BackendServer {
    std::string instance;
    std::string service;
    http1::Endpoint endpoint;
    std::string zone; ///< The failure domain.
    int slots = 1; ///< Requests that run at once.
    ServerState state = ServerState::Ready;
    bool isReclaimable = false;
    std::optional<TimePoint> endsAt; ///< When a reclaim takes it away, if that is known.
    std::optional<TimePoint> coldUntil; ///< It works slowly until then.
};

} // namespace cardamomlift::directory
