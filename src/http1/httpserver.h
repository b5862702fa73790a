#pragma once

#include "clientbudget/clientbudget.h"
#include "http1/messagereader.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <functional>
#include <memory>
#include <string>

namespace cardamomlift::http1 {

/// Timeouts and limits of single client connections. Those of all together are the ClientBudget's.
struct ServerLimits {
    ReadLimits read;
    Duration headerTimeout = std::chrono::seconds(10); ///< From the first byte of a request to the end of its header.
    Duration idleTimeout = std::chrono::seconds(60); ///< Between requests; also the longest pause within a request body.
    std::size_t maxUnsentResponseBytes = 1048576; ///< A client that reads a response sent in parts too slowly is disconnected.
    std::size_t descriptorsPerRequest = 1; ///< Of a connection while its request is being answered: its own, and those that the handler needs.
};

/// One request and the means to respond to it. One of these must follow: answer(); begin() or beginUnframed(), any number of send(), and
/// end(); or abort(), which may also come after begin().
class Exchange
{
public:
    virtual ~Exchange() = default;
    virtual const RequestHead &head() const = 0;
    virtual const std::string &body() const = 0;
    /// When parsing of the request began: at its first byte, or once the request before it on the connection was answered.
    virtual TimePoint startedAt() const = 0;
    /// @p handler is called once if the client closes the connection, or is disconnected, before the response is complete.
    virtual void onDisconnected(std::function<void()> handler) = 0;
    /// Sends a complete response.
    virtual void answer(ResponseHead head, std::string_view body) = 0;
    /// Sends the head of a response whose body follows in parts: in chunks, or without a length if the client's HTTP version knows none.
    virtual void begin(ResponseHead head) = 0;
    /// As begin(), but the body has neither a length nor chunks and ends with the connection.
    virtual void beginUnframed(ResponseHead head) = 0;
    virtual void send(std::string_view part) = 0;
    /// Ends the body and thus completes the response.
    virtual void end() = 0;
    /// Tells how much memory the handler keeps for this request besides the exchange itself.
    virtual void setHandlerBytes(std::size_t bytes) = 0;
    /// Closes the connection without completing the response, so that the client sees that it is incomplete.
    virtual void abort() = 0;
};

using ExchangePtr = std::shared_ptr<Exchange>;

/// Callbacks of a server.
struct ServerHandlers {
    std::function<void(ExchangePtr exchange)> onRequest;
    /// A request was refused with @p status and its connection is being closed: it is malformed or too large, it timed out, or
    /// the memory or the descriptors for clients are used up.
    std::function<void(int status)> onRejected;
};

/// Accepts client connections and reads their requests, one at a time on each connection.
class HttpServer
{
public:
    /// @p budget: shared with the other servers of the process; null: this server has its own, with the default limits.
    static Result<std::shared_ptr<HttpServer>> listen(
        EventLoop &loop, const Endpoint &at, const ServerLimits &limits, ServerHandlers handlers, std::shared_ptr<clientbudget::ClientBudget> budget = nullptr);
    virtual ~HttpServer() = default;
    virtual void setLimits(const ServerLimits &limits) = 0;
    /// From now on each response closes its connection. New connections are still accepted.
    virtual void disableKeepAlive() = 0;
    /// Stops reading and accepting connections, right before the process ends. Requests that are still unread have not run, and
    /// their clients can tell by the close without a response.
    virtual void stopReading() = 0;
    virtual std::size_t openConnections() const = 0;
    /// Requests that are being read or answered now.
    virtual std::size_t openExchanges() const = 0;
    /// Whether a response, or a part of one, waits for its client to read it.
    virtual bool hasUnsentResponses() const = 0;
    virtual std::uint16_t port() const = 0;
};

} // namespace cardamomlift::http1
