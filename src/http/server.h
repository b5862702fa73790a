#pragma once

#include "clientbudget/clientbudget.h"
#include "http/httptypes.h"
#include "kernel/eventloop.h"
#include "kernel/result.h"

#include <memory>

namespace cardamomlift::http {

/// The answering side of one request. Shared by the server and whoever answers; every call after the end is ignored.
class Responder
{
public:
    virtual ~Responder() = default;
    /// Sends a whole answer.
    virtual void respond(Response response) = 0;
    /// Sends the head of an answer whose body follows in pieces (chunked).
    virtual void startStream(int status, Headers headers) = 0;
    virtual void write(std::string_view bytes) = 0;
    /// Ends the body started with startStream().
    virtual void finish() = 0;
    /// Closes the connection without a proper end, so that the caller sees the answer is not whole.
    virtual void abort() = 0;
    virtual bool isClosed() const = 0;
    virtual bool isStreaming() const = 0;
    /// Bytes written and not yet taken by the connection; the writer bounds them.
    virtual std::size_t bufferedBytes() const = 0;
    /// Called once if the caller goes away before the answer ended.
    virtual void onClosed(std::function<void()> handler) = 0;
};

using Handler = std::function<void(Request request, std::shared_ptr<Responder> responder)>;
/// Called when the server itself refuses: 408 (a request that did not end in time), 413 (body too large), 431 (header
/// too large or broken off).
using RefusalHandler = std::function<void(int status)>;

/// An HTTP server (libmicrohttpd) on an event loop. Handlers run on the loop's thread and never block.
class Server
{
public:
    /// @p budget: shared with the other servers of the process; null: none, only the options bound what clients hold.
    static Result<std::unique_ptr<Server>> create(
        EventLoop &loop, ServerOptions options, Handler handler, std::shared_ptr<clientbudget::ClientBudget> budget = nullptr);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

    /// The bound port.
    std::uint16_t port() const;
    /// Accepts no more connections; those open go on.
    void stopListening();
    /// Requests whose answer has not ended.
    std::size_t openRequests() const;
    void setRefusalHandler(RefusalHandler handler);
    /// The body of refusals made by the server itself, by status; default: a plain sentence.
    void setErrorBody(std::function<Response(int status)> makeBody);

    struct Impl;

private:
    Server() = default;
    std::unique_ptr<Impl> impl_;
};

} // namespace cardamomlift::http
