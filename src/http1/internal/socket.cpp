#include "http1/socket.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

namespace cardamomlift::http1 {

namespace {

/// Bytes per read. Larger messages take several rounds of the loop, so that one connection does not delay the others.
constexpr std::size_t ReadBufferBytes = 65536;
/// Unanswered probes after which the system ends an idle connection.
constexpr int KeepAliveProbes = 2;
constexpr int KeepAliveIntervalSeconds = 1;
/// A send buffer that was larger is freed once it is empty.
constexpr std::size_t KeptBufferBytes = 16384;

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

void applyOptions(int descriptor, const SocketOptions &options)
{
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    if (options.unackedTimeout.count() > 0) {
        setOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(std::chrono::duration_cast<milliseconds>(options.unackedTimeout).count()));
    }
    if (options.keepAlive.count() > 0) {
        setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
        const auto idle = std::max<std::int64_t>(1, std::chrono::duration_cast<seconds>(options.keepAlive).count());
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(idle));
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
        setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
    }
}

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
}

} // namespace

Socket::Socket(EventLoop &loop, SocketHandlers handlers)
    : loop_(loop)
    , handlers_(std::move(handlers))
{
}

std::shared_ptr<Socket> Socket::connect(EventLoop &loop, const Endpoint &to, const SocketOptions &options, SocketHandlers handlers)
{
    std::shared_ptr<Socket> socket(new Socket(loop, std::move(handlers)));
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        socket->postEnd(SocketEnd::Reset);
        return socket;
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    socket->connecting_ = true;
    const int result = ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        socket->postEnd(SocketEnd::Reset);
        return socket;
    }
    socket->open(descriptor, options);
    return socket;
}

std::shared_ptr<Socket> Socket::adopt(EventLoop &loop, int descriptor, const SocketOptions &options, SocketHandlers handlers)
{
    std::shared_ptr<Socket> socket(new Socket(loop, std::move(handlers)));
    socket->open(descriptor, options);
    return socket;
}

Socket::~Socket()
{
    close();
}

void Socket::open(int descriptor, const SocketOptions &options)
{
    descriptor_ = descriptor;
    applyOptions(descriptor, options);
    watcher_.data = this;
    ev_io_init(
        &watcher_, [](struct ev_loop *, ev_io *watcher, int events) { static_cast<Socket *>(watcher->data)->onReady(events); }, descriptor, 0);
    updateWatcher();
}

void Socket::updateWatcher()
{
    if (descriptor_ < 0) {
        return;
    }
    const bool wantsWrite = connecting_ || outputSent_ < output_.size();
    const int events = (reading_ && !connecting_ ? EV_READ : 0) | (wantsWrite ? EV_WRITE : 0);
    if (ev_is_active(&watcher_) && (watcher_.events & (EV_READ | EV_WRITE)) == events) {
        return;
    }
    ev_io_stop(loop_.raw(), &watcher_);
    ev_io_set(&watcher_, descriptor_, events);
    if (events != 0) {
        ev_io_start(loop_.raw(), &watcher_);
    }
}

void Socket::onReady(int events)
{
    const auto self = shared_from_this();
    if (connecting_) {
        finishConnect();
        return;
    }
    if ((events & EV_WRITE) != 0 && !flush()) {
        return;
    }
    if ((events & EV_READ) != 0 && descriptor_ >= 0) {
        readAvailable();
    }
    updateWatcher();
}

void Socket::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(descriptor_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) {
        end(SocketEnd::Reset);
        return;
    }
    connecting_ = false;
    if (handlers_.onConnected) {
        handlers_.onConnected();
    }
    if (descriptor_ >= 0 && flush()) {
        updateWatcher();
    }
}

void Socket::readAvailable()
{
    static thread_local std::array<char, ReadBufferBytes> buffer;
    const ssize_t count = ::recv(descriptor_, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        handlers_.onData(std::string_view(buffer.data(), static_cast<std::size_t>(count)));
        return;
    }
    if (count == 0) {
        end(SocketEnd::Closed);
        return;
    }
    if (!wouldBlock()) {
        end(SocketEnd::Reset);
    }
}

void Socket::write(std::string_view bytes)
{
    if (descriptor_ < 0 || bytes.empty()) {
        return;
    }
    if (connecting_ || !output_.empty()) {
        buffer(bytes);
        if (!connecting_ && flush()) {
            updateWatcher();
        }
        return;
    }
    const auto sent = sendSome(bytes);
    buffer(bytes.substr(sent.value_or(0)));
    if (!sent) {
        return;
    }
    if (!output_.empty() || onAllSent()) {
        updateWatcher();
    }
}

void Socket::buffer(std::string_view bytes)
{
    if (outputSent_ > 0 && outputSent_ >= output_.size() / 2) {
        output_.erase(0, std::exchange(outputSent_, 0));
    }
    output_ += bytes;
}

// Returns how many bytes the system has accepted; empty if the connection has failed.
std::optional<std::size_t> Socket::sendSome(std::string_view bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count > 0) {
            sent_ = true;
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (wouldBlock()) {
            break;
        }
        postEnd(SocketEnd::Reset);
        return std::nullopt;
    }
    return sent;
}

// Sends what the system accepts. False if the connection has ended meanwhile.
bool Socket::flush()
{
    if (descriptor_ < 0 || output_.empty()) {
        return descriptor_ >= 0;
    }
    const auto sent = sendSome(std::string_view(output_).substr(outputSent_));
    if (!sent) {
        return false;
    }
    outputSent_ += *sent;
    if (outputSent_ < output_.size()) {
        return true;
    }
    output_.clear();
    outputSent_ = 0;
    if (output_.capacity() > KeptBufferBytes) {
        output_.shrink_to_fit();
    }
    return onAllSent();
}

// False if the connection has ended meanwhile.
bool Socket::onAllSent()
{
    if (shutdownPending_) {
        ::shutdown(descriptor_, SHUT_WR);
    }
    if (handlers_.onDrained) {
        handlers_.onDrained();
    }
    return descriptor_ >= 0;
}

std::size_t Socket::unsentBytes() const
{
    return output_.size() - outputSent_;
}

std::size_t Socket::heldBytes() const
{
    return output_.capacity();
}

bool Socket::hasSent() const
{
    return sent_;
}

bool Socket::isOpen() const
{
    return descriptor_ >= 0;
}

void Socket::setReading(bool on)
{
    reading_ = on;
    updateWatcher();
}

void Socket::shutdownAfterWrite()
{
    shutdownPending_ = true;
    if (descriptor_ >= 0 && !connecting_ && output_.empty()) {
        ::shutdown(descriptor_, SHUT_WR);
    }
}

void Socket::setResetOnClose(bool on)
{
    const linger option{on ? 1 : 0, 0};
    setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &option, sizeof option);
}

void Socket::close()
{
    ended_ = true;
    closeDescriptor();
}

void Socket::closeDescriptor()
{
    if (descriptor_ < 0) {
        return;
    }
    ev_io_stop(loop_.raw(), &watcher_);
    ::close(descriptor_);
    descriptor_ = -1;
    output_.clear();
    output_.shrink_to_fit();
    outputSent_ = 0;
}

void Socket::end(SocketEnd end)
{
    const auto self = shared_from_this();
    closeDescriptor();
    if (std::exchange(ended_, true)) {
        return;
    }
    handlers_.onEnd(end);
}

// Calls end() from the loop, as callers of write() do not expect onEnd to be called before write() returns.
void Socket::postEnd(SocketEnd end)
{
    if (descriptor_ >= 0) {
        ev_io_stop(loop_.raw(), &watcher_);
    }
    loop_.post([weak = weak_from_this(), end] {
        const auto self = weak.lock();
        if (self) {
            self->end(end);
        }
    });
}

} // namespace cardamomlift::http1
