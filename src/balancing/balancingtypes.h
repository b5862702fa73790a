#pragma once

#include "directory/directory.h"
#include "kernel/clock.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace cardamomlift::balancing {

/// The load of one backend server, as this VM knows it.
struct ServerLoad {
    int localOpenRequests = 0; ///< Requests of this VM that are in progress there.
    std::int64_t localWaitingTokens = 0; ///< Prompt tokens of this VM's requests whose answers have not started.
    std::int64_t peerWaitingTokens = 0; ///< The same for the other VMs, from their statuses.
    int reportedRequests = 0; ///< Running and queued, in the server's last load report.
    int sentSinceReport = 0; ///< Requests of this VM sent since that report, minus those that ended since.
    std::optional<TimePoint> reportedAt;
};

/// A server that can be chosen for a request.
struct Candidate {
    const directory::KnownServer *server = nullptr;
    ServerLoad load;
    double pace = 1; ///< How long work takes there, relative to the mean of the service; see pace::PaceEstimate.
    bool isOutlier = false; ///< Its requests fail unusually often; see outliers::OutlierDetector.
    std::int64_t cachedTokens = 0; ///< Prompt tokens that are expected to be in its cache.
};

/// The properties of a request that the choice of a server depends on.
struct ChoiceInput {
    std::string_view zone; ///< This VM's failure domain.
    std::string_view affinity; ///< Key of requests that share much of their prompt; empty: none.
    std::int64_t promptTokens = 0;
    double prefillTokensPerSecond = 0; ///< Prompt tokens that a server of the service prefills per second; 0: not known.
    double peerOpenRequests = 0; ///< Requests that the other VMs have in progress at the service's servers; 0: not known.
    double peerRequestsPerSecond = 0; ///< Requests that the other VMs send to the service per second; 0: not known.
    double peerTokensPerSecond = 0; ///< Tokens of their prompts; 0: not known.
    double affinityShare = 0; ///< Fraction of the service's requests that have this affinity; 0: not known.
    std::int64_t fetchableTokens = 0; ///< The longest cached prefix of the prompt that another server can copy.
    std::uint64_t salt = 0; ///< Breaks ties, so that VMs that know the same loads don't all choose the same server.
};

/// Weights of the choice. A cost of 1 is that of a server whose slots are all in use.
struct ChoiceParameters {
    /// A load report is used for this long; an older one is ignored, and only this VM's own open requests count.
    Duration reportLifetime = std::chrono::milliseconds(1500);
    /// Least number of servers that requests with the same affinity prefer while no cached prefix is known. With two, a hot prompt
    /// does not depend on a single server, and a shared part is prefilled at most twice.
    std::size_t affinityServers = 2;
    /// An affinity server is skipped when its cost exceeds the lowest by more than this. A cache miss prefills some thousand
    /// tokens again, which takes about as long as a quarter of the slots costs the other requests.
    double affinityCostMargin = 0.25;
    /// Added for a server in another failure domain, in slots: traffic between domains is billed and slower.
    double crossZoneCost = 0.3;
    /// Added for an outlier. It is still chosen when there is no other server.
    double outlierPenalty = 4.0;
    /// This many prompt tokens waiting for prefill cost as much as a server whose slots are all in use: about what an engine
    /// prefills in a second, which is the promised time to the first token.
    double tokensPerFullServer = 40'000;
    /// Where the prefill rate is known, the tokens of this time take the place of tokensPerFullServer, within the bounds below.
    double secondsPerFullServer = 0.615;
    double minTokensPerFullServer = 10'000;
    double maxTokensPerFullServer = 200'000;
    /// A pace within this factor of 1 counts as 1, either way: at servers of equal speed the load alone makes such differences.
    double evenPaceRatio = 1.4;
    /// The same for requests with a prompt, which lose what is cached of it when they follow small differences.
    double evenPaceRatioOfPrompts = 1.7;
    /// Bounds of a server's pace, so that one that is wrongly taken for fast does not draw all requests.
    double minPace = 0.4;
    double maxPace = 8;
    /// Where servers work at different paces: the cost of the request's own work at a server of pace 1.
    double ownWorkCost = 0.5;
    /// Where servers work at different paces, their costs seldom tie, and VMs that know the same would all choose the cheapest one.
    /// Instead they draw from so many of the cheapest that the load of the other VMs that is not known yet costs each at most this.
    double unknownCost = 0.25;
    /// Prompt tokens that the other VMs have sent become known after this time.
    Duration waitingTokensAge = std::chrono::milliseconds(200);
    /// Cost of copying a token from another server's cache relative to prefilling it. A copy takes a fiftieth of the time,
    /// but its traffic is billed.
    double copyCostRatio = 0.4;
};

} // namespace cardamomlift::balancing
