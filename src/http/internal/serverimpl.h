#pragma once

#include "http/server.h"

#include <ev.h>
#include <microhttpd.h>

#include <unordered_map>
#include <unordered_set>

namespace cardamomlift::http {

class Exchange;

/// How far a connection is with its next request, until that request is whole.
struct ReadingState {
    TimerId timer = 0; ///< Ends the connection; 0: the request is whole.
    bool inHeader = false; ///< The request line has come, the end of the header has not.
    bool hasServed = false; ///< An earlier request was answered: silence is no refusal.
};

/// The server's side of libmicrohttpd: its daemon on the loop, and the connections that are sending a request.
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
    std::unordered_map<MHD_Connection *, ReadingState> reading;

    void run();
    void scheduleRun();
    Result<void> start();
    void stop();
    void startReading(MHD_Connection *connection);
    void stopReading(MHD_Connection *connection);
    void onReadingTooSlow(MHD_Connection *connection);
    void refused(int status) const;
};

} // namespace cardamomlift::http
