#pragma once

#include "http/server.h"

#include <ev.h>
#include <microhttpd.h>

#include <cstdint>
#include <memory>
#include <string>

namespace cardamomlift::http {

/// One request and its answer; MHD's per-request context.
class Exchange : public Responder, public std::enable_shared_from_this<Exchange>
{
public:
    Exchange(Server::Impl *server, MHD_Connection *connection);
    void respond(Response response) override;
    void startStream(int status, Headers headers) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    bool isClosed() const override;
    bool isStreaming() const override;
    std::size_t bufferedBytes() const override;
    void onClosed(std::function<void()> handler) override;

    Request request; ///< Filled while it is read; moved out to the handler.
    std::shared_ptr<Exchange> self; ///< Held until MHD has ended the request.
    bool bodyTooLarge = false;
    bool handled = false; ///< The handler, or the refusal, has had the request.

    /// Adds a piece of the body. False when so much too much has come that the connection is to be closed.
    bool takeBody(std::string_view bytes);
    /// True if the request says itself that its body is over the limit.
    bool announcesTooLarge() const;
    bool hasHead() const;
    /// Queues the answer's head with MHD. Runs inside MHD's access handler.
    MHD_Result queueHead();
    /// Stops MHD's work on the connection until wakeUp(), and watches the socket for the caller going away.
    void suspend();
    /// MHD has ended the request; @p whole: the answer went out to its end.
    void end(bool whole);
    void resumeForShutdown();
    /// Frees what was received of an incomplete request; ends the answer to a complete one, from the loop.
    void giveUp();
    /// Tells the budget what the exchange holds now.
    void updateAccount();

private:
    static ssize_t readMore(void *context, std::uint64_t, char *buffer, std::size_t capacity);
    void dropBody();
    void wakeUp();
    void watchSocket();
    void stopWatching();
    void socketReadable();

    Server::Impl *server_;
    MHD_Connection *connection_;
    Response head_;
    std::string pending_;
    std::size_t taken_ = 0;
    std::size_t bodyBytes_ = 0;
    std::size_t headerBytes_ = 0; ///< Memory of the header's fields.
    std::function<void()> closedHandler_;
    ev_io socketWatcher_{};
    bool watching_ = false;
    bool hasHead_ = false;
    bool streaming_ = false;
    bool finished_ = false;
    bool aborted_ = false;
    bool givenUp_ = false;
    bool ended_ = false;
    bool suspended_ = false;
};

} // namespace cardamomlift::http
