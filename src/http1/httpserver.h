#pragma once

#include "http1/messagereader.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::http1 {

/// How long callers may take, and how much is held for one of them.
struct ServerLimits {
    ReadLimits read;
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to its last header byte.
    Duration idleTimeout = std::chrono::seconds(60); ///< Between requests; also the longest silence inside a body.
    std::size_t maxConnections = 3000; ///< Open at once; more are closed as they come.
    std::size_t maxUnsentResponseBytes = 1048576; ///< Unsent answer bytes of one caller; beyond it the caller is too slow and is cut off.
    std::size_t maxBufferedBodyBytes = 64u << 20; ///< Request bodies of all callers together.
};

/// One request of a caller, and the way to answer it. Exactly one of answer(), abort() or begin()..end() follows.
class Exchange
{
public:
    virtual ~Exchange() = default;
    virtual const RequestHead &head() const = 0;
    virtual const std::string &body() const = 0;
    /// When the first byte of the request was read.
    virtual TimePoint startedAt() const = 0;
    /// Called once if the caller closes, or is cut off, before the answer has ended.
    virtual void onDisconnected(std::function<void()> handler) = 0;
    /// Sends a whole answer.
    virtual void answer(ResponseHead head, std::string_view body) = 0;
    /// Sends the head of an answer whose body follows in parts.
    virtual void begin(ResponseHead head) = 0;
    virtual void send(std::string_view part) = 0;
    /// Ends the body, so that the answer is complete.
    virtual void end() = 0;
    /// Closes the connection so that the caller sees that the answer is not complete.
    virtual void abort() = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// What a server tells its owner.
struct ServerHandlers {
    std::function<void(ExchangePtr exchange)> onRequest;
    /// A request that can't be read was answered with @p status and its connection closed.
    std::function<void(int status)> onRejected;
};

/// Accepts callers' connections and reads their requests, one after the other on each connection.
class HttpServer
{
public:
    static Result<std::shared_ptr<HttpServer>> listen(EventLoop &loop, const Endpoint &at, const ServerLimits &limits, ServerHandlers handlers);
    virtual ~HttpServer() = default;
    virtual void setLimits(const ServerLimits &limits) = 0;
    /// From here on each answer closes its connection; connections go on being accepted.
    virtual void disableKeepAlive() = 0;
    /// Reads nothing more and accepts no connection: right before the process ends. What is still unread has not run, and
    /// its caller sees that.
    virtual void stopReading() = 0;
    virtual std::size_t openConnections() const = 0;
    /// Requests that are read or answered now.
    virtual std::size_t openExchanges() const = 0;
    virtual std::uint16_t port() const = 0;
};

} // namespace cardamomlift::http1
