#include "presence/datagramsocket.h"

#include <arpa/inet.h>
#include <ev.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace cardamomlift::presence {

namespace {

constexpr std::size_t MaxDatagramSize = 65536;
/// Datagrams read at once before control returns to the event loop, so that other sockets are served too.
constexpr int ReadBatch = 64;

} // namespace

struct UdpDatagramSocket::Impl {
    EventLoop *loop = nullptr;
    int descriptor = -1;
    ev_io watcher{};
    Handler handler;

    void readPending() const
    {
        static thread_local std::array<char, MaxDatagramSize> buffer;
        for (int i = 0; i < ReadBatch; i++) {
            const ssize_t size = ::recv(descriptor, buffer.data(), buffer.size(), 0);
            if (size < 0) {
                return;
            }
            handler(std::string_view(buffer.data(), static_cast<std::size_t>(size)));
        }
    }
};

UdpDatagramSocket::UdpDatagramSocket()
    : impl_(std::make_unique<Impl>())
{
}

Result<std::shared_ptr<UdpDatagramSocket>> UdpDatagramSocket::open(EventLoop &loop, const http1::Endpoint &at)
{
    std::shared_ptr<UdpDatagramSocket> socket(new UdpDatagramSocket);
    Impl *impl = socket->impl_.get();
    impl->loop = &loop;
    impl->descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    if (::bind(impl->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return failure(ErrorKind::Unavailable, "can't bind the UDP socket for peer statuses to " + http1::formatEndpoint(at));
    }
    impl->watcher.data = impl;
    ev_io_init(
        &impl->watcher, [](struct ev_loop *, ev_io *watcher, int) { static_cast<Impl *>(watcher->data)->readPending(); }, impl->descriptor, EV_READ);
    return socket;
}

UdpDatagramSocket::~UdpDatagramSocket()
{
    if (impl_->descriptor >= 0) {
        ev_io_stop(impl_->loop->raw(), &impl_->watcher);
        ::close(impl_->descriptor);
    }
}

void UdpDatagramSocket::send(const http1::Endpoint &to, std::string_view bytes)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.address.c_str(), &address.sin_addr);
    // A failed send counts as a lost datagram.
    (void)::sendto(impl_->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

void UdpDatagramSocket::onDatagram(Handler handler)
{
    impl_->handler = std::move(handler);
    ev_io_start(impl_->loop->raw(), &impl_->watcher);
}

} // namespace cardamomlift::presence
