#include "peers/peerlistener.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <fcntl.h>
#include <utility>

namespace cardamomlift::peers {

namespace {

constexpr int Backlog = 1024;
constexpr int AcceptBatch = 64;
/// Memory of a connection in gRPC.
constexpr std::size_t ConnectionBytes = 32768;
constexpr Duration CheckPeriod = std::chrono::milliseconds(500);
/// How long no connection is accepted after the process had no descriptor for one.
constexpr Duration AcceptPause = std::chrono::milliseconds(50);

} // namespace

PeerListener::PeerListener(EventLoop &loop, std::shared_ptr<clientbudget::ClientBudget> budget, Receiver receiver)
    : loop_(loop)
    , budget_(std::move(budget))
    , receiver_(std::move(receiver))
{
}

Result<std::unique_ptr<PeerListener>> PeerListener::listen(
    EventLoop &loop, const std::string &address, std::uint16_t port, std::shared_ptr<clientbudget::ClientBudget> budget, Receiver receiver)
{
    std::unique_ptr<PeerListener> listener(new PeerListener(loop, std::move(budget), std::move(receiver)));
    BOOST_OUTCOME_TRY(listener->open(address, port));
    return listener;
}

PeerListener::~PeerListener()
{
    loop_.cancel(checkTimer_);
    loop_.cancel(pauseTimer_);
    if (descriptor_ >= 0) {
        ev_io_stop(loop_.raw(), &watcher_);
        ::close(descriptor_);
    }
    for (const auto &connection : connections_) {
        ::close(connection->descriptor);
    }
}

std::uint16_t PeerListener::port() const
{
    return port_;
}

Result<void> PeerListener::open(const std::string &address, std::uint16_t port)
{
    descriptor_ = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    inet_pton(AF_INET, address.c_str(), &at.sin_addr);
    if (::bind(descriptor_, reinterpret_cast<const sockaddr *>(&at), sizeof at) != 0 || ::listen(descriptor_, Backlog) != 0) {
        return failure(ErrorKind::Unavailable, "can't listen for peers on " + address + ":" + std::to_string(port));
    }
    socklen_t size = sizeof at;
    getsockname(descriptor_, reinterpret_cast<sockaddr *>(&at), &size);
    port_ = ntohs(at.sin_port);
    watcher_.data = this;
    ev_io_init(
        &watcher_, [](struct ev_loop *, ev_io *watcher, int) { static_cast<PeerListener *>(watcher->data)->acceptConnections(); }, descriptor_, EV_READ);
    ev_io_start(loop_.raw(), &watcher_);
    checkTimer_ = loop_.every(CheckPeriod, [this] { checkConnections(); });
    return success();
}

void PeerListener::acceptConnections()
{
    for (int i = 0; i < AcceptBatch; i++) {
        const int descriptor = ::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (descriptor < 0) {
            if (errno == EMFILE || errno == ENFILE) {
                pause();
            }
            return;
        }
        addConnection(descriptor);
    }
}

void PeerListener::pause()
{
    budget_->noteDescriptorsExhausted();
    ev_io_stop(loop_.raw(), &watcher_);
    pauseTimer_ = loop_.after(AcceptPause, [this] { ev_io_start(loop_.raw(), &watcher_); });
}

void PeerListener::addConnection(int descriptor)
{
    auto connection = std::make_shared<Connection>();
    connection->descriptor = ::fcntl(descriptor, F_DUPFD_CLOEXEC, 0);
    connection->account = budget_->open([this, raw = connection.get()](const clientbudget::ConnectionUse &, clientbudget::Shortage) { closeConnection(raw); });
    const bool hasRoom = connection->descriptor >= 0 && connection->account && connection->account->trySetDescriptors(2);
    if (!hasRoom) {
        ::close(connection->descriptor);
        ::close(descriptor);
        return;
    }
    connections_.push_back(connection);
    connection->account->setBytes(ConnectionBytes);
    receiver_(descriptor_, descriptor);
}

// NOTE gRPC shuts a connection down before it closes its descriptor, which the duplicate shows by the state.
void PeerListener::checkConnections()
{
    const std::vector<std::shared_ptr<Connection>> connections = connections_;
    for (const auto &connection : connections) {
        tcp_info info{};
        socklen_t size = sizeof info;
        const bool isKnown = getsockopt(connection->descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
        if (!isKnown || info.tcpi_state != TCP_ESTABLISHED) {
            closeConnection(connection.get());
            continue;
        }
        if (std::chrono::milliseconds(info.tcpi_last_data_recv) < CheckPeriod) {
            connection->account->touch();
        }
    }
}

void PeerListener::closeConnection(const Connection *connection)
{
    const auto found = std::find_if(connections_.begin(), connections_.end(), [connection](const auto &open) { return open.get() == connection; });
    if (found == connections_.end()) {
        return;
    }
    ::shutdown(connection->descriptor, SHUT_RDWR);
    ::close(connection->descriptor);
    connections_.erase(found);
}

} // namespace cardamomlift::peers
