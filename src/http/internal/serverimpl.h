#pragma once

#include "http/server.h"

#include <ev.h>
#include <microhttpd.h>

#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::http {

class Exchange;

/// One connection, and how far it is with its next request.
struct ConnectionState {
    std::unique_ptr<clientbudget::ConnectionAccount> account; ///< Null if the server has no budget.
    Exchange *exchange = nullptr; ///< The request whose header is whole, until it has been answered.
    TimerId timer = 0; ///< Ends the connection; 0: the request is whole.
    bool inHeader = false; ///< The request line has come, the end of the header has not.
    bool hasServed = false; ///< An earlier request was answered: silence is no refusal.
};

/// The server's side of libmicrohttpd: its daemon on the loop, and its connections.
struct Server::Impl {
    EventLoop *loop = nullptr;
    ServerOptions options;
    Handler handler;
    RefusalHandler refusalHandler;
    std::function<Response(int)> errorBody;
    MHD_Daemon *daemon = nullptr;
    ev_io epollWatcher{};
    ev_timer timeoutWatcher{};
    ev_idle runWatcher{};
    std::uint16_t port = 0;
    std::size_t openRequests = 0;
    bool quiesced = false;
    bool stopping = false;
    int listenSocket = -1;
    std::unordered_set<Exchange *> exchanges;
    std::unordered_map<MHD_Connection *, ConnectionState> connections;
    std::shared_ptr<clientbudget::ClientBudget> budget; ///< May be null.

    void run();
    void scheduleRun();
    Result<void> start();
    void stop();
    void startReading(MHD_Connection *connection);
    void stopReading(MHD_Connection *connection);
    void onReadingTooSlow(MHD_Connection *connection);
    void refused(int status) const;
    /// Opens the account of a new connection. False if the budget has no room for it.
    bool openAccount(MHD_Connection *connection);
    /// Tells the budget what a connection holds besides MHD's buffers.
    void updateAccount(MHD_Connection *connection, clientbudget::Activity activity, std::size_t bytes);
    void onEvicted(MHD_Connection *connection);
};

} // namespace cardamomlift::http
