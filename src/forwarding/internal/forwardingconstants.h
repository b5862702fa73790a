#pragma once

#include "kernel/clock.h"

#include <chrono>

namespace cardamomlift::forwarding {

inline constexpr int StatusOk = 200;
inline constexpr int StatusSuccessEnd = 300;
inline constexpr int StatusBadRequest = 400;
inline constexpr int StatusUnauthorized = 401;
inline constexpr int StatusNotFound = 404;
inline constexpr int StatusTimeout = 408;
inline constexpr int StatusMisdirected = 421;
inline constexpr int StatusTooManyRequests = 429;
inline constexpr int StatusServerError = 500;
inline constexpr int StatusBadGateway = 502;
inline constexpr int StatusUnavailable = 503;
inline constexpr int StatusGatewayTimeout = 504;

/// Whether the status promises that the request has not run and will not.
constexpr bool saysNotRun(int status)
{
    return status == StatusTimeout || status == StatusMisdirected || status == StatusTooManyRequests || status == StatusUnavailable;
}

/// A server or entry VM that accepts no connection within this time is skipped: many times the round trip between failure domains.
inline constexpr Duration ConnectTimeout = std::chrono::milliseconds(400);
/// Retry-After when all servers are full or none is known: about the time in which a burst of requests is processed.
inline constexpr Duration ServersFullRetryAfter = std::chrono::milliseconds(500);
/// More bytes of a stream without the end of an event are no sign that its answer goes on.
inline constexpr std::size_t MaxBytesBetweenEvents = 4096;
/// A request that servers refuse, or that can't be delivered, is sent this many times at most.
inline constexpr int MaxSends = 4;

} // namespace cardamomlift::forwarding
