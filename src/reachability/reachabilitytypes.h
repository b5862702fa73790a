#pragma once

#include "http1/http1types.h"

#include <cstddef>
#include <string>

namespace cardamomlift::reachability {

/// Whether this VM can open connections to backend servers.
enum class State {
    Reachable,
    Doubtful, ///< Connections have failed; it is being found out whether any server can be reached.
    Unreachable, ///< Connections fail at every server that is tried.
    Recovering, ///< A connection has been established again; requests return to it by degrees.
};

/// A backend server to which a connection can be opened to see whether it is reached.
struct ProbeTarget {
    std::string instance;
    std::string service; ///< The service or model that it serves.
    std::string zone; ///< Its failure domain.
    http1::Endpoint endpoint;
};

/// Attempts to connect to backend servers since the last one that succeeded.
struct Evidence {
    std::size_t failedServers = 0; ///< Servers to which no connection could be established.
    std::size_t listedServers = 0; ///< Servers that accept new requests.
    bool isProbing = false; ///< The outcome of some attempts is not known yet.
};

} // namespace cardamomlift::reachability
