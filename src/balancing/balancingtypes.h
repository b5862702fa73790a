#pragma once

#include "directory/directory.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamomlift::balancing {

/// What is known of one backend server's load.
struct ServerLoad {
    int localOpenRequests = 0; ///< Requests that this VM has there now.
    std::int64_t localWaitingTokens = 0; ///< Of those that have not begun to answer.
    std::int64_t peerWaitingTokens = 0; ///< The same at the other VMs, as they told.
    int reportedRequests = 0; ///< Running and waiting, as the server said last.
    int sentSinceReport = 0; ///< Less those that ended since.
    std::optional<TimePoint> reportedAt;
};

/// One server that may be chosen.
struct Candidate {
    const directory::KnownServer *server = nullptr;
    ServerLoad load;
    bool isOutlier = false; ///< Its requests fail more than others'.
    std::int64_t cachedTokens = 0; ///< Of the prompt, believed to be in its cache.
};

/// What matters of a request for the choice.
struct ChoiceInput {
    std::string_view zone; ///< This VM's failure domain.
    std::string_view affinity; ///< Requests with the same text share much of their prompt; empty: none.
    std::int64_t promptTokens = 0;
    std::int64_t fetchableTokens = 0; ///< Of the prompt, in the cache of some server that others may copy it from.
    std::uint64_t salt = 0; ///< Breaks ties, so that VMs with the same view do not all choose the same server.
};

/// The weights of a choice. Costs are in shares of a server whose slots are all taken.
struct ChoiceParameters {
    /// A server's own report counts for this long; after it only what this VM has open there does.
    Duration reportLife = std::chrono::milliseconds(1500);
    /// Servers that requests of one affinity go to first while nothing is known of caches. Two: a hot prompt does not depend
    /// on one server, and a shared part is read twice at most.
    std::size_t homeServers = 2;
    /// A home server is passed over when its cost exceeds the least by this. A miss reads some thousand tokens again, about
    /// the time that a quarter of the slots costs the others.
    double homeAdvantage = 0.25;
    /// Another failure domain counts as this share of a slot more: bytes between domains are paid for, and take longer.
    double otherZoneCost = 0.3;
    /// An outlier counts as this full. It is still better than none.
    double outlierCost = 4.0;
    /// So many prompt tokens that are still to be read count like a server whose slots are all taken: about what an engine
    /// reads in a second, the time within which first tokens are promised.
    double tokensOfAFullServer = 40'000;
    /// What copying a token from another server's cache costs of reading it: the copy takes a fiftieth of the time, but its
    /// bytes are paid for.
    double copiedTokenCost = 0.4;
};

} // namespace cardamomlift::balancing
