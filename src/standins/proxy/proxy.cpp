#include "standins/proxy/proxy.h"

#include <deque>

#include <ev.h>

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace cardamomlift::standins {

namespace {

constexpr std::size_t ReadBytes = 64 * 1024;
constexpr std::size_t MostBuffered = 1 << 20;
constexpr int Backlog = 1024;
/// Connections that fill the queue of a listener with a backlog of 0.
constexpr int Fillers = 3;

sockaddr_in loopback(std::uint16_t port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

class Connection;

} // namespace

struct Proxy::Impl {
    EventLoop *loop = nullptr;
    std::uint16_t targetPort = 0;
    std::uint16_t port = 0;
    int listenFd = -1;
    ev_io watcher{};
    ProxyFaults faults;
    std::vector<int> fillers;
    std::set<std::shared_ptr<Connection>> connections;
    std::uint64_t accepted = 0;
    std::uint64_t bytesToServer = 0;
    std::uint64_t bytesToClient = 0;

    /// With a backlog of 0 nothing is accepted: once the queue is full, the system drops further connections without an answer.
    bool startListening(int backlog = Backlog);
    void stopListening();
    void setListening(bool closed, bool unanswered);
    void accept();
    void closeAll();
    void rearm();
};

namespace {

/// One side of a connection: a socket, its watchers, and bytes waiting to be written to it.
struct Side {
    std::deque<std::string> delayed; ///< Pieces towards it that wait for their time, oldest first.
    int fd = -1;
    ev_io reader{};
    ev_io writer{};
    std::string pending;
    bool ended = false; ///< Its peer sent end of file.
};

/// One client's connection and the one made for it to the server.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    Connection(Proxy::Impl *proxy, int clientFd, int serverFd)
        : proxy_(proxy)
    {
        client_.fd = clientFd;
        server_.fd = serverFd;
        setUp(client_);
        setUp(server_);
        rearm();
    }

    /// Reads from both sides unless frozen or too much is waiting.
    void rearm()
    {
        if (closed_) {
            return;
        }
        armReader(client_, server_);
        armReader(server_, client_);
    }

    void close(bool reset)
    {
        if (closed_) {
            return;
        }
        closed_ = true;
        for (Side *side : {&client_, &server_}) {
            ev_io_stop(raw(), &side->reader);
            ev_io_stop(raw(), &side->writer);
            if (reset) {
                const linger immediately{1, 0};
                setsockopt(side->fd, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
            }
            ::close(side->fd);
        }
        auto self = shared_from_this();
        proxy_->loop->post([proxy = proxy_, self] { proxy->connections.erase(self); });
    }

private:
    struct ev_loop *raw() const
    {
        return proxy_->loop->raw();
    }

    void setUp(Side &side)
    {
        side.reader.data = this;
        side.writer.data = this;
        ev_io_init(
            &side.reader, [](struct ev_loop *, ev_io *io, int) { static_cast<Connection *>(io->data)->onReadable(io->fd); }, side.fd, EV_READ);
        ev_io_init(
            &side.writer, [](struct ev_loop *, ev_io *io, int) { static_cast<Connection *>(io->data)->onWritable(io->fd); }, side.fd, EV_WRITE);
    }

    void armReader(Side &from, Side &to)
    {
        const bool wanted = !proxy_->faults.freeze && !proxy_->faults.unanswered && !from.ended && to.pending.size() < MostBuffered;
        if (wanted) {
            ev_io_start(raw(), &from.reader);
        } else {
            ev_io_stop(raw(), &from.reader);
        }
    }

    void onReadable(int fd)
    {
        const bool fromClient = fd == client_.fd;
        Side &from = fromClient ? client_ : server_;
        Side &to = fromClient ? server_ : client_;
        std::array<char, ReadBytes> buffer{};
        const ssize_t size = recv(fd, buffer.data(), buffer.size(), 0);
        if (size < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        if (size < 0) {
            close(true);
            return;
        }
        if (size == 0) {
            from.ended = true;
            ev_io_stop(raw(), &from.reader);
            pass(to, std::string());
            return;
        }
        if (!fromClient && proxy_->faults.resetAfterRequest) {
            close(true);
            return;
        }
        const bool isCut = fromClient ? proxy_->faults.cutToServer : proxy_->faults.cutToClient;
        if (isCut) {
            return;
        }
        (fromClient ? proxy_->bytesToServer : proxy_->bytesToClient) += static_cast<std::uint64_t>(size);
        pass(to, std::string(buffer.data(), static_cast<std::size_t>(size)));
    }

    /// Writes @p bytes to @p to, after the delay; an empty text stands for end of file.
    void pass(Side &to, std::string bytes)
    {
        // NOTE Bytes never overtake earlier ones, also when the delay has been taken off meanwhile.
        if (proxy_->faults.delayMs == 0 && to.delayed.empty()) {
            queue(to, bytes);
            return;
        }
        to.delayed.push_back(std::move(bytes));
        proxy_->loop->after(std::chrono::milliseconds(proxy_->faults.delayMs), [self = shared_from_this(), &to] { self->passOldest(to); });
    }

    // Each timer passes on one piece, the oldest; which timer fires first does not matter.
    void passOldest(Side &to)
    {
        const std::string bytes = std::move(to.delayed.front());
        to.delayed.pop_front();
        if (!closed_) {
            queue(to, bytes);
        }
    }

    void queue(Side &to, const std::string &bytes)
    {
        if (bytes.empty()) {
            if (to.pending.empty()) {
                endOf(to);
            }
            return;
        }
        to.pending += bytes;
        onWritable(to.fd);
    }

    /// The other side has ended and all was written: pass the end on.
    void endOf(Side &to)
    {
        shutdown(to.fd, SHUT_WR);
        if (client_.ended && server_.ended) {
            close(false);
        }
    }

    void onWritable(int fd)
    {
        Side &to = fd == client_.fd ? client_ : server_;
        const Side &from = fd == client_.fd ? server_ : client_;
        const ssize_t size = send(fd, to.pending.data(), to.pending.size(), MSG_NOSIGNAL);
        if (size < 0 && errno != EAGAIN && errno != EINTR && errno != ENOTCONN) {
            close(true);
            return;
        }
        if (size > 0) {
            to.pending.erase(0, static_cast<std::size_t>(size));
        }
        if (to.pending.empty()) {
            ev_io_stop(raw(), &to.writer);
            // What is delayed comes before the end.
            if (from.ended && to.delayed.empty()) {
                endOf(to);
            }
        } else {
            ev_io_start(raw(), &to.writer);
        }
        rearm();
    }

    Proxy::Impl *proxy_;
    Side client_;
    Side server_;
    bool closed_ = false;
};

} // namespace

void Proxy::Impl::accept()
{
    const int client = accept4(listenFd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (client < 0) {
        return;
    }
    accepted++;
    if (faults.refuse) {
        const linger immediately{1, 0};
        setsockopt(client, SOL_SOCKET, SO_LINGER, &immediately, sizeof(immediately));
        close(client);
        return;
    }
    const int server = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(targetPort);
    const int one = 1;
    setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(server, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        close(server);
        close(client);
        return;
    }
    connections.insert(std::make_shared<Connection>(this, client, server));
}

void Proxy::Impl::closeAll()
{
    const std::vector<std::shared_ptr<Connection>> open(connections.begin(), connections.end());
    for (const auto &connection : open) {
        connection->close(true);
    }
}

bool Proxy::Impl::startListening(int backlog)
{
    listenFd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int one = 1;
    setsockopt(listenFd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    sockaddr_in address = loopback(port);
    socklen_t size = sizeof(address);
    const bool bound = bind(listenFd, reinterpret_cast<sockaddr *>(&address), size) == 0 && listen(listenFd, backlog) == 0
        && getsockname(listenFd, reinterpret_cast<sockaddr *>(&address), &size) == 0;
    if (!bound) {
        return false;
    }
    port = ntohs(address.sin_port);
    watcher.data = this;
    ev_io_init(
        &watcher, [](struct ev_loop *, ev_io *io, int) { static_cast<Impl *>(io->data)->accept(); }, listenFd, EV_READ);
    if (backlog > 0) {
        ev_io_start(loop->raw(), &watcher);
    }
    return true;
}

void Proxy::Impl::stopListening()
{
    for (const int filler : fillers) {
        close(filler);
    }
    fillers.clear();
    if (listenFd < 0) {
        return;
    }
    ev_io_stop(loop->raw(), &watcher);
    close(listenFd);
    listenFd = -1;
}

void Proxy::Impl::setListening(bool closed, bool unanswered)
{
    if (closed == faults.closed && unanswered == faults.unanswered) {
        return;
    }
    faults.closed = closed;
    faults.unanswered = unanswered;
    stopListening();
    if (!closed) {
        startListening(unanswered ? 0 : Backlog);
    }
    for (int i = 0; unanswered && i < Fillers; i++) {
        fillers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const sockaddr_in address = loopback(port);
        connect(fillers.back(), reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    }
}

void Proxy::Impl::rearm()
{
    for (const auto &connection : connections) {
        connection->rearm();
    }
}

Result<std::unique_ptr<Proxy>> Proxy::create(EventLoop &loop, std::uint16_t targetPort)
{
    std::unique_ptr<Proxy> proxy(new Proxy);
    proxy->impl_ = std::make_unique<Impl>();
    Impl *impl = proxy->impl_.get();
    impl->loop = &loop;
    impl->targetPort = targetPort;
    if (!impl->startListening()) {
        return failure(ErrorKind::Unavailable, "the proxy can't listen");
    }
    return proxy;
}

Proxy::~Proxy()
{
    if (impl_) {
        impl_->stopListening();
    }
}

std::uint16_t Proxy::port() const
{
    return impl_->port;
}

void Proxy::control(const Json::Value &json)
{
    ProxyFaults &faults = impl_->faults;
    faults.refuse = json.get("refuse", faults.refuse).asBool();
    faults.cutToServer = json.get("cutToServer", faults.cutToServer).asBool();
    faults.cutToClient = json.get("cutToClient", faults.cutToClient).asBool();
    faults.freeze = json.get("freeze", faults.freeze).asBool();
    faults.delayMs = json.get("delayMs", static_cast<Json::Int64>(faults.delayMs)).asInt64();
    faults.resetAfterRequest = json.get("resetAfterRequest", faults.resetAfterRequest).asBool();
    impl_->setListening(json.get("closed", faults.closed).asBool(), json.get("unanswered", faults.unanswered).asBool());
    if (json.get("closeAll", false).asBool()) {
        impl_->closeAll();
    }
    impl_->rearm();
}

Json::Value Proxy::totals() const
{
    Json::Value json;
    json["accepted"] = static_cast<Json::UInt64>(impl_->accepted);
    json["open"] = static_cast<Json::UInt64>(impl_->connections.size());
    json["bytesToServer"] = static_cast<Json::UInt64>(impl_->bytesToServer);
    json["bytesToClient"] = static_cast<Json::UInt64>(impl_->bytesToClient);
    return json;
}

} // namespace cardamomlift::standins
