#pragma once

#include "http1/http1types.h"
#include "kernel/eventloop.h"

#include <ev.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cardamomlift::http1 {

/// How a connection ended.
enum class SocketEnd {
    Closed, ///< The peer closed the connection in order.
    Reset, ///< The connection was reset, refused or timed out, or the socket failed.
};

/// TCP options that detect an unresponsive peer.
struct SocketOptions {
    /// The connection ends if sent bytes stay unacknowledged this long (TCP_USER_TIMEOUT). 0: the system's default.
    Duration unackedTimeout{0};
    /// An idle connection is probed after this long, and ends after two unanswered probes (TCP keep-alive). 0: no probes.
    Duration keepAlive{0};
};

class Socket;

/// Callbacks of a socket. Any of them may close the socket.
struct SocketHandlers {
    std::function<void()> onConnected;
    std::function<void(std::string_view bytes)> onData;
    std::function<void(SocketEnd end)> onEnd; ///< Called once, never after close().
    std::function<void()> onDrained; ///< All written bytes were passed to the system. May be unset.
};

/// A non-blocking TCP connection on the event loop, with a send buffer.
class Socket : public std::enable_shared_from_this<Socket>
{
public:
    /// Starts to connect. The outcome is reported through @p handlers, never before connect() has returned.
    static std::shared_ptr<Socket> connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, SocketHandlers handlers);
    /// Takes ownership of the descriptor of an accepted connection.
    static std::shared_ptr<Socket> adopt(EventLoop &loop, int descriptor, const SocketOptions &options, SocketHandlers handlers);
    ~Socket();
    Socket(const Socket &) = delete;
    Socket &operator=(const Socket &) = delete;

    /// Sends as many bytes as the system accepts now and buffers the rest.
    void write(std::string_view bytes);
    /// Buffered bytes that the system has not accepted yet.
    std::size_t unsentBytes() const;
    /// Memory that the send buffer takes.
    std::size_t heldBytes() const;
    /// True once the system has accepted a byte, which may thus have left this machine.
    bool hasSent() const;
    bool isOpen() const;
    /// Pauses or resumes reading. While reading is paused, a close by the peer is not noticed either.
    void setReading(bool on);
    /// While on, the connection is reset when it is closed, also by the end of the process.
    void setResetOnClose(bool on);
    /// Sends the buffered bytes, then shuts down the sending direction.
    void shutdownAfterWrite();
    /// Closes the connection at once. No handler is called after that.
    void close();

private:
    explicit Socket(EventLoop &loop, SocketHandlers handlers);
    void open(int descriptor, const SocketOptions &options);
    void updateWatcher();
    void onReady(int events);
    void finishConnect();
    void readAvailable();
    std::optional<std::size_t> sendSome(std::string_view bytes);
    void buffer(std::string_view bytes);
    bool flush();
    bool onAllSent();
    void closeDescriptor();
    void end(SocketEnd end);
    void postEnd(SocketEnd end);
    EventLoop &loop_;
    SocketHandlers handlers_;
    ev_io watcher_{};
    int descriptor_ = -1;
    bool connecting_ = false;
    bool reading_ = true;
    bool sent_ = false;
    bool ended_ = false; ///< onEnd was called, or the owner called close().
    bool shutdownPending_ = false;
    std::string output_;
    std::size_t outputSent_ = 0; ///< Bytes of output_ that the system has accepted.
};

} // namespace cardamomlift::http1
