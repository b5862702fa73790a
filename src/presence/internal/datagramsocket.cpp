#include "presence/datagramsocket.h"

#include <arpa/inet.h>
#include <ev.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace cardamomlift::presence {

namespace {

constexpr std::size_t LongestDatagram = 65536;
/// Datagrams read before other sockets get their turn.
constexpr int ReadBatch = 64;

} // namespace

struct UdpDatagramSocket::Impl {
    EventLoop *loop = nullptr;
    int descriptor = -1;
    ev_io watcher{};
    Handler handler;

    void readAll() const
    {
        static thread_local std::array<char, LongestDatagram> buffer;
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
    std::shared_ptr<UdpDatagramSocket> datagrams(new UdpDatagramSocket);
    Impl *impl = datagrams->impl_.get();
    impl->loop = &loop;
    impl->descriptor = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(at.port);
    inet_pton(AF_INET, at.address.c_str(), &address.sin_addr);
    if (::bind(impl->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        return failure(ErrorKind::Unavailable, "can't take datagrams on " + http1::formatEndpoint(at));
    }
    impl->watcher.data = impl;
    ev_io_init(
        &impl->watcher, [](struct ev_loop *, ev_io *watcher, int) { static_cast<Impl *>(watcher->data)->readAll(); }, impl->descriptor, EV_READ);
    return datagrams;
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
    // A datagram that the system does not take is lost like any other.
    (void)::sendto(impl_->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

void UdpDatagramSocket::onDatagram(Handler handler)
{
    impl_->handler = std::move(handler);
    ev_io_start(impl_->loop->raw(), &impl_->watcher);
}

} // namespace cardamomlift::presence
