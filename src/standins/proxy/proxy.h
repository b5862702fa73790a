#pragma once

#include "kernel/eventloop.h"

#include <json/json.h>

#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace cardamomlift::standins {

/// How the proxy treats the bytes that pass it.
struct ProxyFaults {
    bool refuse = false; ///< New connections are closed at once.
    bool closed = false; ///< New connections are refused by the system, as nothing listens.
    bool unanswered = false; ///< New connections get no answer at all, and nothing gets through open ones.
    bool cutToServer = false; ///< Bytes towards the server are swallowed.
    bool cutToClient = false; ///< Bytes towards the client are swallowed: the server's answer is lost.
    bool freeze = false; ///< Nothing is read, in both directions.
    std::int64_t delayMs = 0; ///< Before bytes are passed on.
    bool resetAfterRequest = false; ///< When the first answer byte comes, both sides are closed.
};

/// A TCP proxy between two processes that injects faults.
class Proxy
{
public:
    /// Listens on a free loopback port and connects to 127.0.0.1:@p targetPort.
    static Result<std::unique_ptr<Proxy>> create(EventLoop &loop, std::uint16_t targetPort);
    ~Proxy();
    std::uint16_t port() const;
    /// Sets the faults named in @p json: refuse, closed, unanswered, cutToServer, cutToClient, freeze, delayMs, resetAfterRequest. With
    /// "closeAll": true all open connections are reset.
    void control(const Json::Value &json);
    Json::Value totals() const;

    struct Impl;

private:
    Proxy() = default;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift::standins
