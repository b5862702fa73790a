#pragma once

#include "manifest/manifestcache.h"

#include <chrono>
#include <string>

namespace cardamomlift::forwarding {

using std::chrono::milliseconds;

/// Latency goal and event gap goal of all routes.
inline constexpr Duration LatencyGoal = milliseconds(1000);

inline manifest::Route testRoute(const std::string &prefix, manifest::RouteKind kind, int attempts)
{
    manifest::Route route;
    route.name = prefix;
    route.host = "a";
    route.prefix = prefix;
    route.kind = kind;
    route.maxAttempts = attempts;
    route.timeout = std::chrono::seconds(20);
    route.latencyGoal = LatencyGoal;
    route.eventGapGoal = LatencyGoal;
    route.shares = {{"service", 1}};
    return route;
}

/// One service, one customer with the key "key", and a route of each kind.
inline manifest::Manifest testManifest(std::uint64_t version)
{
    manifest::Manifest manifest;
    manifest.version = version;
    manifest.routes = {testRoute("/safe/", manifest::RouteKind::Idempotent, 2),
        testRoute("/once/", manifest::RouteKind::NonIdempotent, 2),
        testRoute("/stream/", manifest::RouteKind::Stream, 1),
        testRoute("/resumed/", manifest::RouteKind::Stream, 2),
        testRoute("/short/", manifest::RouteKind::NonIdempotent, 1)};
    manifest.routes[3].isResumable = true;
    manifest.routes[4].timeout = milliseconds(150);
    manifest.services.resize(1);
    manifest.services[0].name = "service";
    manifest.services[0].engine = manifest::EngineProfile{8, 100'000, true, false};
    manifest.customers.resize(1);
    manifest.customers[0].name = "customer";
    manifest.customers[0].keys = {"key"};
    manifest.customers[0].allowance.perSecond = 100;
    return manifest;
}

} // namespace cardamomlift::forwarding
