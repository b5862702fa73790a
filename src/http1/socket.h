#pragma once

#include "http1/http1types.h"
#include "kernel/eventloop.h"

#include <ev.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace cardamomlift::http1 {

/// How a connection ended.
enum class SocketEnd {
    Closed, ///< The other side closed in order.
    Reset, ///< Reset, refused or timed out by the system.
};

/// How connections treat silence.
struct SocketOptions {
    /// Sent bytes that stay unacknowledged this long end the connection (TCP_USER_TIMEOUT). 0: the system's own bound.
    Duration unackedTimeout{0};
    /// An idle connection is probed after this long, and ends after two unanswered probes. 0: no probes.
    Duration keepAlive{0};
};

class Socket;

/// What a socket tells its owner. Any of them may close the socket.
struct SocketHandlers {
    std::function<void()> onConnected;
    std::function<void(std::string_view bytes)> onData;
    std::function<void(SocketEnd end)> onEnd; ///< Called once, never after close().
    std::function<void()> onDrained; ///< All that was written has left; may be empty.
};

/// A non-blocking TCP connection on the loop, with one queue of bytes to send.
class Socket : public std::enable_shared_from_this<Socket>
{
public:
    /// Starts to connect; the outcome comes through @p handlers, never from inside the call.
    static std::shared_ptr<Socket> connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, SocketHandlers handlers);
    /// Takes over an accepted descriptor.
    static std::shared_ptr<Socket> adopt(EventLoop &loop, int descriptor, const SocketOptions &options, SocketHandlers handlers);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// Sends @p bytes, now as far as the system takes them.
    void write(std::string_view bytes);
    /// Bytes that wait to be sent.
    std::size_t unsentBytes() const;
    /// True once a byte may have left this machine.
    bool hasSent() const;
    bool isOpen() const;
    /// Stops or goes on reading. A socket that does not read sees no end either.
    void setReading(bool on);
    /// Sends what waits, then ends the sending direction.
    void shutdownAfterWrite();
    /// Ends the connection at once; no handler is called any more.
    void close();

private:
    explicit Socket(EventLoop &loop, SocketHandlers handlers);
    void open(int descriptor, const SocketOptions &options);
    void watch();
    void onReady(int events);
    void finishConnect();
    void readAvailable();
    bool flush();
    void release();
    void end(SocketEnd end);
    void endSoon(SocketEnd end);
    EventLoop &loop_;
    SocketHandlers handlers_;
    ev_io watcher_{};
    int descriptor_ = -1;
    bool connecting_ = false;
    bool reading_ = true;
    bool sent_ = false;
    bool ended_ = false; ///< onEnd was called, or the owner closed.
    bool shutdownWanted_ = false;
    std::string output_;
    std::size_t outputSent_ = 0; ///< Of output_.
};

} // namespace cardamomlift::http1
