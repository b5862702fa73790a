#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::manifest {

/// Whether a request of a route may be retried.
enum class RouteKind {
    Idempotent, ///< May be executed more than once.
    NonIdempotent, ///< Executed at most once.
    Stream, ///< Answered by a series of events; executed at most once, unless the stream may be resumed.
};

/// A service that requests of a route may go to, and its relative share of them.
struct ServiceShare {
    std::string service;
    unsigned weight = 1;
};

/// Which requests a route matches, which services they go to, and how long they may take.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Path prefix; begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    bool isResumable = false; ///< A stream may continue at another backend server after its last event.
    bool isPublic = false; ///< Needs no API key.
    Duration timeout{0}; ///< The longest time that a caller is kept waiting.
    Duration latencyGoal{0}; ///< Time within which an answer should begin.
    Duration eventGapGoal{0}; ///< Time within which the next event of a stream should follow.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< The most backend servers that one request is sent to.
    std::vector<ServiceShare> shares;
};

/// What the backend servers of a service can do, if they are language-model engines.
struct EngineProfile {
    int slots = 0; ///< Requests that one engine runs at once.
    std::int64_t kvCapacityTokens = 0;
    bool canMigrateKv = false; ///< The KV cache of a running request can be moved to another engine.
    bool canBackUpKv = false; ///< The KV cache of a running request can be copied while it grows.
};

/// How many backend servers may be ordered for a service, and their prices. The bounds hold in each failure domain.
struct Scaling {
    int minPerZone = 0;
    int maxPerZone = 0;
    Duration startup{0}; ///< Time from the order of a server to its first request.
    double reclaimablePrice = 1; ///< Price of a reclaimable server as a fraction of an ordinary one's.
    std::map<std::string, double> zonePrices; ///< Price per second of an ordinary server, by failure domain.
};

/// A group of backend servers that answer the same requests.
struct Service {
    std::string name;
    int maxConnections = 0; ///< The most that one server accepts from all entry VMs together; 0: unknown.
    std::optional<EngineProfile> engine;
    std::optional<Scaling> scaling;
};

/// Rate limit of a customer, over all entry VMs together.
struct Allowance {
    double perSecond = 0; ///< 0: unlimited.
    double burst = 0;
    bool countsTokens = false; ///< The limit is in tokens; otherwise in requests.
    std::int64_t defaultTokens = 1; ///< Tokens charged for a request that names no token count.
};

/// A customer with its API keys.
struct Customer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Takes precedence over the route's.
    Allowance allowance;
};

/// Limits on the requests and connections of callers.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// One version of the configuration that operators have declared.
struct Manifest {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers; ///< If empty, no route needs an API key.
    CallerLimits limits;
};

} // namespace cardamomlift::manifest
