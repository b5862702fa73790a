#pragma once

#include "http1/http1types.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace cardamomlift::relay {

/// Another entry VM that can be asked to take a request over.
struct RelayPeer {
    std::string instance;
    std::string zone; ///< Its failure domain.
    http1::Endpoint endpoint; ///< Where it takes requests of other VMs.
};

/// What is known of such a VM, from its statuses.
struct RelayCandidate {
    RelayPeer peer;
    double openRequests = 0; ///< Requests in progress there.
    int openRelays = 0; ///< Requests of this VM among them that were handed over.
    std::optional<Duration> sinceServerContact; ///< Time since it last heard from a backend server; empty if not known.
    bool lacksRoom = false; ///< It has just refused requests as servers' limits left it no room.
    std::optional<Duration> loopLag; ///< How late its event loop runs; empty if not known.
};

/// What the VM that takes a request over must have, beside a way to servers.
struct RelayNeeds {
    bool serverRoom = false; ///< At servers that limit the requests of each VM.
    std::optional<Duration> maxLag; ///< Its event loop runs no later than this.
};

/// What an entry VM says of a request that it hands over, beside the request itself.
struct RelayFields {
    std::string from; ///< The VM that the caller sent it to.
    std::uint64_t manifestVersion = 0; ///< Of the manifest in force there. An older one must not be applied to the request.
    bool isAdmitted = false; ///< It is counted there in the customer's allowance and in the service's demand.
    bool isUsageNoted = false; ///< The start of its run is counted there.
};

} // namespace cardamomlift::relay
