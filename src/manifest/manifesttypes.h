#pragma once

#include "kernel/clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cardamomlift::manifest {

/// What may be done again with a request of a route.
enum class RouteKind {
    Idempotent, ///< May run more than once.
    NonIdempotent, ///< May run once at most.
    Stream, ///< Answered by a series of events; runs once at most unless it may be resumed.
};

/// A service that requests of a route may go to, and its part of them.
struct ServiceShare {
    std::string service;
    unsigned weight = 1;
};

/// Which requests go where, and how long they may take.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< Of the path; begins and ends with a slash.
    RouteKind kind = RouteKind::NonIdempotent;
    bool isResumable = false; ///< A stream may go on at another backend server behind its last event.
    bool isPublic = false; ///< Needs no key.
    Duration timeout{0}; ///< The longest a caller is kept waiting.
    Duration latencyGoal{0};
    Duration eventGapGoal{0}; ///< The longest pause between events of an answer that is in time.
    int priority = 0; ///< 0 is the most urgent.
    int maxAttempts = 1; ///< Backend servers that one request may be sent to.
    std::vector<ServiceShare> shares;
};

/// A service whose backend servers are language-model engines.
struct EngineProfile {
    int slots = 0; ///< Requests that run at once.
    std::int64_t kvCapacityTokens = 0;
    bool canMigrateKv = false; ///< A run's KV cache can be moved to another engine.
    bool canBackUpKv = false; ///< A run's KV cache can be copied while it grows.
};

/// Bounds and prices of the backend servers that may be ordered for a service. Both bounds hold in each failure domain.
struct Scaling {
    int minPerZone = 0;
    int maxPerZone = 0;
    Duration startup{0}; ///< From the order to the first request.
    double reclaimablePrice = 1; ///< Of a reclaimable server, as a part of an ordinary one's.
    std::map<std::string, double> zonePrices; ///< By failure domain, for a second of an ordinary server.
};

/// A group of backend servers that answer the same requests.
struct Service {
    std::string name;
    int maxConnections = 0; ///< One server takes from all entry VMs together; 0: no bound is known.
    std::optional<EngineProfile> engine;
    std::optional<Scaling> scaling;
};

/// What a customer may use in a second, over all entry VMs.
struct Allowance {
    double perSecond = 0; ///< 0: no bound.
    double burst = 0;
    bool countsTokens = false; ///< In tokens; otherwise in requests.
    std::int64_t defaultTokens = 1; ///< What a request without a token count stands for.
};

/// A customer with its keys.
struct Customer {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Goes before the route's.
    Allowance allowance;
};

/// Bounds on what callers send.
struct CallerLimits {
    std::size_t headerBytes = 16384;
    std::size_t bodyBytes = 4194304;
    Duration headerTimeout = std::chrono::seconds(10);
    Duration idleTimeout = std::chrono::seconds(60);
};

/// All that operators have declared, at one version.
struct Manifest {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<Service> services;
    std::vector<Customer> customers; ///< None: no route needs a key.
    CallerLimits limits;
};

} // namespace cardamomlift::manifest
